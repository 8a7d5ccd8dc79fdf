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
// answers leave its buffers and requests that were sent before the caller
// learned of the stop are answered.
constexpr Duration ShutdownQuietTime = milliseconds(400);
// The process ends at the latest this long before the stop grace period is
// over.
constexpr Duration StopMargin = milliseconds(500);
// Requests that are still open this long before the process ends are answered.
constexpr Duration FinalAnswerTime = milliseconds(150);
// A target that stays silent after its last hold has ended holds no keys. The
// margin covers a report in transit.
constexpr Duration EndedMargin = milliseconds(300);
// Length of a hold by this node's clock; a target's clock may run 2% slow.
constexpr int SlowClockPercent = 102;
// Share of the platform's retry allowance that the fleet plans to use. The
// calls that retried requests cause count against the allowance as well.
constexpr double RetryAllowanceShare = 0.3;
// Each change of an entry ends the watch of every node, so nodes batch changes.
// The planning node acts on entries and batches for a short time. The nodes
// that would plan after it must notice soon that it is gone. The others learn
// of new nodes, target states and key owners from the nodes concerned.
constexpr Duration PlannerWatchPause = milliseconds(100);
constexpr Duration DeputyWatchPause = milliseconds(1000);
constexpr Duration MemberWatchPause = milliseconds(5'000);
constexpr std::size_t DeputyCount = 2;
// A target accepts keys only in the answer to its report and discards answers
// that take longer than a second. The answer to a target that is about to
// receive keys is deferred until the keys are available, at most for this time;
// otherwise they would wait for the next report.
constexpr Duration MaxReportDeferral = milliseconds(600);
// Number of nodes among which the constant part of the retry budget is divided
// until the members are known.
constexpr double AssumedFleetSize = 30;
// Shortest time without a tick in which the process counts as standing still;
// its part of the 500 ms that the platform allows between the departure of a
// caller and the arrival of its request at a target.
constexpr Duration MinStandstill = milliseconds(200);
// Shortest delay of a message that is logged. Pings of the transport report a
// connection without progress about as soon.
constexpr Duration MinLoggedDelay = milliseconds(250);

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
                this->Options.DrainTime),
      Config(this->Options.ConfigKey),
      Members(makeSelfEntry(this->Options), this->Options.Members),
      Keys(this->Options.Keys, this->Members),
      Gate({.Node = this->Options.Node,
            .DrainTime = this->Options.DrainTime,
            .Process = this->Options.Process,
            .LinkBytesPerSecond = this->Options.LinkBytesPerSecond}),
      Entry(
          {.Node = this->Options.Node,
           .Process = this->Options.Process,
           .CallerService = this->Options.Service,
           .Budget = {.Ratio = this->Options.RetryRatio * RetryAllowanceShare,
                      .ExtraPerWindow = this->Options.RetryExtra *
                                        RetryAllowanceShare / AssumedFleetSize,
                      .Window = this->Options.RetryWindow}},
          this->Directory, [this](std::string_view Service, std::int32_t Key) {
            return this->Keys.ownerOf(Service, Key);
          }) {
  this->Directory.setNode(this->Options.Node, this->Options.Place);
}

Duration SidecarReducer::standstill(Instant Now) const {
  return this->LastTickAt != Instant() &&
                 Now - this->LastTickAt >= MinStandstill
             ? Now - this->LastTickAt
             : Duration(0);
}

Effects SidecarReducer::handle(Event NewEvent, Instant Now) {
  this->Out.clear();
  if (!this->StandstillHandled && this->standstill(Now) > Duration(0)) {
    this->StandstillHandled = true;
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
  }
  if (Output.NodesChanged || Output.KeysChanged)
    this->onOwnersChanged(Now);
}

void SidecarReducer::onOwnersChanged(Instant Now) {
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
  // The watch of the configuration opens before the members are known. Until
  // then a lone node's schedule is in force, whose requests are short.
  this->updateWatches();
  MembershipOutput Output;
  this->Members.start(Now, Output);
  this->apply(std::move(Output), Now);
  this->apply(this->Config.start());
}

void SidecarReducer::on(CallerRequestReceived Received, Instant Now) {
  if (!this->Members.isLoaded()) {
    // Until the members are known, only the local target could be chosen.
    this->Entry.reject(Received.Request, 503, "find target",
                       "the members are not known yet", NoMembersRetryAfter,
                       this->RoutingEffects);
    return;
  }
  if (this->StopRequestedAt != Instant() &&
      Now - this->StopRequestedAt >= AcceptTimeAfterStop) {
    this->Entry.reject(Received.Request, 503, "take request", "the node stops",
                       StoppedRetryAfter, this->RoutingEffects);
    return;
  }
  this->Directory.update(this->Gate.status(Now), Now);
  this->Entry.handleRequest(std::move(Received.Request), Now,
                            this->RoutingEffects);
}

