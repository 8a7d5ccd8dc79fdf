// Dispatch of events to the parts of a node.
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

// The platform asks once a second whether the node is ready and sends no new
// callers after two answers that say no.
constexpr Duration ReadinessLag = milliseconds(2600);
// Requests that come over kept connections later than this after the signal may
// not be answered before the process ends.
constexpr Duration AcceptTimeAfterStop = milliseconds(3000);
// A node that starts knows the members after three calls to the store.
constexpr Duration NoMembersRetryAfter = milliseconds(500);
// Another node of the failure domain takes the caller at once.
constexpr Duration StoppedRetryAfter = milliseconds(100);
// After its last answer a stopping process runs on for this long: answers leave
// its buffers, and requests that crossed the refusal of new work are answered.
constexpr Duration ShutdownQuietTime = milliseconds(400);
// What is left of the grace when the process ends at the latest.
constexpr Duration StopMargin = milliseconds(500);
// After its last hold has ended, a target that stays silent holds nothing. The
// margin covers a report that is on its way.
constexpr Duration EndedMargin = milliseconds(300);
// The share of the platform's retry allowance that the fleet plans to use: the
// calls that retried requests make count as well.
constexpr double RetryAllowanceShare = 0.3;
// Each change of an entry ends the watch of every node, so most nodes collect
// changes for a second: they hear of states and owners from the nodes
// concerned. The planning node acts on entries and collects for less.
constexpr Duration PlannerWatchPause = milliseconds(100);
constexpr Duration BaseWatchPause = milliseconds(1000);
// Changes come in proportion to the nodes, and each costs every node a call.
constexpr Duration WatchPausePerNode = milliseconds(20);
constexpr Duration MaxWatchPause = milliseconds(3000);
// A target takes keys with the answer to its report only, and counts an answer
// within a second. One that keys are coming to is answered when they are there,
// at the latest after this: otherwise they wait for its next report.
constexpr Duration MaxReportDeferral = milliseconds(600);
// Until the members are known, a node's part of the constant allowance.
constexpr double AssumedFleetSize = 30;

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

SidecarReducer::SidecarReducer(SidecarOptions Given)
    : Options(std::move(Given)),
      Directory(this->Options.Place, this->Options.Node),
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

Effects SidecarReducer::handle(Event Happened, Instant Now) {
  this->Out.clear();
  std::visit([this, Now](auto &Each) { this->on(std::move(Each), Now); },
             Happened);
  this->settle(Now);
  return std::exchange(this->Out, {});
}

bool SidecarReducer::ready() const {
  return this->Entry.table() && this->Members.known() &&
         this->StopRequestedAt == Instant();
}

bool SidecarReducer::isPartitioned(std::string_view Service) const {
  if (!this->Entry.table())
    return false;
  const routing::ServicePolicy *Policy = this->Entry.table()->service(Service);
  return Policy && Policy->Partitioned;
}

void SidecarReducer::settle(Instant Now) {
  Effects Done;
  while (!this->Path.empty() || !this->Out.empty()) {
    for (Effect &Each : std::exchange(this->Out, {}))
      this->route(std::move(Each), Now, Done);
    for (routing::Effect &Each : std::exchange(this->Path, {}))
      std::visit([&](auto &Asked) { this->route(std::move(Asked), Now, Done); },
                 Each);
  }
  this->Out = std::move(Done);
}

void SidecarReducer::route(Effect Asked, Instant Now, Effects &Done) {
  auto *Sent = std::get_if<SendMessage>(&Asked);
  if (Sent)
    this->setConfigVersion(Sent->Body);
  if (!Sent || (!Sent->To.empty() && Sent->To != this->Options.Node)) {
    Done.push_back(std::move(Asked));
    return;
  }
  if (!Sent->To.empty()) {
    this->receive(this->Options.Node, std::move(Sent->Body), Now);
    return;
  }
  // To all others.
  for (const auto &Entry : this->Directory.views())
    if (Entry.first != this->Options.Node)
      Done.push_back(SendMessage{Entry.first, Sent->Body});
}

void SidecarReducer::take(MembershipOutput Output, Instant Now) {
  for (LogRecord &Each : Output.Logs)
    this->Out.push_back(std::move(Each));
  for (StoreRequest &Each : Output.Calls)
    this->Out.push_back(CallStore{std::move(Each)});
  if (Output.WatchAfter != 0)
    this->Out.push_back(WatchStore{Output.WatchAfter});
  for (const std::string &Node : Output.RemovedNodes)
    if (Node != this->Options.Node)
      this->Entry.nodeLost(Node, true, Now, this->Path);
  for (const std::string &Node : Output.ReplacedNodes)
    if (Node != this->Options.Node)
      this->Entry.nodeReplaced(Node, Now, this->Path);
  if (Output.NodesChanged)
    this->updateDirectory(Now);
  if (Output.NodesChanged || Output.KeysChanged)
    this->ownersChanged(Now);
}

