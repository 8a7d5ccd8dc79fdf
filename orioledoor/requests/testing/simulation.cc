// Schedules of the differential test. Probabilities are in percent, such that
// most seeds contain several faults within a few seconds.
#include "orioledoor/requests/testing/simulation.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "orioledoor/requests/message_codec.h"

namespace orioledoor::requests::testing {
namespace {

using namespace std::chrono_literals;

constexpr Duration PermissionTime = 800ms;
constexpr Duration IssueWindow = 4s;
constexpr Duration TotalTime = 16s;
constexpr int OperationCount = 40;
constexpr char ServiceName[] = "desk";

std::string addressOf(int NodeIndex) {
  return "node" + std::to_string(NodeIndex);
}
int nodeOf(const std::string &Address) { return Address.back() - '0'; }

std::uint64_t callerOf(const CallTarget &Effect) {
  return std::stoull(Effect.Request->Headers.at(0).Value);
}

} // namespace

std::optional<ownership::Route> NodeRouting::route(SliceRef Ref) const {
  int Owner = this->Simulated->Nodes[this->NodeIndex].BelievedOwner[Ref.Slice];
  return ownership::Route{MemberId{static_cast<std::uint32_t>(Owner) + 1},
                          addressOf(Owner), Owner == this->NodeIndex, true};
}

std::optional<ownership::Gate> NodeRouting::gate(SliceRef Ref,
                                                 Instant Now) const {
  const auto &Node = this->Simulated->Nodes[this->NodeIndex];
  if (Node.BelievedOwner[Ref.Slice] != this->NodeIndex ||
      Node.PermissionEnd <= Now)
    return std::nullopt;
  return ownership::Gate{
      Fence{this->Simulated->Slices[Ref.Slice].FencingNumber},
      Node.PermissionEnd};
}

std::vector<ownership::Route>
NodeRouting::membersOf(ServiceId /*Service*/) const {
  return {};
}

double NodeRouting::ownedShare(ServiceId /*Service*/) const {
  auto Owned = std::ranges::count(this->Simulated->Slices, this->NodeIndex,
                                  &Simulation::Slice::Owner);
  return static_cast<double>(Owned) / Simulation::SliceCount;
}

Instant NodeRouting::permissionEnd() const {
  return this->Simulated->Nodes[this->NodeIndex].PermissionEnd;
}

Simulation::Simulation(std::uint64_t Seed)
    : Random(Seed), Services(std::make_shared<Catalogue>()), Nodes(NodeCount),
      Slices(SliceCount) {
  ServiceEntry Entry;
  Entry.Name = ServiceName;
  Entry.Id = serviceIdOf(ServiceName);
  Entry.DividedByKey = true;
  Entry.Slices = SliceCount;
  Entry.Limits.RequestsPerSecond = this->chance(20) ? 4 : 0;
  Entry.Limits.SpendPerDay = this->chance(20) ? 30 : 0;
  this->SpendLeft = Entry.Limits.SpendPerDay;
  this->Services->Services.push_back(Entry);
  this->ChecksFence = this->chance(30);
  for (int I = 0; I < NodeCount; ++I) {
    Node &N = this->Nodes[I];
    N.Routing = NodeRouting{this, I};
    N.BelievedOwner = {1, 2};
    N.PermissionEnd = this->Now + PermissionTime;
    N.Reducer = std::make_unique<RequestReducer<NodeRouting>>(
        ReducerOptions{addressOf(I), this->Random() | 1});
    this->deliver(I, CatalogueChanged{this->Services});
    this->recover(I, true);
  }
  this->Slices[1].Owner = 2;
  for (std::uint32_t I = 0; I < SliceCount; ++I)
    this->adopt(I, this->Slices[I].Owner, "", false);
}

std::vector<std::string> Simulation::run() {
  Instant Start = this->Now;
  Instant End = Start + TotalTime;
  for (int I = 0; I < NodeCount; ++I)
    for (Duration T = 0us; T < TotalTime; T += 10ms)
      this->scheduleAt(Start + T, [this, I] {
        Node &N = this->Nodes[I];
        if (!N.Isolated && N.TargetUp && N.PausedUntil <= this->Now)
          N.PermissionEnd = this->Now + PermissionTime;
        this->deliver(I, Tick{1'000'000});
      });
  for (int I = 0; I < OperationCount; ++I) {
    auto Operation = std::make_shared<CallerOperation>();
    Operation->Name = "/" + std::to_string(I);
    Operation->Key = "k" + std::to_string(this->randomBelow(8));
    Operation->Method = this->chance(70) ? "POST" : "GET";
    Operation->Body = this->chance(4) ? "poison" : "b";
    Operation->SendsAttempt = this->chance(80);
    Operation->SendsAge = this->chance(50);
    if (Operation->Method == "POST" && this->chance(90))
      Operation->OperationId = "op" + Operation->Name;
    if (Operation->Body == "poison")
      Operation->Key = "k0";
    this->scheduleAt(Start + this->randomDuration(IssueWindow),
                     [this, Operation] { this->submit(Operation); });
  }
  for (std::uint64_t I = this->randomBelow(4); I > 0; --I)
    this->scheduleAt(Start + this->randomDuration(IssueWindow), [this] {
      this->startMove(
          static_cast<std::uint32_t>(this->randomBelow(SliceCount)));
    });
  for (std::uint64_t I = this->randomBelow(3); I > 0; --I)
    this->scheduleAt(Start + this->randomDuration(IssueWindow), [this] {
      this->isolate(FirstOwner + static_cast<int>(this->randomBelow(2)));
    });
  if (this->chance(40))
    this->scheduleAt(Start + this->randomDuration(IssueWindow), [this] {
      int NodeIndex = static_cast<int>(this->randomBelow(NodeCount));
      this->Nodes[NodeIndex].PausedUntil = this->Now + this->randomDuration(2s);
      // A paused member does not renew its permission, so it is replaced like a
      // lost one.
      if (NodeIndex >= FirstOwner)
        this->isolate(NodeIndex);
    });
  while (!this->EventQueue.empty() &&
         std::get<0>(this->EventQueue.top()) <= End) {
    ScheduledAction Next = this->EventQueue.top();
    this->EventQueue.pop();
    this->Now = std::get<0>(Next);
    std::get<2>(Next)();
  }
  this->checkLimits();
  return this->Checker.takeViolations();
}

void Simulation::checkLimits() {
  const ServiceLimits &Limits = this->Services->Services[0].Limits;
  if (Limits.SpendPerDay > 0)
    this->Checker.expect(this->ExecutionCount <= Limits.SpendPerDay,
                         "spend exceeded");
  if (Limits.RequestsPerSecond <= 0)
    return;
  // Tokens are taken at admission and calls may start later, so the limit is
  // checked from the start of the run: the rate, plus one token in the bucket
  // of each owner and a margin of one.
  for (std::size_t I = 0; I < this->CallTimes.size(); ++I) {
    double Seconds =
        std::chrono::duration<double>(this->CallTimes[I] - this->CallTimes[0])
            .count();
    if (static_cast<double>(I + 1) > Limits.RequestsPerSecond * Seconds + 3)
      return this->Checker.expect(false, "rate limit exceeded");
  }
}

void Simulation::scheduleAt(Instant Time, std::function<void()> Action) {
  this->EventQueue.emplace(Time, ++this->Sequence, std::move(Action));
}

void Simulation::deliver(int Destination, Event Input) {
  Node &N = this->Nodes[Destination];
  if (N.PausedUntil > this->Now) {
    auto PendingEvent = std::make_shared<Event>(std::move(Input));
    return this->scheduleAt(N.PausedUntil, [this, Destination, PendingEvent] {
      this->deliver(Destination, std::move(*PendingEvent));
    });
  }
  Effects Output;
  N.Reducer->handle(std::move(Input), this->Now, N.Routing, Output);
  for (Effect &E : Output)
    this->apply(Destination, E);
}

void Simulation::apply(int Source, Effect &Output) {
  if (auto *Reply = std::get_if<ReplyCaller>(&Output)) {
    this->Checker.recordAnswer(Reply->CallerId, Reply->Answer);
  } else if (auto *Sent = std::get_if<SendPeer>(&Output)) {
    this->transmit(Source, *Sent);
  } else if (auto *Notice = std::get_if<Broadcast>(&Output)) {
    for (int Destination = 0; Destination < NodeCount; ++Destination)
      if (Destination != Source)
        this->scheduleAfter(
            1ms, [this, Source, Destination, Body = Notice->Body] {
              this->deliver(Destination, PeerMessage{addressOf(Source), Body});
            });
  } else if (auto *Call = std::get_if<CallTarget>(&Output)) {
    this->call(Source, *Call);
  } else if (auto *Cancellation = std::get_if<CancelTarget>(&Output)) {
    this->Nodes[Source].Calls.erase(Cancellation->CallId);
  } else if (auto *Report = std::get_if<SliceDrained>(&Output)) {
    this->handleDrained(Source, *Report);
  } else if (auto *SpendRequest = std::get_if<RequestSpend>(&Output)) {
    std::uint64_t Share = std::min(SpendRequest->Amount, this->SpendLeft);
    this->SpendLeft -= Share;
    if (Share > 0 && !this->chance(10))
      this->scheduleAfter(10ms,
                          [this, Source,
                           Grant = SpendGranted{SpendRequest->Service, Share,
                                                SpendRequest->Day}] {
                            this->deliver(Source, Grant);
                          });
  }
}

void Simulation::transmit(int Source, const SendPeer &Sent) {
  int Destination = nodeOf(Sent.To);
  const auto *F = std::get_if<Forward>(&Sent.Body);
  bool Isolated =
      this->Nodes[Source].Isolated || this->Nodes[Destination].Isolated;
  if (F && this->chance(Isolated ? 30 : 2))
    return this->scheduleAfter(
        1ms, [this, Source,
              Failed = PeerSendFailed{Sent.To, F->EntryId, F->RequestId}] {
          this->deliver(Source, Failed);
        });
  if (Isolated && this->chance(50))
    this->scheduleAfter(300ms, [this, Source, Destination] {
      this->deliver(Source, PeerLost{addressOf(Destination)});
    });
  if (Isolated || this->chance(4))
    return;
  std::string Bytes = encodeMessage(Sent.Body);
  for (int Copies = this->chance(10) ? 2 : 1; Copies > 0; --Copies) {
    Duration Delay =
        this->chance(8) ? this->randomDuration(4s) : this->randomDuration(5ms);
    this->scheduleAfter(Delay, [this, Source, Destination, Bytes] {
      this->deliver(Destination,
                    PeerMessage{addressOf(Source), *decodeMessage(Bytes)});
    });
  }
}

void Simulation::call(int NodeIndex, const CallTarget &Effect) {
  this->CallTimes.push_back(this->Now);
  Node &N = this->Nodes[NodeIndex];
  this->Checker.expect(Effect.NotAfter > this->Now,
                       "call at or after NotAfter");
  auto Running = std::make_shared<TargetCall>(TargetCall{Effect, false});
  N.Calls[Effect.CallId] = Running;
  std::uint64_t CallId = Effect.CallId;
  auto FailCall = [this, NodeIndex, CallId](TargetFailure Failure) {
    this->endCall(NodeIndex, CallId,
                  TargetFailed{CallId, Failure, "simulated"});
  };
  if (!N.TargetUp || this->chance(4))
    return this->scheduleAfter(
        1ms, [FailCall] { FailCall(TargetFailure::NotSent); });
  if (Effect.Request->Body == "poison" && Effect.Timeout > 2ms)
    return this->scheduleAfter(2ms, [this, NodeIndex, Running] {
      if (!this->Nodes[NodeIndex].Calls.contains(Running->Effect.CallId))
        return;
      this->execute(NodeIndex, *Running);
      const std::string &Method = Running->Effect.Request->Method;
      // A paused node cannot pass its knowledge of a crash to the others.
      bool Paused = std::ranges::any_of(this->Nodes, [this](const Node &Any) {
        return Any.PausedUntil + 10ms > this->Now;
      });
      this->Checker.expect(++this->Crashes[Method] <= 2 || Paused,
                           Method + " crashed a third target");
      this->crashTarget(NodeIndex);
    });
  bool Stalled = this->chance(8);
  Duration CallDuration =
      Stalled ? Effect.Timeout : this->randomDuration(20ms) + 1ms;
  if (!Stalled || this->chance(50))
    this->scheduleAfter(
        std::min(CallDuration, Effect.Timeout) / 2, [this, NodeIndex, CallId] {
          auto Found = this->Nodes[NodeIndex].Calls.find(CallId);
          if (Found != this->Nodes[NodeIndex].Calls.end())
            this->execute(NodeIndex, *Found->second);
        });
  if (CallDuration >= Effect.Timeout)
    return this->scheduleAfter(
        Effect.Timeout, [FailCall] { FailCall(TargetFailure::TimedOut); });
  if (this->chance(4))
    return this->scheduleAfter(CallDuration, [this, FailCall] {
      FailCall(this->chance(50) ? TargetFailure::ConnectionLost
                                : TargetFailure::Truncated);
    });
  this->scheduleAfter(
      CallDuration, [this, NodeIndex, CallId, Running, FailCall] {
        if (!Running->Ran)
          return FailCall(TargetFailure::Truncated);
        const std::string &Path = Running->Effect.Request->Path;
        this->endCall(NodeIndex, CallId,
                      TargetAnswered{CallId, {200, {}, "echo" + Path}});
      });
}

void Simulation::endCall(int NodeIndex, std::uint64_t CallId, Event Result) {
  if (this->Nodes[NodeIndex].Calls.erase(CallId) > 0)
    this->deliver(NodeIndex, std::move(Result));
}

void Simulation::execute(int NodeIndex, TargetCall &Running) {
  const CallTarget &Effect = Running.Effect;
  bool Owned = this->owns(NodeIndex, Effect.Slice.Slice) &&
               this->Slices[Effect.Slice.Slice].FencingNumber ==
                   Effect.FencingNumber.Value;
  if (this->ChecksFence && !Owned)
    return;
  Running.Ran = true;
  ++this->ExecutionCount;
  this->Checker.recordRun(callerOf(Effect), Owned);
}

void Simulation::crashTarget(int NodeIndex) {
  Node &N = this->Nodes[NodeIndex];
  if (!N.TargetUp)
    return;
  N.TargetUp = false;
  auto Calls = std::exchange(N.Calls, {});
  for (const auto &[CallId, Running] : Calls)
    this->deliver(NodeIndex,
                  TargetFailed{CallId, TargetFailure::ConnectionLost, ""});
  this->scheduleAfter(1500ms, [this, NodeIndex] {
    this->deliver(NodeIndex, TargetChanged{.Lost = true});
    this->Nodes[NodeIndex].PermissionEnd = this->Now;
    for (std::uint32_t I = 0; I < SliceCount; ++I)
      if (this->Slices[I].Owner == NodeIndex)
        this->scheduleAfter(50ms, [this, I] { this->replaceOwner(I); });
    this->scheduleAfter(1s,
                        [this, NodeIndex] { this->recover(NodeIndex, true); });
  });
}

} // namespace orioledoor::requests::testing
