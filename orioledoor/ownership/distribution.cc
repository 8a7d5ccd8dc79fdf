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
// A store read without any reply is given up and sent again.
constexpr Duration ReadTimeout = std::chrono::seconds(3);
// A requested version may be 400 KB; a second request meanwhile is waste.
constexpr Duration RequestInterval = std::chrono::milliseconds(100);
constexpr std::size_t PushFanOut = 4;

} // namespace

Distribution::Distribution(NodeState &Node) : Node(Node) {}

void Distribution::setWatching(bool Wanted, Effects &Output) {
  if (this->WatchWanted && !Wanted && this->Phase == WatchPhase::Open)
    Output.push_back(StopWatching{});
  if (!Wanted)
    this->Phase = WatchPhase::Closed;
  this->WatchWanted = Wanted;
}

void Distribution::poll(Effects &Output) { this->readStore(Output); }

void Distribution::readStore(Effects &Output) {
  this->ReadRevision = 0;
  this->AssignmentRead = this->nextRequestId();
  Output.push_back(
      CallStore{{this->AssignmentRead, StoreRange{.Key = keys::Assignment}}});
  this->CatalogueRead = this->nextRequestId();
  Output.push_back(CallStore{
      {this->CatalogueRead, StoreRange{.Key = keys::CatalogueCurrent}}});
}

