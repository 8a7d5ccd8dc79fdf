// Dispatches events to the components of the reducer and keeps them consistent.
#include "orioledoor/ownership/ownership_reducer.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "orioledoor/ownership/events.h"

namespace orioledoor::ownership {
namespace {

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};

} // namespace

OwnershipReducer::OwnershipReducer(const LocalNode &Self)
    : Node(Self), Distributor(this->Node), Join(this->Node, this->Distributor),
      Permission(this->Node), Guardianship(this->Node), Slices(this->Node),
      FactGossip(this->Node), Reporter(this->Node),
      OwnCoordinator(this->Node.Self) {}

Effects OwnershipReducer::handle(const Event &Input, Instant Now) {
  Effects Output;
  std::visit([&](const auto &E) { this->handleEvent(Now, E, Output); }, Input);
  this->updateParts(Now, Output);
  this->deliverToSelf(Now, Output);
  return Output;
}

std::optional<Route> OwnershipReducer::route(SliceRef Slice) const {
  return this->Slices.routes().route(Slice);
}

std::optional<Gate> OwnershipReducer::gate(SliceRef Slice, Instant Now) const {
  if (!this->Permission.holds(Now))
    return std::nullopt;
  std::optional<Fence> FencingNumber = this->Slices.owned(Slice);
  if (!FencingNumber)
    return std::nullopt;
  return Gate{*FencingNumber, this->Permission.permissionEnd()};
}

std::vector<Route> OwnershipReducer::membersOf(ServiceId Service) const {
  return this->Slices.routes().membersOf(Service);
}

double OwnershipReducer::ownedShare(ServiceId Service) const {
  return this->Slices.routes().ownedShare(Service);
}

Instant OwnershipReducer::permissionEnd() const {
  return this->Permission.permissionEnd();
}

OwnershipStatus OwnershipReducer::status(Instant Now) const {
  auto Left = [&](Instant End) { return std::max(End - Now, Duration(0)); };
  OwnershipStatus Result{.Id = this->Node.Id,
                         .Joining = this->Join.isActive(),
                         .Leaving = this->CurrentStage != Stage::Active,
                         .Coordinating = this->OwnCoordinator.isActive(),
                         .WatchingStore = this->Distributor.isWatching(),
                         .HeldVersions = this->Node.versions(),
                         .Coordinator = this->Node.Current->Coordinator,
                         .PermissionRemaining =
                             Left(this->Permission.permissionEnd()),
                         .SlicesOwned = this->Slices.ownedCount(),
                         .Guardians = {},
                         .Guarded = this->Guardianship.members(),
                         .Known = this->Node.Known.snapshot()};
  for (const PermissionHolder::GuardianLink &Link :
       this->Permission.guardianLinks())
    Result.Guardians.push_back({Link.Recorded.Member, Link.Recorded.Term,
                                Left(Link.End),
                                this->Permission.isEffective(Link)});
  return Result;
}

void OwnershipReducer::handleEvent(Instant Now, const Tick &Input,
                                   Effects &Output) {
  this->Permission.tick(Now, Output);
  this->trackPermission(Now, Output);
  DerivedFacts Update =
      this->Guardianship.tick(Now, this->Permission.holds(Now), Output);
  this->FactGossip.announce(
      Now, Facts{std::move(Update.Releases), std::move(Update.Deposed), {}, {}},
      Output);
  this->Slices.tick(Now, Output);
  this->FactGossip.tick(Now, Output);
  this->Distributor.tick(Now, Output);
  this->Join.tick(Now, Output);
  this->Reporter.tick(Now, this->CurrentStage == Stage::Leaving, Output);
  this->advanceLeaving(Now, Output);
  this->updateRoles(Now, Output);
  this->OwnCoordinator.tick(Now, Input.WallMicros, this->Node.Known, Output);
}

void OwnershipReducer::handleEvent(Instant Now, const TargetReady &Input,
                                   Effects &Output) {
  bool Changed = this->Target && this->Target->Service != Input.Service;
  this->Target = Input;
  if (this->ExitRequested)
    return;
  // A member serves the same service throughout its membership.
  if (Changed && this->Node.Id)
    this->endMembership(Now, false, Output);
  if (this->CurrentStage == Stage::Stopped)
    this->CurrentStage = Stage::Active;
  if (this->CurrentStage == Stage::Active && !this->Node.Id &&
      (Changed || !this->Join.isActive()))
    this->Join.start(Now, Input);
}

void OwnershipReducer::handleEvent(Instant Now, const TargetLeaving & /*Input*/,
                                   Effects &Output) {
  this->Target.reset();
  this->startLeaving(Now, Output);
}

void OwnershipReducer::handleEvent(Instant Now, const TargetLost & /*Input*/,
                                   Effects &Output) {
  this->Target.reset();
  this->Join.stop();
  if (this->Node.Id)
    this->endMembership(Now, false, Output);
}

void OwnershipReducer::handleEvent(Instant Now, const StopRequested & /*Input*/,
                                   Effects &Output) {
  if (std::exchange(this->ExitRequested, true))
    return;
  this->startLeaving(Now, Output);
}

void OwnershipReducer::handleEvent(Instant Now, const PeerMessage &Input,
                                   Effects &Output) {
  this->handleMessage(Now, Input.From, Input.Body, Output);
}