void SidecarReducer::ownersChanged(Instant Now) {
  // The target first, so that it holds what the requests are for.
  this->answerDeferredReport(Now);
  this->Entry.ownersChanged(Now, this->Path);
}

void SidecarReducer::updateDirectory(Instant Now) {
  const auto &Nodes = this->Members.nodes();
  std::vector<std::string> Gone;
  for (const auto &[Node, View] : this->Directory.views())
    if (Node != this->Options.Node &&
        std::ranges::none_of(Nodes, [&Node](const auto &Each) {
          return Each.second.Entry.Node == Node;
        }))
      Gone.push_back(Node);
  for (const std::string &Node : Gone)
    this->Directory.removeNode(Node);
  for (const auto &[Key, Stored] : Nodes) {
    const NodeEntry &Entry = Stored.Entry;
    if (Entry.Node == this->Options.Node)
      continue;
    this->Directory.setNode(Entry.Node, Entry.Place, Entry.LinkBytesPerSecond);
    const routing::TargetStatus &Known =
        this->Directory.find(Entry.Node)->Status;
    if (Known.Process == Entry.Process && Known.Sequence >= Entry.Sequence)
      continue;
    // The entry says nothing of the load.
    bool Same = Known.Target == Entry.Target;
    this->Directory.update(
        {.Process = Entry.Process,
         .Sequence = Entry.Sequence,
         .Target = {Entry.Target.Instance, Entry.Target.Born, Entry.Node},
         .Service = Entry.Service,
         .State = Entry.State,
         .Slots = Entry.Slots,
         .ServiceTime = Same ? Known.ServiceTime : Duration(0)},
        Now);
  }
}

void SidecarReducer::publish(Instant Now) {
  routing::TargetStatus Status = this->Gate.status(Now);
  this->Directory.update(Status, Now);
  NodeEntry Self = this->Members.self();
  if (Status.Target == this->PublishedTarget &&
      Status.State == this->PublishedState && Self.Ended == this->Ended &&
      Self.Slots == Status.Slots)
    return;
  this->PublishedTarget = Status.Target;
  this->PublishedState = Status.State;
  Self.Target = this->Gate.target();
  if (!Status.Service.empty())
    Self.Service = Status.Service;
  Self.State = Status.State;
  Self.Slots = Status.Slots;
  Self.Sequence = Status.Sequence;
  Self.Ended = this->Ended;
  MembershipOutput Output;
  this->Members.setSelf(Self, Now, Output);
  this->take(std::move(Output), Now);
  this->Path.push_back(SendMessage{"", routing::StatusNotice{Status}});
}

void SidecarReducer::on(Started, Instant Now) {
  MembershipOutput Output;
  this->Members.start(Now, Output);
  this->take(std::move(Output), Now);
  this->take(this->Config.start());
}

void SidecarReducer::on(CallerRequestReceived Came, Instant Now) {
  if (!this->Members.known()) {
    // Without the members no target but the own one could be chosen.
    this->Entry.reject(Came.Request, 503, "find target",
                       "the members are not known yet", NoMembersRetryAfter,
                       this->Path);
    return;
  }
  if (this->StopRequestedAt != Instant() &&
      Now - this->StopRequestedAt >= AcceptTimeAfterStop) {
    this->Entry.reject(Came.Request, 503, "take request", "the node stops",
                       StoppedRetryAfter, this->Path);
    return;
  }
  this->Directory.update(this->Gate.status(Now), Now);
  this->Entry.request(std::move(Came.Request), Now, this->Path);
}

void SidecarReducer::on(CallerDisconnected Went, Instant Now) {
  this->Entry.callerGone(Went.Caller, Now, this->Path);
}

void SidecarReducer::on(PeerMessageReceived Spoke, Instant Now) {
  this->receive(Spoke.From, std::move(Spoke.Body), Now);
}

