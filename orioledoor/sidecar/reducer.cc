// Dispatches events to the parts of a node.
#include "orioledoor/sidecar/reducer.h"

#include <algorithm>
#include <utility>

#include "orioledoor/sidecar/events.h"

namespace orioledoor::sidecar {
namespace {

using routing::Message;
using routing::TargetRef;
using routing::TargetState;
using std::chrono::milliseconds;

// The platform probes readiness once a second and stops sending new callers
// after two negative answers.
constexpr Duration ReadinessLag = milliseconds(2600);
// Requests on kept-alive connections that arrive later than this after the stop
// signal are rejected, since they might not be answered before the process
// ends.
constexpr Duration AcceptTimeAfterStop = milliseconds(3000);
// A starting node knows the members after three calls to the store.
constexpr Duration NoMembersRetryAfter = milliseconds(500);
// Another node of the failure domain accepts the caller immediately.
constexpr Duration StoppedRetryAfter = milliseconds(100);
// A stopping process keeps running for this long after its last answer, so that
// requests that were sent before the caller learned of the stop are answered,
// and other nodes ask for results that were lost with a connection.
constexpr Duration ShutdownQuietTime = milliseconds(400);
// The process ends at the latest this long before the stop grace period is
// over.
constexpr Duration StopMargin = milliseconds(500);
// Requests that are still open this long before the process ends are answered.
constexpr Duration FinalAnswerTime = milliseconds(150);
// Shares of the platform's retry allowance that the fleet plans to use. If the
// calls of repeated runs are not recognized, they add as much again as the
// ratio. Nodes that do not know all members, since these join or parts of the
// fleet do not see each other, divide the constant by a smaller number.
constexpr double RetryRatioShare = 0.5;
constexpr double RetryExtraShare = 0.3;
// Each change of an entry ends the watch of every node, so nodes batch changes.
// The planning node acts on entries and batches for a short time. The nodes
// that would plan after it must notice soon that it is gone. The others learn
// of new nodes, target states and key owners from the nodes concerned.
constexpr Duration PlannerWatchPause = milliseconds(100);
constexpr Duration DeputyWatchPause = milliseconds(1000);
constexpr Duration MemberWatchPause = milliseconds(5'000);
constexpr std::size_t DeputyCount = 2;
// Shortest time without a tick in which the process counts as standing still;
// its part of the 500 ms that the platform allows between the departure of a
// caller and the arrival of its request at a target.
constexpr Duration MinStandstill = milliseconds(200);

NodeEntry makeSelfEntry(const SidecarOptions &Options) {
  NodeEntry Entry;
  Entry.Node = Options.Node;
  Entry.Process = Options.Process;
  Entry.Place = Options.Place;
  Entry.Service = Options.Service;
  Entry.LinkBytesPerSecond =
      static_cast<std::uint64_t>(Options.LinkBytesPerSecond);
  return Entry;
}

} // namespace

SidecarReducer::SidecarReducer(SidecarOptions InitialOptions)
    : Options(std::move(InitialOptions)),
      Directory(this->Options.Place, this->Options.Node,
                this->Options.DrainTime, this->Options.Process),
      Config(this->Options.OperatorPrefix),
      Members(makeSelfEntry(this->Options), this->Options.Members),
      Keys(this->Options.Keys, this->Members),
      Gate({.Node = this->Options.Node,
            .DrainTime = this->Options.DrainTime,
            .Process = this->Options.Process,
            .LinkBytesPerSecond = this->Options.LinkBytesPerSecond,
            .AnswerMemoryBytes = this->Options.AnswerMemoryBytes,
            .Place = this->Options.Place,
            .ColdOverage = this->Options.ColdOverage,
            .ColdSlack = this->Options.ColdSlack,
            .EvacuationTime = this->Options.EvacuationTime}),
      Entry(
          {.Node = this->Options.Node,
           .Process = this->Options.Process,
           .Budget = {.Ratio = this->Options.RetryRatio * RetryRatioShare,
                      .FleetExtra = this->Options.RetryExtra * RetryExtraShare,
                      .Window = this->Options.RetryWindow}},
          this->Directory, [this](std::string_view Service, std::int32_t Key) {
            return this->Keys.ownerOf(Service, Key);
          }) {
  this->Directory.setNode(
      this->Options.Node, this->Options.Place,
      static_cast<std::uint64_t>(this->Options.LinkBytesPerSecond));
}

Duration SidecarReducer::standstill(Instant Now) const {
  return this->LastTickAt != Instant() &&
                 Now - this->LastTickAt >= MinStandstill
             ? Now - this->LastTickAt
             : Duration(0);
}

Effects SidecarReducer::handle(Event NewEvent, Instant Now) {
  this->Out.clear();
  this->Members.advanceTo(Now);
  if (!this->StandstillHandled && this->standstill(Now) > Duration(0)) {
    this->StandstillHandled = true;
    this->StandstillEndedAt = Now;
    this->Gate.handleStandstill(Now, this->RoutingEffects);
  }
  std::visit(
      [this, Now](auto &Concrete) { this->on(std::move(Concrete), Now); },
      NewEvent);
  this->deliverEffects(Now);
  return std::exchange(this->Out, {});
}

bool SidecarReducer::ready() const {
  return this->Entry.table() && this->Members.isLoaded() &&
         this->StopRequestedAt == Instant();
}

bool SidecarReducer::isPartitioned(std::string_view Service) const {
  if (!this->Entry.table())
    return false;
  const routing::ServicePolicy *Policy = this->Entry.table()->service(Service);
  return Policy && Policy->Partitioned;
}

void SidecarReducer::deliverEffects(Instant Now) {
  Effects Delivered;
  while (!this->RoutingEffects.empty() || !this->Out.empty()) {
    for (Effect &NewEffect : std::exchange(this->Out, {}))
      this->routeEffect(std::move(NewEffect), Now, Delivered);
    for (routing::Effect &NewEffect : std::exchange(this->RoutingEffects, {}))
      std::visit(
          [&](auto &Concrete) {
            this->routeEffect(std::move(Concrete), Now, Delivered);
          },
          NewEffect);
  }
  this->Out = std::move(Delivered);
}

void SidecarReducer::routeEffect(Effect NewEffect, Instant Now,
                                 Effects &Delivered) {
  if (auto *Call = std::get_if<CallStore>(&NewEffect))
    StoreEra::toStoreRevisions(Call->Request);
  else if (auto *Watch = std::get_if<WatchStore>(&NewEffect))
    Watch->Revision = storeRevision(Watch->Revision);
  auto *Outgoing = std::get_if<SendMessage>(&NewEffect);
  if (Outgoing)
    this->stampMessage(Outgoing->Body, Now);
  if (!Outgoing ||
      (!Outgoing->To.empty() && Outgoing->To != this->Options.Node)) {
    Delivered.push_back(std::move(NewEffect));
    return;
  }
  if (!Outgoing->To.empty()) {
    this->receiveMessage(this->Options.Node, std::move(Outgoing->Body), Now);
    return;
  }
  // An empty address means all other nodes.
  for (const auto &Entry : this->Directory.views())
    if (Entry.first != this->Options.Node)
      Delivered.push_back(SendMessage{Entry.first, Outgoing->Body});
}

void SidecarReducer::apply(MembershipOutput Output, Instant Now) {
  for (LogRecord &Item : Output.Logs)
    this->Out.push_back(std::move(Item));
  for (StoreRequest &Item : Output.Calls)
    this->Out.push_back(CallStore{std::move(Item)});
  if (Output.Announced)
    this->Out.push_back(SendMessage{"", *std::move(Output.Announced)});
  if (Output.WatchAfter != 0)
    this->Out.push_back(WatchStore{Output.WatchAfter});
  for (const std::string &Node : Output.RemovedNodes)
    if (Node != this->Options.Node)
      this->Entry.handleNodeRemoved(Node, Now, this->RoutingEffects);
  for (const std::string &Node : Output.ReplacedNodes)
    if (Node != this->Options.Node)
      this->Entry.handleNodeReplaced(Node, Now, this->RoutingEffects);
  if (Output.NodesChanged) {
    this->updateDirectory(Now);
    this->updateWatches();
    if (this->Members.isLoaded())
      this->Entry.setFleetSize(this->Members.nodes().size());
  }
  if (Output.NodesChanged || Output.KeysChanged)
    this->onOwnersChanged(Now);
}

void SidecarReducer::onOwnersChanged(Instant Now) {
  this->OwnersChanged = true;
  // The target is served first, so that it holds the keys before the requests
  // for them are sent.
  this->answerDeferredReport(Now);
  this->Entry.handleOwnersChanged(Now, this->RoutingEffects);
}

void SidecarReducer::updateDirectory(Instant Now) {
  const auto &Nodes = this->Members.nodes();
  std::vector<std::string> RemovedNodes;
  for (const auto &[Node, View] : this->Directory.views())
    if (Node != this->Options.Node &&
        std::ranges::none_of(Nodes, [&Node](const auto &Member) {
          return Member.second.Entry.Node == Node;
        }))
      RemovedNodes.push_back(Node);
  for (const std::string &Node : RemovedNodes) {
    this->Directory.removeNode(Node);
    this->Delays.remove(Node);
  }
  for (const auto &[Key, Stored] : Nodes) {
    const NodeEntry &Entry = Stored.Entry;
    if (Entry.Node == this->Options.Node)
      continue;
    this->Directory.setNode(Entry.Node, Entry.Place, Entry.LinkBytesPerSecond);
    const routing::TargetStatus &KnownStatus =
        this->Directory.find(Entry.Node)->Status;
    if (KnownStatus.Process == Entry.Process &&
        KnownStatus.Sequence >= Entry.Sequence)
      continue;
    // The entry contains no load information.
    bool SameTarget = KnownStatus.Target == Entry.Target;
    this->Directory.update(
        {.Process = Entry.Process,
         .Sequence = Entry.Sequence,
         .Target = {Entry.Target.Instance, Entry.Target.StartTimeMs,
                    Entry.Node},
         .Service = Entry.Service,
         .State = Entry.State,
         .Slots = Entry.Slots,
         .ServiceTime = SameTarget ? KnownStatus.ServiceTime : Duration(0)},
        Now);
  }
}

void SidecarReducer::publishStatus(Instant Now) {
  routing::TargetStatus Status = this->Gate.status(Now);
  this->Directory.update(Status, Now);
  NodeEntry SelfEntry = this->Members.selfEntry();
  const std::string &Service =
      Status.Service.empty() ? this->Options.Service : Status.Service;
  if (Status.Target == this->PublishedTarget &&
      Status.State == this->PublishedState && SelfEntry.Service == Service &&
      SelfEntry.Ended == this->EndedTarget && SelfEntry.Slots == Status.Slots)
    return;
  this->PublishedTarget = Status.Target;
  this->PublishedState = Status.State;
  SelfEntry.Target = this->Gate.target();
  SelfEntry.Service = Service;
  SelfEntry.State = Status.State;
  SelfEntry.Slots = Status.Slots;
  SelfEntry.Sequence = Status.Sequence;
  SelfEntry.Ended = this->EndedTarget;
  MembershipOutput Output;
  this->Members.setSelfEntry(SelfEntry, Now, Output);
  this->apply(std::move(Output), Now);
  this->RoutingEffects.push_back(
      SendMessage{"", routing::StatusNotice{Status}});
}

void SidecarReducer::on(Started, Instant Now) {
  this->StartedAt = Now;
  this->Keys.noteStart(Now);
  // The watch of the configuration opens before the members are known. Until
  // then a lone node's schedule is in force, whose requests are short.
  this->updateWatches();
  MembershipOutput Output;
  this->Members.start(Now, Output);
  this->apply(std::move(Output), Now);
  this->apply(this->Config.start(), Now);
}

void SidecarReducer::on(CallerRequestReceived Received, Instant Now) {
  if (!this->Members.isLoaded()) {
    // Until the members are known, only the local target could be chosen.
    this->Entry.reject(Received.Request, 503, "find target",
                       "the members are not known yet", NoMembersRetryAfter,
                       this->RoutingEffects);
    return;
  }
  if (this->StopRequestedAt != Instant() && Now >= this->RefuseFrom) {
    this->Entry.reject(Received.Request, 503, "take request", "the node stops",
                       StoppedRetryAfter, this->RoutingEffects);
    return;
  }
  this->Directory.update(this->Gate.status(Now), Now);
  Received.Request.CallerService = this->Options.Service;
  Received.Request.LocalRepeatShare = this->Gate.repeatShare();
  this->Entry.handleRequest(std::move(Received.Request), Now,
                            this->RoutingEffects);
}

void SidecarReducer::on(CallerDisconnected Disconnected, Instant Now) {
  this->Entry.handleCallerDisconnect(Disconnected.Caller, Now,
                                     this->RoutingEffects);
}

void SidecarReducer::on(const ForwardNotSent &NotSent, Instant Now) {
  this->Entry.handleSendFailure(NotSent.To, NotSent.Id, Now,
                                this->RoutingEffects);
}

void SidecarReducer::on(const CancelNotSent &NotSent, Instant Now) {
  this->Entry.handleCancelNotSent(NotSent.To, NotSent.Id, Now);
}

void SidecarReducer::on(PeerConnectionLost Lost, Instant Now) {
  this->Out.push_back(LogRecord{&events::PeerLost, {{"peer", Lost.Peer}}});
  this->Entry.handleConnectionLost(Lost.Peer, Now, this->RoutingEffects);
}

void SidecarReducer::on(const PeerReconnected &Reconnected, Instant Now) {
  this->Entry.handleNewConnection(Reconnected.Peer, Now, this->RoutingEffects);
}

void SidecarReducer::on(TargetAnswered Answered, Instant Now) {
  if (Answered.Signals)
    this->Gate.handleSignals(Answered.Call, *Answered.Signals, Now,
                             this->RoutingEffects);
  this->Gate.handleAnswer(Answered.Call, std::move(Answered.Answer),
                          Answered.NotRun, Now, this->RoutingEffects);
}

void SidecarReducer::on(const TargetFailed &Failed, Instant Now) {
  this->Gate.handleCallFailure(Failed.Call, Failed.Failure, Failed.Detail, Now,
                               this->RoutingEffects);
}

bool SidecarReducer::admitStoreAnswer(const absl::Status &Status,
                                      std::int64_t AnswerEra, Instant Now) {
  bool IsFirst = !this->Era.isKnown();
  std::int64_t Before = this->Era.known();
  bool Answered = Status.ok() || absl::IsNotFound(Status);
  switch (this->Era.observe(Answered, AnswerEra)) {
  case StoreEra::Verdict::Current:
    if (IsFirst && this->Era.isKnown())
      this->Members.setFirstEra(this->Era.known(), Now);
    return true;
  case StoreEra::Verdict::Old:
    this->Out.push_back(LogRecord{&events::StoreAnswerRefused,
                                  {{"era", std::to_string(AnswerEra)},
                                   {"known", std::to_string(Before)}}});
    return false;
  case StoreEra::Verdict::Risen:
    break;
  }
  ++this->StoreEraChanges;
  this->Out.push_back(LogRecord{
      &events::StoreEraChanged,
      {{"era", std::to_string(AnswerEra)},
       {"before", std::to_string(Before)},
       {"nodes", std::to_string(this->Members.nodes().size())},
       {"key_maps", std::to_string(this->Members.keyMaps().size())}}});
  MembershipOutput Output;
  this->Members.onEraRisen(this->Era.known(), Now, Output);
  this->Keys.onEraRisen();
  this->Config.onStoreRolledBack(Now +
                                 this->Options.Members.RejoinInterval *
                                     static_cast<int>(this->Members.rank()));
  this->apply(std::move(Output), Now);
  return true;
}

void SidecarReducer::on(StoreReplyReceived Replied, Instant Now) {
  if (!this->admitStoreAnswer(Replied.Reply.Status, Replied.Reply.Era, Now))
    Replied.Reply = {.Id = Replied.Reply.Id, .Status = earlierEraError()};
  this->Era.qualify(Replied.Reply);
  MembershipOutput Output;
  if (this->Members.onStoreReply(Replied.Reply, Now, Output)) {
    this->apply(std::move(Output), Now);
    return;
  }
  if (this->Keys.onStoreReply(Replied.Reply, Now, this->Out))
    this->onOwnersChanged(Now);
}

void SidecarReducer::on(StoreWatchUpdated Watched, Instant Now) {
  std::uint64_t ChangesBefore = this->StoreEraChanges;
  if (!this->admitStoreAnswer(Watched.Update.Status, Watched.Update.Era, Now))
    return;
  // The node reads everything anyway.
  if (!Watched.Update.Status.ok() && this->StoreEraChanges != ChangesBefore)
    return;
  this->Era.qualify(Watched.Update);
  MembershipOutput Output;
  this->Members.onWatchUpdate(Watched.Update, Now, Output);
  this->apply(std::move(Output), Now);
  // Entries that vanished change the rank without changing the known nodes.
  this->updateWatches();
}

void SidecarReducer::on(SettingsChanged Changed, Instant Now) {
  this->Out.push_back(
      LogRecord{&events::SettingsReloaded, {{"service", Changed.Service}}});
  if (Changed.Service == this->Options.Service)
    return;
  this->Out.push_back(LogRecord{&events::CallerServiceChanged,
                                {{"service", Changed.Service},
                                 {"previous", this->Options.Service},
                                 {"target", this->Gate.target().Instance}}});
  this->Options.Service = std::move(Changed.Service);
  this->publishStatus(Now);
}

void SidecarReducer::on(StopRequested, Instant Now) {
  if (this->StopRequestedAt != Instant())
    return;
  this->StopRequestedAt = Now;
  // A signal is handled in the iteration of the event loop after it was sent,
  // which may come late and contain a tick. The platform counts from its
  // sending.
  bool WasHeldUp = this->PreviousTickAt != Instant() &&
                   Now - this->PreviousTickAt >= MinStandstill;
  this->RefuseFrom =
      (WasHeldUp ? this->PreviousTickAt : Now) + AcceptTimeAfterStop;
  this->Entry.limitDeadlines(Now + this->Options.StopGrace - StopMargin -
                             FinalAnswerTime);
  this->Out.push_back(
      LogRecord{&events::SidecarStopping,
                {{"entry_open", std::to_string(this->Entry.openRequests())},
                 {"gate_open", std::to_string(this->Gate.openRequests())}}});
}

void SidecarReducer::advanceShutdown(const TimerTicked &Ticked, Instant Now) {
  if (this->StopRequestedAt == Instant() || this->ExitRequested)
    return;
  Duration SinceStop = Now - this->StopRequestedAt;
  if (SinceStop >= ReadinessLag && !this->AcceptStopped) {
    this->AcceptStopped = true;
    this->Out.push_back(StopAccepting{});
    this->Gate.close(Now, this->RoutingEffects);
    this->publishStatus(Now);
  }
  if (SinceStop >= this->Options.StopGrace - StopMargin - FinalAnswerTime)
    this->Gate.flushAnswers(Now, this->RoutingEffects);
  bool Idle = this->Entry.openRequests() == 0 &&
              this->Gate.openRequests() == 0 &&
              this->Gate.answerLink().committedBytes(Now) == 0 &&
              Ticked.UnsentAnswers == 0 && Ticked.UndeliveredMessages == 0;
  if (!Idle || !this->AcceptStopped)
    this->LastBusyAt = Now;
  if (Now - this->LastBusyAt >= ShutdownQuietTime ||
      SinceStop >= this->Options.StopGrace - StopMargin) {
    this->ExitRequested = true;
    this->Out.push_back(LogRecord{
        &events::SidecarStopped,
        {{"entry_open", std::to_string(this->Entry.openRequests())},
         {"gate_open", std::to_string(this->Gate.openRequests())},
         {"unsent", std::to_string(Ticked.UnsentAnswers)},
         {"undelivered", std::to_string(Ticked.UndeliveredMessages)}}});
    this->Out.push_back(Exit{});
  }
}

void SidecarReducer::updateWatches() {
  std::size_t Rank = this->Members.rank();
  Duration Pause = Rank == 0             ? PlannerWatchPause
                   : Rank <= DeputyCount ? DeputyWatchPause
                                         : MemberWatchPause;
  if (Pause != this->WatchPause) {
    this->WatchPause = Pause;
    this->Out.push_back(SetWatchPause{Pause});
  }
  WatchSchedule Schedule =
      scheduleConfigWatch(Rank, this->Members.nodes().size());
  if (Schedule != this->ConfigWatch) {
    this->ConfigWatch = Schedule;
    this->Out.push_back(SetConfigWatchSchedule{Schedule});
  }
}

void SidecarReducer::on(const TimerTicked &Ticked, Instant Now) {
  this->PreviousTickAt = std::exchange(this->LastTickAt, Now);
  this->StandstillHandled = false;
  this->Gate.tick(Now, this->RoutingEffects);
  this->Entry.tick(Now, this->RoutingEffects);
  MembershipOutput Output;
  this->Members.tick(Now, Output);
  this->apply(std::move(Output), Now);
  this->answerDeferredReport(Now);
  const TargetRef &Target = this->Gate.target();
  this->updateEndedTarget(Now);
  if (Target && this->isPartitioned(this->Gate.service()) &&
      this->Gate.state() == TargetState::Ready)
    this->Keys.reportLoad(this->Gate.service(), Target, this->Gate.capacity(),
                          Now, this->Out);
  this->apply(this->Config.tick(Now), Now);
  this->reportUnknownPlaces(Now);
  this->publishStatus(Now);
  this->Keys.tick(this->Entry.table(), Now, this->Out);
  this->advanceShutdown(Ticked, Now);
}

} // namespace orioledoor::sidecar