void OwnershipReducer::handleEvent(Instant Now, const StoreAnswered &Input,
                                   Effects &Output) {
  const StoreReply &Reply = Input.Reply;
  if ((Reply.Id & CoordinatorRequestBit) != 0) {
    this->Distributor.acceptCoordinatorReply(Reply, Output);
    this->OwnCoordinator.handle(Now, Reply, Output);
    return;
  }
  this->Distributor.handle(Now, Reply, Output);
  this->Join.handle(Now, Reply, Output);
}

void OwnershipReducer::handleEvent(Instant Now, const StoreWatched &Input,
                                   Effects &Output) {
  this->Distributor.handle(Now, Input, Output);
  for (const StoreChange &Change : Input.Changes)
    this->OwnCoordinator.handle(Now, Change);
}

void OwnershipReducer::handleEvent(Instant Now, const SliceDrained &Input,
                                   Effects &Output) {
  this->Slices.handle(Now, Input, Output);
}

void OwnershipReducer::handleEvent(Instant /*Now*/, const LoadSampled &Input,
                                   Effects & /*Output*/) {
  this->Reporter.handle(Input);
}

void OwnershipReducer::handleEvent(Instant /*Now*/, const SpendWanted &Input,
                                   Effects &Output) {
  if (this->Node.Id)
    sendTo(this->Node, this->Node.Current->Coordinator,
           SpendRequest{this->Node.Id, Input.Service, Input.Amount, Input.Day},
           Output);
}

void OwnershipReducer::handleMessage(Instant Now, const std::string &From,
                                     const Message &Body, Effects &Output) {
  std::visit(
      Overloaded{
          [&](const Renew &M) {
            this->Distributor.requestNewer(Now, From, M.HeldVersions, Output);
            this->Guardianship.handle(Now, From, M, this->Permission.holds(Now),
                                      Output);
            // The member may be back after a pause or a network partition and
            // not know that it is deposed.
            if (this->Node.isDeposed(M.From))
              Output.push_back(SendPeer{
                  From, Facts{{}, {M.From}, {}, this->Node.versions()}});
          },
          [&](const Grant &M) {
            this->Distributor.requestNewer(Now, From, M.HeldVersions, Output);
            this->Permission.handle(Now, M);
          },
          [&](const Refuse &M) {
            this->Distributor.requestNewer(Now, From, M.HeldVersions, Output);
          },
          [&](const Facts &M) {
            this->Distributor.compareVersions(Now, From, M.HeldVersions,
                                              Output);
            this->FactGossip.handle(Now, M, Output);
          },
          [&](const VersionNotice &M) {
            this->Distributor.compareVersions(Now, From, M.HeldVersions,
                                              Output);
          },
          [&](const AssignmentRequest &M) {
            this->Distributor.handle(From, M, Output);
          },
          [&](const AssignmentUpdate &M) {
            this->Distributor.handle(M, Output);
          },
          [&](const CatalogueRequest &M) {
            this->Distributor.handle(From, M, Output);
          },
          [&](const CatalogueUpdate &M) {
            this->Distributor.handle(M, Output);
          },
          [&](const PromiseWithdrawn &M) {
            this->Slices.handle(Now, From, M, Output);
          },
          [&](const PromiseRequest &M) {
            this->Slices.handle(From, M, Output);
          },
          [&](const Promise &M) { this->OwnCoordinator.handle(Now, M); },
          [&](const ConsentRequest &M) { this->Guardianship.handle(From, M); },
          [&](const Consent &M) { this->OwnCoordinator.handle(Now, M); },
          [&](const Yield &M) { this->Slices.handle(Now, From, M, Output); },
          [&](const YieldAck &M) {
            this->Slices.handle(Now, M, Output);
            if (this->OwnCoordinator.isActive())
              this->OwnCoordinator.handle(Now, M);
          },
          [&](const LoadReport &M) { this->OwnCoordinator.handle(Now, M); },
          [&](const SpendRequest &M) {
            this->OwnCoordinator.handle(Now, From, M);
          },
          [&](const SpendGrant &M) {
            Output.push_back(SpendGranted{M.Service, M.Amount, M.Day});
          }},
      Body);
}

void OwnershipReducer::deliverToSelf(Instant Now, Effects &Output) {
  const std::string &OwnAddress = this->Node.Self.PeerAddress;
  auto IsToSelf = [&](const Effect &E) {
    const auto *Sent = std::get_if<SendPeer>(&E);
    return Sent && Sent->To == OwnAddress;
  };
  // Replies to this node's own messages normally end after one round. The bound
  // prevents an endless loop in case of a bug.
  for (int Round = 0; Round < 4; ++Round) {
    auto Tail = std::ranges::stable_partition(Output, std::not_fn(IsToSelf));
    if (Tail.empty())
      return;
    Effects SelfMessages(std::make_move_iterator(Tail.begin()),
                         std::make_move_iterator(Tail.end()));
    Output.erase(Tail.begin(), Tail.end());
    for (const Effect &E : SelfMessages)
      this->handleMessage(Now, OwnAddress, std::get<SendPeer>(E).Body, Output);
    this->updateParts(Now, Output);
  }
  std::erase_if(Output, IsToSelf);
}

} // namespace orioledoor::ownership