void SidecarReducer::receive(const std::string &From, Message Body,
                             Instant Now) {
  if (auto *Request = std::get_if<routing::Forward>(&Body)) {
    this->onPeerConfigVersion(From, Request->ConfigVersion, Now);
    routing::KeyState Key = routing::KeyState::NotKeyed;
    if (Request->Key != routing::NoKey) {
      auto Number = static_cast<std::uint32_t>(Request->Key);
      this->Keys.recordRequest(Number, Now);
      Key = this->Keys.holds(Number, Now) ? routing::KeyState::Held
                                          : routing::KeyState::NotHeld;
      if (Key == routing::KeyState::NotHeld && From != this->Options.Node)
        this->Keys.sendKeyMap(From, Request->Service, Now, this->Out);
    }
    this->Gate.forward(From, std::move(*Request), Key, Now, this->Path);
  } else if (auto *Result = std::get_if<routing::ForwardResult>(&Body)) {
    this->onPeerConfigVersion(From, Result->ConfigVersion, Now);
    this->Directory.update(Result->Status, Now);
    this->Entry.result(From, std::move(*Result), Now, this->Path);
  } else if (auto *Asked = std::get_if<routing::FetchBody>(&Body)) {
    this->Entry.fetchBody(From, *Asked, Now, this->Path);
  } else if (auto *Content = std::get_if<routing::ForwardBody>(&Body)) {
    this->Gate.receiveBody(std::move(*Content), Now, this->Path);
  } else if (auto *Cancel = std::get_if<routing::CancelForward>(&Body)) {
    this->Gate.cancel(From, *Cancel, Now, this->Path);
  } else if (auto *Resumed = std::get_if<routing::ResumeForward>(&Body)) {
    this->Gate.resume(From, *Resumed, Now, this->Path);
  } else if (auto *Notice = std::get_if<routing::StatusNotice>(&Body)) {
    this->Directory.noteReached(From);
    this->Directory.update(Notice->Status, Now);
  } else if (auto *Crash = std::get_if<routing::CrashNotice>(&Body)) {
    this->Gate.noteCrash(*Crash, Now);
  } else if (auto *Load = std::get_if<routing::KeyLoadNotice>(&Body)) {
    this->Keys.recordLoad(*Load, Now);
  } else if (auto *Owners = std::get_if<routing::KeyMapNotice>(&Body)) {
    if (this->Keys.receiveKeyMap(*Owners, this->Out))
      this->ownersChanged(Now);
  } else if (auto *Behind = std::get_if<routing::FetchConfig>(&Body)) {
    this->sendConfig(From, *Behind, Now);
  } else if (auto *Newer = std::get_if<routing::ConfigNotice>(&Body)) {
    this->Out.push_back(DecodeConfig{std::move(Newer->Document), From});
  }
}

void SidecarReducer::on(const ForwardNotSent &NotSent, Instant Now) {
  this->Entry.notSent(NotSent.To, NotSent.Id, Now, this->Path);
}

void SidecarReducer::on(PeerConnectionLost Broke, Instant Now) {
  this->Out.push_back(LogRecord{&events::PeerLost, {{"peer", Broke.Peer}}});
  this->Entry.nodeLost(Broke.Peer, false, Now, this->Path);
}

void SidecarReducer::on(TargetAnswered Answered, Instant Now) {
  this->Gate.answered(Answered.Call, std::move(Answered.Answer),
                      Answered.NotRun, Now, this->Path);
}

void SidecarReducer::on(const TargetFailed &Failed, Instant Now) {
  this->Gate.failed(Failed.Call, Failed.Failure, Failed.Detail, Now,
                    this->Path);
}

void SidecarReducer::on(TargetReportReceived Reported, Instant Now) {
  const routing::TargetReport &Report = Reported.Report;
  routing::ReportVerdict Verdict = this->Gate.report(Report, Now, this->Path);
  if (Verdict == routing::ReportVerdict::Late) {
    this->Out.push_back(ReplyToReport{Reported.Id, {}});
    return;
  }
  this->ReportedAt = Now;
  if (Verdict == routing::ReportVerdict::NewLife) {
    this->Keys.resetGrants();
    this->Entry.setCallerService(Report.Service);
  }
  this->Ended = {};
  this->publish(Now);
  if (this->Held)
    this->Out.push_back(ReplyToReport{this->Held->Report.Id, {}});
  bool Expects = this->isPartitioned(Report.Service) &&
                 this->Gate.state() == TargetState::Ready &&
                 this->Keys.expectsKeys(Report.Service, this->Gate.target());
  this->Held = {std::move(Reported), Expects ? Now + MaxReportDeferral : Now};
  this->answerDeferredReport(Now);
}

