// Dispatches events to the parts and keeps them up to date with each other.
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
      Permission(this->Node), Duty(this->Node), Slices(this->Node),
      Spread(this->Node), Load(this->Node), Planner(this->Node.Self) {}

Effects OwnershipReducer::handle(const Event &Input, Instant Now) {
  Effects Output;
  std::visit([&](const auto &E) { this->on(Now, E, Output); }, Input);
  this->settle(Now, Output);
  this->loopBack(Now, Output);
  return Output;
}

std::optional<Route> OwnershipReducer::route(SliceRef Slice) const {
  return this->Slices.routes().route(Slice);
}

std::optional<Gate> OwnershipReducer::gate(SliceRef Slice, Instant Now) const {
  if (!this->Permission.holds(Now))
    return std::nullopt;
  std::optional<Fence> Number = this->Slices.owned(Slice);
  if (!Number)
    return std::nullopt;
  return Gate{*Number, this->Permission.permissionEnd()};
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
                         .Leaving = this->Phase != Stage::Active,
                         .Coordinating = this->Planner.isActive(),
                         .WatchingStore = this->Distributor.isWatching(),
                         .Held = this->Node.versions(),
                         .Coordinator = this->Node.Current->Coordinator,
                         .PermissionLeft =
                             Left(this->Permission.permissionEnd()),
                         .SlicesOwned = this->Slices.ownedCount(),
                         .Guardians = {},
                         .Guarded = this->Duty.members(),
                         .Known = this->Node.Known.snapshot()};
  for (const PermissionKeeper::Link &L : this->Permission.links())
    Result.Guardians.push_back({L.Recorded.Member, L.Recorded.Term, Left(L.End),
                                this->Permission.counts(L)});
  return Result;
}

void OwnershipReducer::on(Instant Now, const Tick &Input, Effects &Output) {
  this->Permission.tick(Now, Output);
  this->watchPermission(Now, Output);
  DutyNews News = this->Duty.tick(Now, this->Permission.holds(Now), Output);
  this->Spread.announce(
      Now, Facts{std::move(News.Releases), std::move(News.Deposed), {}, {}},
      Output);
  this->Slices.tick(Now, Output);
  this->Spread.tick(Now, Output);
  this->Distributor.tick(Now, Output);
  this->Join.tick(Now, Output);
  this->Load.tick(Now, this->Phase == Stage::Leaving, Output);
  this->advanceLeaving(Now, Output);
  this->updateRoles(Now, Output);
  this->Planner.tick(Now, Input.WallMicros, this->Node.Known, Output);
}

void OwnershipReducer::on(Instant Now, const TargetReady &Input,
                          Effects &Output) {
  bool Changed = this->Target && this->Target->Service != Input.Service;
  this->Target = Input;
  if (this->ExitWanted)
    return;
  // A member serves one service for life.
  if (Changed && this->Node.Id)
    this->depart(Now, false, Output);
  if (this->Phase == Stage::Stopped)
    this->Phase = Stage::Active;
  if (this->Phase == Stage::Active && !this->Node.Id &&
      (Changed || !this->Join.isActive()))
    this->Join.start(Now, Input);
}

void OwnershipReducer::on(Instant Now, const TargetLeaving & /*Input*/,
                          Effects &Output) {
  this->Target.reset();
  this->startLeaving(Now, Output);
}

void OwnershipReducer::on(Instant Now, const TargetLost & /*Input*/,
                          Effects &Output) {
  this->Target.reset();
  this->Join.stop();
  if (this->Node.Id)
    this->depart(Now, false, Output);
}

void OwnershipReducer::on(Instant Now, const StopRequested & /*Input*/,
                          Effects &Output) {
  if (std::exchange(this->ExitWanted, true))
    return;
  this->startLeaving(Now, Output);
}

void OwnershipReducer::on(Instant Now, const PeerMessage &Input,
                          Effects &Output) {
  this->receive(Now, Input.From, Input.Body, Output);
}

