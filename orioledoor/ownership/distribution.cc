// Store reads, the store watch, and the exchange of versions between peers.
#include "orioledoor/ownership/distribution.h"

#include <algorithm>
#include <utility>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/catalogue/published_catalogue.h"
#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/node_state.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership {
namespace {

constexpr Duration ReadRetry = std::chrono::milliseconds(500);
// Timeout after which a store read without a reply is sent again.
constexpr Duration ReadTimeout = std::chrono::seconds(3);
// An assignment may take 400 KB, so it is not requested again while the first
// reply may still be on its way.
constexpr Duration RequestInterval = std::chrono::milliseconds(100);
constexpr std::size_t PushFanOut = 4;

} // namespace

Distribution::Distribution(NodeState &Node) : Node(Node) {}

void Distribution::setWatching(bool Enabled, Effects &Output) {
  if (this->WatchEnabled && !Enabled && this->Phase == WatchPhase::Open)
    Output.push_back(StopWatching{});
  if (!Enabled)
    this->Phase = WatchPhase::Closed;
  this->WatchEnabled = Enabled;
}

void Distribution::poll(Effects &Output) { this->readStore(Output); }

void Distribution::readStore(Effects &Output) {
  this->ReadRevision = 0;
  this->AssignmentReadId = this->nextRequestId();
  Output.push_back(
      CallStore{{this->AssignmentReadId, StoreRange{.Key = keys::Assignment}}});
  this->CatalogueReadId = this->nextRequestId();
  Output.push_back(CallStore{
      {this->CatalogueReadId, StoreRange{.Key = keys::CatalogueCurrent}}});
}