void Distribution::retryLater(Instant Now) {
  this->Phase = WatchPhase::Closed;
  this->AssignmentRead = this->CatalogueRead = 0;
  this->NextRead = Now + ReadRetry + Duration(this->Node.Random() % 100'000);
}

void Distribution::tick(Instant Now, Effects &Output) {
  if (!this->WatchWanted || this->Phase == WatchPhase::Open ||
      Now < this->NextRead)
    return;
  this->Phase = WatchPhase::Reading;
  this->NextRead = Now + ReadTimeout;
  this->readStore(Output);
}

void Distribution::request(Instant Now, const std::string &From,
                           const Versions &Theirs, Effects &Output) {
  Versions Ours = this->Node.versions();
  if (Theirs.Assignment > Ours.Assignment &&
      Now >= this->NextAssignmentRequest) {
    this->NextAssignmentRequest = Now + RequestInterval;
    Output.push_back(SendPeer{From, AssignmentRequest{Ours.Assignment}});
  }
  if (Theirs.Catalogue > Ours.Catalogue && Now >= this->NextCatalogueRequest) {
    this->NextCatalogueRequest = Now + RequestInterval;
    Output.push_back(SendPeer{From, CatalogueRequest{Ours.Catalogue}});
  }
}

void Distribution::compare(Instant Now, const std::string &From,
                           const Versions &Theirs, Effects &Output) {
  this->request(Now, From, Theirs, Output);
  Versions Ours = this->Node.versions();
  bool Ahead =
      Theirs.Assignment > Ours.Assignment || Theirs.Catalogue > Ours.Catalogue;
  bool Behind =
      Theirs.Assignment < Ours.Assignment || Theirs.Catalogue < Ours.Catalogue;
  if (Behind && !Ahead)
    Output.push_back(SendPeer{From, VersionNotice{Ours}});
}

void Distribution::observe(const StoreReply &Reply, Effects &Output) {
  for (const StoreEntry &Entry : Reply.Entries)
    if (Entry.Key == keys::Assignment)
      this->take(Entry, Output);
}

void Distribution::handle(const std::string &From,
                          const AssignmentRequest &Received, Effects &Output) {
  if (Received.Held < this->Node.Current->Version)
    Output.push_back(SendPeer{
        From, AssignmentUpdate{this->Node.Current->Version, this->Document}});
}

void Distribution::handle(const std::string &From,
                          const CatalogueRequest &Received, Effects &Output) {
  if (Received.Held < this->Node.CatalogueRevision)
    Output.push_back(
        SendPeer{From, CatalogueUpdate{this->Node.CatalogueRevision,
                                       this->CatalogueText}});
}

void Distribution::handle(const AssignmentUpdate &Received, Effects &Output) {
  if (Received.Version > this->Node.Current->Version)
    this->takeAssignment(Received.Document, 0, Output);
}

void Distribution::handle(const CatalogueUpdate &Received, Effects &Output) {
  this->takeCatalogue(Received.Revision, Received.Text, Output);
}

void Distribution::handle(Instant Now, const StoreReply &Reply,
                          Effects &Output) {
  if (Reply.Id != this->AssignmentRead && Reply.Id != this->CatalogueRead)
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
  if (Reply.Id == this->AssignmentRead)
    this->StoreEmpty = Reply.Entries.empty();
  (Reply.Id == this->AssignmentRead ? this->AssignmentRead
                                    : this->CatalogueRead) = 0;
  this->ReadRevision = this->ReadRevision == 0
                           ? Reply.Revision
                           : std::min(this->ReadRevision, Reply.Revision);
  for (const StoreEntry &Entry : Reply.Entries)
    this->take(Entry, Output);
  if (this->Phase == WatchPhase::Reading && this->AssignmentRead == 0 &&
      this->CatalogueRead == 0) {
    this->Phase = WatchPhase::Open;
    Output.push_back(WatchStore{this->ReadRevision + 1});
  }
}

void Distribution::handle(Instant Now, const StoreWatched &Watched,
                          Effects &Output) {
  if (this->Phase != WatchPhase::Open)
    return;
  for (const StoreChange &Change : Watched.Changes)
    if (!Change.Deleted)
      this->take(Change.Entry, Output);
  if (Watched.Status.ok())
    return;
  writeLog(events::WatchEnded,
           {{"error", std::string(Watched.Status.message())}}, Output);
  this->retryLater(Now);
}

void Distribution::take(const StoreEntry &Entry, Effects &Output) {
  if (Entry.Key == keys::Assignment) {
    this->StoreEmpty = false;
    this->takeAssignment(Entry.Value, Entry.ModRevision, Output);
  } else if (Entry.Key == keys::CatalogueCurrent) {
    auto Published = decodePublishedCatalogue(Entry.Value);
    if (Published.ok())
      this->takeCatalogue(Published->Revision, Published->Text, Output);
    else
      writeLog(events::CatalogueRejected,
               {{"error", std::string(Published.status().message())}}, Output);
  }
}

void Distribution::takeAssignment(std::string_view Bytes,
                                  std::int64_t ModRevision, Effects &Output) {
  auto Decoded = decodeAssignment(Bytes);
  if (!Decoded.ok())
    return writeLog(events::AssignmentRejected,
                    {{"error", std::string(Decoded.status().message())}},
                    Output);
  // The store's own copy of the version held is news to the coordinator, which
  // compares its revision.
  std::uint64_t Held = this->News.NewAssignment
                           ? this->News.NewAssignment->Version
                           : this->Node.Current->Version;
  if (Decoded->Version < Held || (Decoded->Version == Held && ModRevision == 0))
    return;
  this->Document = Bytes;
  this->News.ModRevision = ModRevision;
  this->News.NewAssignment =
      std::make_shared<const Assignment>(*std::move(Decoded));
}

void Distribution::takeCatalogue(std::uint64_t Revision,
                                 const std::string &Text, Effects &Output) {
  if (Revision <= this->Node.CatalogueRevision ||
      Revision == this->RejectedCatalogue)
    return;
  auto Parsed =
      parseCatalogue(Text, "catalogue revision " + std::to_string(Revision));
  if (!Parsed.ok()) {
    this->RejectedCatalogue = Revision;
    return writeLog(events::CatalogueRejected,
                    {{"revision", std::to_string(Revision)},
                     {"error", std::string(Parsed.status().message())}},
                    Output);
  }
  this->Node.CatalogueRevision = Revision;
  this->CatalogueText = Text;
  this->News.NewCatalogue =
      std::make_shared<const Catalogue>(*std::move(Parsed));
  Output.push_back(CatalogueInForce{Revision, Text});
  writeLog(events::CatalogueApplied, {{"revision", std::to_string(Revision)}},
           Output);
}

void Distribution::pushVersions(Effects &Output) {
  for (std::string &Peer : this->Node.randomPeers(PushFanOut))
    Output.push_back(
        SendPeer{std::move(Peer), VersionNotice{this->Node.versions()}});
}

std::optional<DistributionNews> Distribution::takeNews() {
  if (!this->News.NewAssignment && !this->News.NewCatalogue)
    return std::nullopt;
  return std::exchange(this->News, {});
}

} // namespace orioledoor::ownership