void OwnershipReducer::on(Instant Now, const StoreAnswered &Input,
                          Effects &Output) {
  const StoreReply &Reply = Input.Reply;
  if ((Reply.Id & CoordinatorRequestBit) != 0) {
    this->Distributor.observe(Reply, Output);
    this->Planner.handle(Now, Reply, Output);
    return;
  }
  this->Distributor.handle(Now, Reply, Output);
  this->Join.handle(Now, Reply, Output);
}

void OwnershipReducer::on(Instant Now, const StoreWatched &Input,
                          Effects &Output) {
  this->Distributor.handle(Now, Input, Output);
  for (const StoreChange &Change : Input.Changes)
    this->Planner.handle(Now, Change);
}

void OwnershipReducer::on(Instant Now, const SliceDrained &Input,
                          Effects &Output) {
  this->Slices.handle(Now, Input, Output);
}

void OwnershipReducer::on(Instant /*Now*/, const LoadSampled &Input,
                          Effects & /*Output*/) {
  this->Load.handle(Input);
}

void OwnershipReducer::on(Instant /*Now*/, const SpendWanted &Input,
                          Effects &Output) {
  if (this->Node.Id)
    sendTo(this->Node, this->Node.Current->Coordinator,
           SpendRequest{this->Node.Id, Input.Service, Input.Amount, Input.Day},
           Output);
}

void OwnershipReducer::receive(Instant Now, const std::string &From,
                               const Message &Body, Effects &Output) {
  std::visit(
      Overloaded{
          [&](const Renew &M) {
            this->Distributor.request(Now, From, M.Held, Output);
            this->Duty.handle(Now, From, M, this->Permission.holds(Now),
                              Output);
            // Back from a freeze or a cut: it may not know that it is deposed.
            if (this->Node.isDeposed(M.From))
              Output.push_back(SendPeer{
                  From, Facts{{}, {M.From}, {}, this->Node.versions()}});
          },
          [&](const Grant &M) {
            this->Distributor.request(Now, From, M.Held, Output);
            this->Permission.handle(Now, M);
          },
          [&](const Refuse &M) {
            this->Distributor.request(Now, From, M.Held, Output);
          },
          [&](const Facts &M) {
            this->Distributor.compare(Now, From, M.Held, Output);
            this->Spread.handle(Now, M, Output);
          },
          [&](const VersionNotice &M) {
            this->Distributor.compare(Now, From, M.Held, Output);
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
          [&](const Promise &M) { this->Planner.handle(Now, M); },
          [&](const ConsentRequest &M) { this->Duty.handle(From, M); },
          [&](const Consent &M) { this->Planner.handle(Now, M); },
          [&](const Yield &M) { this->Slices.handle(Now, From, M, Output); },
          [&](const YieldAck &M) {
            this->Slices.handle(Now, M, Output);
            if (this->Planner.isActive())
              this->Planner.handle(Now, M);
          },
          [&](const LoadReport &M) { this->Planner.handle(Now, M); },
          [&](const SpendRequest &M) { this->Planner.handle(Now, From, M); },
          [&](const SpendGrant &M) {
            Output.push_back(SpendGranted{M.Service, M.Amount, M.Day});
          }},
      Body);
}

void OwnershipReducer::loopBack(Instant Now, Effects &Output) {
  const std::string &Own = this->Node.Self.PeerAddress;
  auto IsOwn = [&](const Effect &E) {
    const auto *Sent = std::get_if<SendPeer>(&E);
    return Sent && Sent->To == Own;
  };
  // Replies to oneself end after one round; the bound guards against a loop
  // that a fault would cause.
  for (int Round = 0; Round < 4; ++Round) {
    auto Tail = std::ranges::stable_partition(Output, std::not_fn(IsOwn));
    if (Tail.empty())
      return;
    Effects Looped(std::make_move_iterator(Tail.begin()),
                   std::make_move_iterator(Tail.end()));
    Output.erase(Tail.begin(), Tail.end());
    for (const Effect &E : Looped)
      this->receive(Now, Own, std::get<SendPeer>(E).Body, Output);
    this->settle(Now, Output);
  }
  std::erase_if(Output, IsOwn);
}

} // namespace orioledoor::ownership