void SidecarReducer::on(CallerDisconnected Disconnected, Instant Now) {
  this->Entry.handleCallerDisconnect(Disconnected.Caller, Now,
                                     this->RoutingEffects);
}

void SidecarReducer::on(PeerMessageReceived Received, Instant Now) {
  this->receiveMessage(Received.From, std::move(Received.Body), Now);
}

Duration SidecarReducer::recordArrival(const std::string &From, Instant SentAt,
                                       Instant Now) {
  if (From == this->Options.Node || SentAt == Instant())
    return Duration(0);
  // Without an earlier message to compare it with, a message may be as late as
  // this process is.
  Duration Delay =
      this->Delays.note(From, SentAt, Now).value_or(this->standstill(Now));
  if (Delay >= MinLoggedDelay) {
    ++this->DelayedMessages;
    this->Out.push_back(
        LogRecord{&events::MessageDelayed,
                  {{"peer", From},
                   {"delay_ms", std::to_string(Delay / milliseconds(1))}}});
  }
  return Delay;
}

void SidecarReducer::remindOfLeaving(const std::string &From,
                                     const TargetRef &Target,
                                     TargetState Claimed, Instant Now) {
  if (Claimed != TargetState::Ready || From == this->Options.Node)
    return;
  if (auto KnownFor = this->Directory.leavingFor(Target, Now))
    this->Out.push_back(
        SendMessage{From, routing::TargetLeavingNotice{Target, *KnownFor}});
}