void SidecarReducer::answerDeferredReport(Instant Now) {
  if (!this->Held)
    return;
  const routing::TargetReport &Report = this->Held->Report.Report;
  if (Now < this->Held->Until && this->Gate.state() == TargetState::Ready &&
      this->Keys.expectsKeys(Report.Service, this->Gate.target()))
    return;
  routing::ReportAnswer Answer;
  if (this->isPartitioned(Report.Service))
    Answer = this->Keys.report(Report, this->Gate.target(), Now, this->Out);
  this->Out.push_back(ReplyToReport{this->Held->Report.Id, std::move(Answer)});
  this->Held.reset();
}

void SidecarReducer::on(const TargetDeregistered &Left, Instant Now) {
  this->Gate.leave(Left.Instance, Now, this->Path);
  this->publish(Now);
}

void SidecarReducer::on(const StoreReplyReceived &Replied, Instant Now) {
  MembershipOutput Output;
  if (this->Members.onStoreReply(Replied.Reply, Now, Output)) {
    this->take(std::move(Output), Now);
    return;
  }
  if (this->Keys.onStoreReply(Replied.Reply, Now, this->Out))
    this->ownersChanged(Now);
}

void SidecarReducer::on(const StoreWatchUpdated &Watched, Instant Now) {
  MembershipOutput Output;
  this->Members.watched(Watched.Update, Now, Output);
  this->take(std::move(Output), Now);
}

void SidecarReducer::on(SettingsChanged Read, Instant) {
  this->Out.push_back(
      LogRecord{&events::SettingsReloaded, {{"service", Read.Service}}});
  if (!this->Gate.target())
    this->Entry.setCallerService(Read.Service);
}

void SidecarReducer::on(StopRequested, Instant Now) {
  if (this->StopRequestedAt != Instant())
    return;
  this->StopRequestedAt = Now;
  this->Out.push_back(
      LogRecord{&events::SidecarStopping,
                {{"entry_open", std::to_string(this->Entry.openRequests())},
                 {"gate_open", std::to_string(this->Gate.openRequests())}}});
}

void SidecarReducer::advanceShutdown(Instant Now) {
  if (this->StopRequestedAt == Instant() || this->Exited)
    return;
  Duration Since = Now - this->StopRequestedAt;
  if (Since >= ReadinessLag && !this->Closed) {
    this->Closed = true;
    this->Out.push_back(StopAccepting{});
    this->Gate.close(Now, this->Path);
    this->publish(Now);
  }
  bool Idle = this->Entry.openRequests() == 0 && this->Gate.openRequests() == 0;
  if (!Idle || !this->Closed)
    this->LastBusyAt = Now;
  if (Now - this->LastBusyAt >= ShutdownQuietTime ||
      Since >= this->Options.StopGrace - StopMargin) {
    this->Exited = true;
    this->Out.push_back(
        LogRecord{&events::SidecarStopped,
                  {{"entry_open", std::to_string(this->Entry.openRequests())},
                   {"gate_open", std::to_string(this->Gate.openRequests())}}});
    this->Out.push_back(Exit{});
  }
}

void SidecarReducer::updateWatchPause() {
  bool Plans = this->Keys.planningNode() == this->Options.Node;
  auto Nodes = static_cast<int>(this->Members.nodes().size());
  Duration Pause = Plans ? PlannerWatchPause
                         : std::min(MaxWatchPause,
                                    BaseWatchPause + WatchPausePerNode * Nodes);
  if (Pause == this->WatchPause)
    return;
  this->WatchPause = Pause;
  this->Out.push_back(SetWatchPause{Pause});
}

void SidecarReducer::on(TimerTicked, Instant Now) {
  this->Gate.tick(Now, this->Path);
  this->Entry.tick(Now, this->Path);
  MembershipOutput Output;
  this->Members.tick(Now, Output);
  this->take(std::move(Output), Now);
  this->answerDeferredReport(Now);
  const TargetRef &Target = this->Gate.target();
  if (Target && this->isPartitioned(this->Gate.service())) {
    if (Now > this->Keys.holdsEnd() + EndedMargin &&
        Now - this->ReportedAt > this->Options.Keys.Grants.HoldTime)
      this->Ended = Target;
    const routing::AdmissionQueue &Queue = this->Gate.queue();
    Duration Service = Queue.serviceTime().count() > 0 ? Queue.serviceTime()
                                                       : milliseconds(150);
    if (this->Gate.state() == TargetState::Ready)
      this->Keys.reportLoad(this->Gate.service(), Target,
                            Queue.slots() * 1e6 /
                                static_cast<double>(Service.count()),
                            Now, this->Out);
  }
  this->take(this->Config.tick(Now));
  this->publish(Now);
  this->Keys.tick(this->Entry.table(), Now, this->Out);
  this->updateWatchPause();
  this->advanceShutdown(Now);
}

} // namespace orioledoor::sidecar