void Distribution::retryLater(Instant Now) {
  this->Phase = WatchPhase::Closed;
  this->AssignmentReadId = this->CatalogueReadId = 0;
  this->NextRead = Now + ReadRetry + Duration(this->Node.Random() % 100'000);
}

void Distribution::tick(Instant Now, Effects &Output) {
  if (!this->WatchEnabled || this->Phase == WatchPhase::Open ||
      Now < this->NextRead)
    return;
  this->Phase = WatchPhase::Reading;
  this->NextRead = Now + ReadTimeout;
  this->readStore(Output);
}

void Distribution::requestNewer(Instant Now, const std::string &From,
                                const Versions &PeerVersions, Effects &Output) {
  Versions OwnVersions = this->Node.versions();
  if (PeerVersions.Assignment > OwnVersions.Assignment &&
      Now >= this->NextAssignmentRequest) {
    this->NextAssignmentRequest = Now + RequestInterval;
    Output.push_back(SendPeer{From, AssignmentRequest{OwnVersions.Assignment}});
  }
  if (PeerVersions.Catalogue > OwnVersions.Catalogue &&
      Now >= this->NextCatalogueRequest) {
    this->NextCatalogueRequest = Now + RequestInterval;
    Output.push_back(SendPeer{From, CatalogueRequest{OwnVersions.Catalogue}});
  }
}

void Distribution::compareVersions(Instant Now, const std::string &From,
                                   const Versions &PeerVersions,
                                   Effects &Output) {
  this->requestNewer(Now, From, PeerVersions, Output);
  Versions OwnVersions = this->Node.versions();
  bool Ahead = PeerVersions.Assignment > OwnVersions.Assignment ||
               PeerVersions.Catalogue > OwnVersions.Catalogue;
  bool Behind = PeerVersions.Assignment < OwnVersions.Assignment ||
                PeerVersions.Catalogue < OwnVersions.Catalogue;
  if (Behind && !Ahead)
    Output.push_back(SendPeer{From, VersionNotice{OwnVersions}});
}

void Distribution::acceptCoordinatorReply(const StoreReply &Reply,
                                          Effects &Output) {
  for (const StoreEntry &Entry : Reply.Entries)
    if (Entry.Key == keys::Assignment)
      this->acceptEntry(Entry, Output);
}

void Distribution::handle(const std::string &From,
                          const AssignmentRequest &Received, Effects &Output) {
  if (Received.HeldVersion < this->Node.Current->Version)
    Output.push_back(
        SendPeer{From, AssignmentUpdate{this->Node.Current->Version,
                                        this->EncodedAssignment}});
}

void Distribution::handle(const std::string &From,
                          const CatalogueRequest &Received, Effects &Output) {
  if (Received.HeldRevision < this->Node.CatalogueRevision)
    Output.push_back(
        SendPeer{From, CatalogueUpdate{this->Node.CatalogueRevision,
                                       this->CatalogueText}});
}

void Distribution::handle(const AssignmentUpdate &Received, Effects &Output) {
  if (Received.Version > this->Node.Current->Version)
    this->acceptAssignment(Received.Document, 0, Output);
}

void Distribution::handle(const CatalogueUpdate &Received, Effects &Output) {
  this->acceptCatalogue(Received.Revision, Received.Text, Output);
}

void Distribution::handle(Instant Now, const StoreReply &Reply,
                          Effects &Output) {
  if (Reply.Id != this->AssignmentReadId && Reply.Id != this->CatalogueReadId)
    return;
  if (!Reply.Status.ok()) {
    writeLog(events::StoreCallFailed,
             {{"step", "read assignment and catalogue"},
              {"error", std::string(Reply.Status.message())}},
             Output);
    if (this->Phase == WatchPhase::Reading)
      this->retryLater(Now);
    return;
  }
  if (Reply.Id == this->AssignmentReadId)
    this->StoreEmpty = Reply.Entries.empty();
  (Reply.Id == this->AssignmentReadId ? this->AssignmentReadId
                                      : this->CatalogueReadId) = 0;
  this->ReadRevision = this->ReadRevision == 0
                           ? Reply.Revision
                           : std::min(this->ReadRevision, Reply.Revision);
  for (const StoreEntry &Entry : Reply.Entries)
    this->acceptEntry(Entry, Output);
  if (this->Phase == WatchPhase::Reading && this->AssignmentReadId == 0 &&
      this->CatalogueReadId == 0) {
    this->Phase = WatchPhase::Open;
    Output.push_back(WatchStore{this->ReadRevision + 1});
  }
}

void Distribution::handle(Instant Now, const StoreWatched &Received,
                          Effects &Output) {
  if (this->Phase != WatchPhase::Open)
    return;
  for (const StoreChange &Change : Received.Changes)
    if (!Change.Deleted)
      this->acceptEntry(Change.Entry, Output);
  if (Received.Status.ok())
    return;
  writeLog(events::WatchEnded,
           {{"error", std::string(Received.Status.message())}}, Output);
  this->retryLater(Now);
}

void Distribution::acceptEntry(const StoreEntry &Entry, Effects &Output) {
  if (Entry.Key == keys::Assignment) {
    this->StoreEmpty = false;
    this->acceptAssignment(Entry.Value, Entry.ModRevision, Output);
  } else if (Entry.Key == keys::CatalogueCurrent) {
    auto Published = decodePublishedCatalogue(Entry.Value);
    if (Published.ok())
      this->acceptCatalogue(Published->Revision, Published->Text, Output);
    else
      writeLog(events::CatalogueRejected,
               {{"error", std::string(Published.status().message())}}, Output);
  }
}

void Distribution::acceptAssignment(std::string_view Bytes,
                                    std::int64_t ModRevision, Effects &Output) {
  auto Decoded = decodeAssignment(Bytes);
  if (!Decoded.ok())
    return writeLog(events::AssignmentRejected,
                    {{"error", std::string(Decoded.status().message())}},
                    Output);
  // The store's copy of the version already held is also accepted, because the
  // coordinator needs its store revision.
  std::uint64_t Held = this->PendingUpdate.NewAssignment
                           ? this->PendingUpdate.NewAssignment->Version
                           : this->Node.Current->Version;
  if (Decoded->Version < Held || (Decoded->Version == Held && ModRevision == 0))
    return;
  this->EncodedAssignment = Bytes;
  this->PendingUpdate.ModRevision = ModRevision;
  this->PendingUpdate.NewAssignment =
      std::make_shared<const Assignment>(*std::move(Decoded));
}

void Distribution::acceptCatalogue(std::uint64_t Revision,
                                   const std::string &Text, Effects &Output) {
  if (Revision <= this->Node.CatalogueRevision ||
      Revision == this->RejectedCatalogueRevision)
    return;
  auto Parsed =
      parseCatalogue(Text, "catalogue revision " + std::to_string(Revision));
  if (!Parsed.ok()) {
    this->RejectedCatalogueRevision = Revision;
    return writeLog(events::CatalogueRejected,
                    {{"revision", std::to_string(Revision)},
                     {"error", std::string(Parsed.status().message())}},
                    Output);
  }
  this->Node.CatalogueRevision = Revision;
  this->CatalogueText = Text;
  this->PendingUpdate.NewCatalogue =
      std::make_shared<const Catalogue>(*std::move(Parsed));
  Output.push_back(CatalogueInForce{Revision, Text});
  writeLog(events::CatalogueApplied, {{"revision", std::to_string(Revision)}},
           Output);
}

void Distribution::announceVersions(Effects &Output) {
  for (std::string &Peer : this->Node.randomPeers(PushFanOut))
    Output.push_back(
        SendPeer{std::move(Peer), VersionNotice{this->Node.versions()}});
}

std::optional<DistributionUpdate> Distribution::takeUpdate() {
  if (!this->PendingUpdate.NewAssignment && !this->PendingUpdate.NewCatalogue)
    return std::nullopt;
  return std::exchange(this->PendingUpdate, {});
}

} // namespace orioledoor::ownership