void SidecarReducer::receiveMessage(const std::string &From, Message Body,
                                    Instant Now) {
  if (auto *Request = std::get_if<routing::Forward>(&Body)) {
    Duration Delay = this->recordArrival(From, Request->SentAt, Now);
    this->onPeerConfigVersion(From, Request->ConfigVersion, Now);
    routing::KeyState KeyHold = routing::KeyState::NotKeyed;
    if (Request->Key != routing::NoKey) {
      auto KeyNumber = static_cast<std::uint32_t>(Request->Key);
      this->Keys.recordRequest(KeyNumber, Now);
      KeyHold = this->Keys.holds(KeyNumber, Now) ? routing::KeyState::Held
                                                 : routing::KeyState::NotHeld;
      if (KeyHold == routing::KeyState::NotHeld && From != this->Options.Node)
        this->sendKeyMap(From, *Request, Now);
    }
    this->Gate.handleForward(From, std::move(*Request), KeyHold, Now,
                             this->RoutingEffects, Delay);
  } else if (auto *Result = std::get_if<routing::ForwardResult>(&Body)) {
    this->recordArrival(From, Result->SentAt, Now);
    this->onPeerConfigVersion(From, Result->ConfigVersion, Now);
    this->Directory.update(Result->Status, Now);
    this->Entry.handleResult(From, std::move(*Result), Now,
                             this->RoutingEffects);
  } else if (auto *BodyRequest = std::get_if<routing::FetchBody>(&Body)) {
    this->Entry.handleFetchBody(From, *BodyRequest, Now, this->RoutingEffects);
  } else if (auto *BodyContent = std::get_if<routing::ForwardBody>(&Body)) {
    Duration Delay = this->recordArrival(From, BodyContent->SentAt, Now);
    this->Gate.handleBody(std::move(*BodyContent), Now, this->RoutingEffects,
                          Delay);
  } else if (auto *Asked = std::get_if<routing::ConfirmForward>(&Body)) {
    this->Entry.handleConfirm(From, *Asked, Now, this->RoutingEffects);
  } else if (auto *Confirmed = std::get_if<routing::ForwardConfirmed>(&Body)) {
    this->Gate.handleConfirmed(*Confirmed, Now, this->RoutingEffects);
  } else if (auto *Cancel = std::get_if<routing::CancelForward>(&Body)) {
    this->Gate.handleCancel(From, *Cancel, Now, this->RoutingEffects);
  } else if (auto *Resume = std::get_if<routing::ResumeForward>(&Body)) {
    this->Gate.handleResume(From, *Resume, Now, this->RoutingEffects);
  } else if (auto *Status = std::get_if<routing::StatusNotice>(&Body)) {
    this->recordArrival(From, Status->SentAt, Now);
    this->Directory.noteReached(From);
    this->Directory.update(Status->Status, Now);
    this->remindOfLeaving(From, Status->Status.Target, Status->Status.State,
                          Now);
  } else if (auto *Crash = std::get_if<routing::CrashNotice>(&Body)) {
    this->Gate.handleCrashNotice(From, *Crash, Now, this->RoutingEffects);
  } else if (auto *Cleared = std::get_if<routing::CrashCleared>(&Body)) {
    this->Gate.handleCrashCleared(*Cleared, this->RoutingEffects);
  } else if (auto *Leaving = std::get_if<routing::TargetLeavingNotice>(&Body)) {
    this->Gate.handleLeavingNotice(*Leaving, Now, this->RoutingEffects);
    this->publishStatus(Now);
  } else if (auto *KeyLoad = std::get_if<routing::KeyLoadNotice>(&Body)) {
    this->Keys.recordLoad(*KeyLoad, Now);
  } else if (auto *NewKeyMap = std::get_if<routing::KeyMapNotice>(&Body)) {
    if (this->Keys.receiveKeyMap(*NewKeyMap, this->Out))
      this->onOwnersChanged(Now);
  } else if (auto *KeyMapChange =
                 std::get_if<routing::KeyMapChangeNotice>(&Body)) {
    if (this->Keys.receiveChange(*KeyMapChange, Now, this->Out))
      this->onOwnersChanged(Now);
  } else if (auto *Announced = std::get_if<routing::NodeNotice>(&Body)) {
    MembershipOutput Output;
    this->Members.onAnnouncement(From, *Announced, Output);
    this->apply(std::move(Output), Now);
    if (absl::StatusOr<NodeEntry> Entry = decodeNodeEntry(Announced->Entry);
        Entry.ok())
      this->remindOfLeaving(From, Entry->Target, Entry->State, Now);
  } else if (auto *ConfigRequest = std::get_if<routing::FetchConfig>(&Body)) {
    this->sendConfig(From, *ConfigRequest, Now);
  } else if (auto *NewConfig = std::get_if<routing::ConfigNotice>(&Body)) {
    this->Out.push_back(DecodeConfig{std::move(NewConfig->Document), From});
  }
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

std::string_view
SidecarReducer::mismatchOf(const routing::TargetReport &Report) const {
  if (Report.Address != this->Options.TargetAddress)
    return "the address is not that of the target in the settings";
  // The settings may already name the successor of a target that still works.
  const TargetRef &Known = this->Gate.target();
  bool IsKnown = Known && Report.Instance == Known.Instance &&
                 Report.StartTimeMs == Known.StartTimeMs &&
                 Report.Service == this->Gate.service();
  if (!IsKnown && Report.Service != this->Options.Service)
    return "the service is not that of the settings";
  return {};
}

void SidecarReducer::on(TargetReportReceived Received, Instant Now) {
  const routing::TargetReport &Report = Received.Report;
  if (std::string_view Mismatch = this->mismatchOf(Report); !Mismatch.empty()) {
    ++this->RefusedReports;
    this->Out.push_back(
        LogRecord{&events::ReportRefused,
                  {{"instance", Report.Instance},
                   {"why", std::string(Mismatch)},
                   {"service", Report.Service},
                   {"address", Report.Address},
                   {"expected_service", this->Options.Service},
                   {"expected_address", this->Options.TargetAddress}}});
    this->Out.push_back(RefuseReport{Received.Id, std::string(Mismatch)});
    return;
  }
  routing::ReportVerdict Verdict =
      this->Gate.handleReport(Report, Now, this->RoutingEffects);
  if (Verdict == routing::ReportVerdict::Stale) {
    this->Out.push_back(ReplyToReport{Received.Id, {}});
    return;
  }
  this->ReportedAt = Now;
  if (Verdict == routing::ReportVerdict::NewIncarnation)
    this->Keys.resetGrants();
  this->EndedTarget = {};
  this->publishStatus(Now);
  if (this->Deferred)
    this->Out.push_back(ReplyToReport{this->Deferred->Report.Id, {}});
  bool ExpectsKeys =
      this->isPartitioned(Report.Service) &&
      this->Gate.state() == TargetState::Ready &&
      this->Keys.expectsKeys(Report.Service, this->Gate.target());
  this->Deferred = {std::move(Received),
                    ExpectsKeys ? Now + MaxReportDeferral : Now};
  this->answerDeferredReport(Now);
}

void SidecarReducer::answerDeferredReport(Instant Now) {
  if (!this->Deferred)
    return;
  const routing::TargetReport &Report = this->Deferred->Report.Report;
  if (Now < this->Deferred->Until && this->Gate.state() == TargetState::Ready &&
      this->Keys.expectsKeys(Report.Service, this->Gate.target()))
    return;
  routing::ReportAnswer Answer;
  if (this->isPartitioned(Report.Service))
    Answer =
        this->Keys.answerReport(Report, this->Gate.target(), Now, this->Out);
  this->Out.push_back(
      ReplyToReport{this->Deferred->Report.Id, std::move(Answer)});
  this->Deferred.reset();
}

void SidecarReducer::on(const TargetDeregistered &Deregistered, Instant Now) {
  this->Gate.handleShutdown(Deregistered.Instance, Now, this->RoutingEffects);
  this->publishStatus(Now);
}

void SidecarReducer::on(const StoreReplyReceived &Replied, Instant Now) {
  MembershipOutput Output;
  if (this->Members.onStoreReply(Replied.Reply, Now, Output)) {
    this->apply(std::move(Output), Now);
    return;
  }
  if (this->Keys.onStoreReply(Replied.Reply, Now, this->Out))
    this->onOwnersChanged(Now);
}

void SidecarReducer::on(const StoreWatchUpdated &Watched, Instant Now) {
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
  this->Entry.setCallerService(this->Options.Service);
  this->publishStatus(Now);
}

void SidecarReducer::on(StopRequested, Instant Now) {
  if (this->StopRequestedAt != Instant())
    return;
  this->StopRequestedAt = Now;
  this->Entry.limitDeadlines(Now + this->Options.StopGrace - StopMargin -
                             FinalAnswerTime);
  this->Out.push_back(
      LogRecord{&events::SidecarStopping,
                {{"entry_open", std::to_string(this->Entry.openRequests())},
                 {"gate_open", std::to_string(this->Gate.openRequests())}}});
}

void SidecarReducer::advanceShutdown(std::size_t UnsentAnswers, Instant Now) {
  if (this->StopRequestedAt == Instant() || this->ExitRequested)
    return;
  Duration SinceStop = Now - this->StopRequestedAt;
  if (SinceStop >= ReadinessLag && !this->AcceptStopped) {
    this->AcceptStopped = true;
    this->Out.push_back(StopAccepting{});
    this->Gate.close(Now, this->RoutingEffects);
    this->publishStatus(Now);
  }
  bool Idle = this->Entry.openRequests() == 0 &&
              this->Gate.openRequests() == 0 && UnsentAnswers == 0;
  if (!Idle || !this->AcceptStopped)
    this->LastBusyAt = Now;
  if (Now - this->LastBusyAt >= ShutdownQuietTime ||
      SinceStop >= this->Options.StopGrace - StopMargin) {
    this->ExitRequested = true;
    this->Out.push_back(
        LogRecord{&events::SidecarStopped,
                  {{"entry_open", std::to_string(this->Entry.openRequests())},
                   {"gate_open", std::to_string(this->Gate.openRequests())},
                   {"unsent", std::to_string(UnsentAnswers)}}});
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
  this->LastTickAt = Now;
  this->StandstillHandled = false;
  this->Gate.tick(Now, this->RoutingEffects);
  this->Entry.tick(Now, this->RoutingEffects);
  MembershipOutput Output;
  this->Members.tick(Now, Output);
  this->apply(std::move(Output), Now);
  this->answerDeferredReport(Now);
  const TargetRef &Target = this->Gate.target();
  // Holds that an earlier process of this node granted have ended, too.
  if (!Target && Now - this->StartedAt > this->Options.Keys.Grants.HoldTime *
                                                 SlowClockPercent / 100 +
                                             EndedMargin)
    this->EndedTarget = this->Keys.ownerBeside(this->Options.Node);
  if (Target && this->isPartitioned(this->Gate.service())) {
    if (Now > this->Keys.holdsEnd() + EndedMargin &&
        Now - this->ReportedAt > this->Options.Keys.Grants.HoldTime)
      this->EndedTarget = Target;
    if (this->Gate.state() == TargetState::Ready)
      this->Keys.reportLoad(this->Gate.service(), Target, this->Gate.capacity(),
                            Now, this->Out);
  }
  this->apply(this->Config.tick(Now));
  this->publishStatus(Now);
  this->Keys.tick(this->Entry.table(), Now, this->Out);
  this->advanceShutdown(Ticked.UnsentAnswers, Now);
}

} // namespace orioledoor::sidecar
