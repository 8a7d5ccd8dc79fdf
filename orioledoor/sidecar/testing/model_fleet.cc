// Simulation of processes, store calls, messages and faults in virtual time.
#include "orioledoor/sidecar/testing/model_fleet.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

#include "orioledoor/keyspace/key_map.h"

namespace orioledoor::sidecar::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(5);
constexpr Duration TickInterval = milliseconds(20);
constexpr Duration ReportInterval = milliseconds(870);
constexpr Duration CallTimeout = milliseconds(1000);
// Mean interval between faults, in milliseconds.
constexpr int FaultInterval = 1500;
// Time after which a message to a process that is down is reported as not sent.
constexpr Duration ConnectTimeout = milliseconds(300);
// Chance of a request at each node in each step: 10 requests/s a node.
constexpr int RequestPercent = 5;
// Share of the callers that leave, if any do.
constexpr int LeavePercent = 40;
// Time after which the loss of a VM or of a connection shows, since a ping is
// not answered.
constexpr Duration LostPingTime = milliseconds(550);
// Time for connecting again and the first message, across regions.
constexpr Duration ReconnectTime = milliseconds(32);
constexpr Duration EvacuationTime = milliseconds(5000);
// A node that has reached the store for this long knows what it says: a read
// that failed is repeated after 1.3 s.
constexpr Duration LearnTime = milliseconds(1500);
// Share of the reports that are late, and by how much.
constexpr int LateReportPercent = 15;
constexpr int MaxLatenessMillis = 6000;
constexpr char OperatorPrefix[] = "op/";
constexpr char EvacuationPrefix[] = "op/evacuate/";

routing::SharedRouteTable newTable() {
  auto Table = std::make_shared<routing::RouteTable>();
  Table->Version = 1;
  Table->Services["consulta"] = {"consulta", "/health", 130, true};
  Table->finish();
  return Table;
}

Event replyEvent(StoreReply Reply, bool IsConfigRead) {
  if (IsConfigRead)
    return ConfigReadReplied{std::move(Reply)};
  return StoreReplyReceived{std::move(Reply)};
}

} // namespace

ModelFleet::ModelFleet(std::uint64_t Seed, int Nodes, ModelSchedule Schedule)
    : Random(Seed), Schedule(Schedule),
      Table(this->isKeyed() ? newTable() : trafficTable(1)) {
  if (this->rollsBack())
    this->Store.setEra(1);
  if (Schedule == ModelSchedule::Delays)
    this->Traffic.allowLateAnswers();
  for (int Index = 0; Index < Nodes; ++Index) {
    auto Added = std::make_unique<Vm>();
    Added->Index = Index;
    Added->Node = "tcp://10.0.0." + std::to_string(10 + Index) + ":7100";
    Added->NodeUpAt = this->Now + this->randomDuration(300);
    Added->TargetUpAt = this->Now + this->randomDuration(800);
    this->Vms.push_back(std::move(Added));
  }
}

void ModelFleet::recordHistory(std::string Line) {
  this->History.push_back(std::to_string(this->Now.micros() / 1000) +
                          " ms: " + std::move(Line));
}

void ModelFleet::startNode(Vm &Machine) {
  SidecarOptions Options;
  Options.Node = Machine.Node;
  Options.Process = Machine.Process = this->NextProcess++;
  Options.Place = {"domain-" + std::to_string(Machine.Index), "region"};
  Options.Service = this->Table->Services.begin()->first;
  Options.TargetAddress = ModelTarget::Address;
  if (this->hasEvacuations()) {
    Options.Place.FailureDomain = "domain-" + std::to_string(Machine.Index % 3);
    Options.OperatorPrefix = OperatorPrefix;
    Options.EvacuationTime = EvacuationTime;
  }
  Machine.Reducer = std::make_unique<SidecarReducer>(Options);
  Machine.DelayedEvents.clear();
  Machine.WatchAfter = Machine.OperatorWatchAfter = -1;
  Machine.NextTick = this->Now;
  Machine.Stopping = Machine.ExitDue = false;
  this->execute(Machine, Machine.Reducer->handle(Started{}, this->Now));
  this->execute(Machine,
                Machine.Reducer->handle(ConfigDecoded{this->Table}, this->Now));
}

void ModelFleet::startTarget(Vm &Machine) {
  std::int64_t Born = this->NextBorn++;
  // A restarted target may or may not reuse the instance id of its predecessor
  // on the same VM.
  std::string Instance = "i-" + std::to_string(Machine.Index);
  if (this->randomChance(50))
    Instance += "-" + std::to_string(Born);
  double Rate = 0.98 + 0.02 * static_cast<double>(this->Random() % 2);
  Machine.Target = std::make_unique<ModelTarget>(
      this->Table->Services.begin()->first, Instance, Born, Rate);
  Machine.NextReport = this->Now + this->randomDuration(870);
  // The connections of the previous process ended with it.
  ++Machine.ReportId;
}

void ModelFleet::deliver(Vm &To, Event NewEvent) {
  if (!To.Reducer)
    return;
  if (this->Now < To.FrozenUntil) {
    To.DelayedEvents.push_back(std::move(NewEvent));
    return;
  }
  this->execute(To, To.Reducer->handle(std::move(NewEvent), this->Now));
}

void ModelFleet::execute(Vm &From, Effects NewEffects) {
  for (Effect &NewEffect : NewEffects) {
    if (auto *Message = std::get_if<SendMessage>(&NewEffect)) {
      this->sendMessage(From, *Message);
    } else if (auto *Run = std::get_if<StartCall>(&NewEffect)) {
      this->startRun(From, *Run);
    } else if (auto *Replied = std::get_if<ReplyToCaller>(&NewEffect)) {
      this->Traffic.recordReply(Replied->Caller, Replied->Answer.Status,
                                this->Now);
    } else if (std::holds_alternative<Exit>(NewEffect)) {
      From.ExitDue = true;
    } else if (auto *Call = std::get_if<CallStore>(&NewEffect)) {
      this->callStore(From, std::move(Call->Request));
    } else if (auto *Watch = std::get_if<WatchStore>(&NewEffect)) {
      From.WatchAfter = Watch->Revision;
    } else if (auto *Read = std::get_if<ReadConfig>(&NewEffect);
               Read && this->hasEvacuations()) {
      this->callStore(From, {.Body = std::move(Read->Range)}, true);
    } else if (auto *OperatorWatch = std::get_if<WatchConfig>(&NewEffect)) {
      From.OperatorWatchAfter = OperatorWatch->Revision;
    } else if (auto *Reply = std::get_if<ReplyToReport>(&NewEffect)) {
      this->answerReport(From, *Reply);
    } else if (auto *Logged = std::get_if<LogRecord>(&NewEffect)) {
      std::string Line =
          "vm " + std::to_string(From.Index) + ' ' + Logged->Event->Name;
      for (const LogField &Field : Logged->Fields)
        Line += ' ' + Field.Name + '=' + Field.Value;
      this->recordHistory(std::move(Line));
    }
  }
}

void ModelFleet::sendMessage(Vm &From, const SendMessage &Message) {
  for (auto &To : this->Vms) {
    bool Broadcast =
        Message.To.empty() && !this->isKeyed() && To.get() != &From;
    if ((To->Node != Message.To && !Broadcast) ||
        this->Now < From.PeerCutUntil || this->Now < To->PeerCutUntil)
      continue;
    // Until the connection counts as lost, frames disappear without a sign.
    if (this->Now < To->SilentUntil)
      continue;
    if (auto Silent = this->SilentConnections.find({From.Index, To->Index});
        Silent != this->SilentConnections.end()) {
      ++Silent->second.LostMessages;
      continue;
    }
    const auto *Request = std::get_if<routing::Forward>(&Message.Body);
    if (Request && !To->Reducer)
      this->ScheduledEvents.emplace(
          this->Now + ConnectTimeout,
          ScheduledEvent{From.Index, From.Process,
                         ForwardNotSent{To->Node, Request->Id}});
    else
      this->ScheduledEvents.emplace(
          std::max(this->Now + milliseconds(1) + this->randomDuration(9),
                   To->MessagesHeldUntil),
          ScheduledEvent{To->Index, To->Process,
                         PeerMessageReceived{From.Node, Message.Body}});
  }
}

void ModelFleet::silenceConnection() {
  int From = static_cast<int>(this->Random() % this->Vms.size());
  int To = static_cast<int>(this->Random() % this->Vms.size());
  if (From == To)
    return;
  this->recordHistory("connection from vm " + std::to_string(From) + " to vm " +
                      std::to_string(To) + " falls silent");
  this->SilentConnections.try_emplace({From, To}, this->Now + LostPingTime);
}

void ModelFleet::replaceConnections() {
  for (const auto &[Ends, Silent] : this->SilentConnections) {
    if (this->Now < Silent.Until)
      continue;
    const Vm &From = *this->Vms[static_cast<std::size_t>(Ends.first)];
    const Vm &To = *this->Vms[static_cast<std::size_t>(Ends.second)];
    this->ScheduledEvents.emplace(
        this->Now,
        ScheduledEvent{From.Index, From.Process, PeerConnectionLost{To.Node}});
    this->ScheduledEvents.emplace(
        this->Now + ReconnectTime,
        ScheduledEvent{To.Index, To.Process, PeerReconnected{From.Node}});
  }
  std::erase_if(this->SilentConnections, [this](const auto &Entry) {
    return this->Now >= Entry.second.Until;
  });
}

std::size_t ModelFleet::undeliveredMessages(const Vm &Machine) const {
  return std::accumulate(this->SilentConnections.begin(),
                         this->SilentConnections.end(), std::size_t{0},
                         [&Machine](std::size_t Sum, const auto &Entry) {
                           return Sum + (Entry.first.first == Machine.Index
                                             ? Entry.second.LostMessages
                                             : 0);
                         });
}

void ModelFleet::startRun(const Vm &Machine, const StartCall &Call) {
  this->Traffic.recordStart(Call.AttemptId, Machine.Index, this->Now);
  Duration RunTime = milliseconds(20) + this->randomDuration(900);
  this->Traffic.recordRunEnd(Call.AttemptId, this->Now + RunTime);
  if (this->isEvacuated(Machine) && Machine.KnowsEvacuation &&
      this->Failure.empty())
    this->Failure = "request " + Call.AttemptId + " ran at evacuated vm " +
                    std::to_string(Machine.Index) + " at " +
                    std::to_string(this->Now.micros() / 1000) + " ms";
  this->ScheduledEvents.emplace(
      this->Now + RunTime,
      ScheduledEvent{Machine.Index, Machine.Process,
                     TargetAnswered{.Call = Call.CallId,
                                    .Answer = {200, {}, ""},
                                    .Signals = routing::TargetSignals{}}});
}

void ModelFleet::sendRequests() {
  // Callers use open connections until the process is gone.
  for (auto &Machine : this->Vms)
    if (Machine->Reducer && (Machine->Stopping || Machine->Reducer->ready()) &&
        this->randomChance(RequestPercent)) {
      CallerRequestReceived Added = this->Traffic.addRequest(
          Machine->Process, this->randomChance(50), this->Now);
      if (this->Schedule != ModelSchedule::PlannedStops &&
          this->Schedule != ModelSchedule::StopsAndSilence &&
          this->randomChance(LeavePercent))
        this->Departures.emplace(
            this->Now + this->randomDuration(1500),
            Departure{Machine->Index, Machine->Process, Added.Request.Caller});
      this->deliver(*Machine, std::move(Added));
    }
}

void ModelFleet::letCallersLeave() {
  while (!this->Departures.empty() &&
         this->Departures.begin()->first <= this->Now) {
    Departure Next = this->Departures.begin()->second;
    this->Departures.erase(this->Departures.begin());
    Vm &Machine = *this->Vms[static_cast<std::size_t>(Next.VmIndex)];
    // A node that stands still learns of it only afterwards.
    if (!this->Traffic.leave(Next.Caller,
                             std::max(this->Now, Machine.FrozenUntil)) ||
        Machine.Process != Next.Process)
      continue;
    // The server drops requests that it reads after their callers have left.
    auto IsUnread = [&Next](const Event &Delayed) {
      const auto *Unread = std::get_if<CallerRequestReceived>(&Delayed);
      return Unread && Unread->Request.Caller == Next.Caller;
    };
    if (std::erase_if(Machine.DelayedEvents, IsUnread) == 0)
      this->deliver(Machine, CallerDisconnected{Next.Caller});
  }
}

void ModelFleet::loseConnections(const Vm &Machine, Duration Delay) {
  for (auto &Other : this->Vms)
    if (Other->Reducer)
      this->ScheduledEvents.emplace(
          this->Now + Delay + this->randomDuration(9),
          ScheduledEvent{Other->Index, Other->Process,
                         PeerConnectionLost{Machine.Node}});
}

void ModelFleet::loseVm(Vm &Machine, Duration Time) {
  this->recordHistory("vm " + std::to_string(Machine.Index) + " lost for " +
                      std::to_string(Time.count() / 1000) + " ms");
  this->Traffic.recordLoss(Machine.Index, Machine.Process);
  Machine.Reducer.reset();
  Machine.Target.reset();
  Machine.SilentUntil = this->Now + LostPingTime;
  Machine.NodeUpAt = Machine.SilentUntil + Time;
  Machine.TargetUpAt = Machine.NodeUpAt + this->randomDuration(500);
  this->loseConnections(Machine, LostPingTime);
}

void ModelFleet::stopNodes() {
  std::vector<std::size_t> Order(this->Vms.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::ranges::shuffle(Order, this->Random);
  std::size_t Count = 1 + this->Random() % (this->Vms.size() / 2);
  for (std::size_t Index : Order | std::views::take(Count)) {
    Vm &Machine = *this->Vms[Index];
    if (!Machine.Reducer || Machine.Stopping)
      continue;
    this->recordHistory("vm " + std::to_string(Index) + " is told to stop");
    this->OpenAtStops += this->Traffic.openAt(Machine.Process);
    Machine.Stopping = true;
    this->deliver(Machine, StopRequested{});
  }
}

void ModelFleet::endProcess(Vm &Machine) {
  this->Traffic.recordExit(Machine.Process, this->Now);
  Machine.Reducer.reset();
  Machine.NodeUpAt = this->Now + milliseconds(200) + this->randomDuration(1500);
  this->loseConnections(Machine, milliseconds(1));
}

void ModelFleet::evacuate(int VmIndex) {
  this->EvacuatedDomain = VmIndex % 3;
  std::string Domain = "domain-" + std::to_string(this->EvacuatedDomain);
  this->recordHistory(Domain + " evacuated");
  this->Store.apply(
      {.Body = StoreTxn{.Puts = {{EvacuationPrefix + Domain, "{}"}}}},
      this->Now);
}

void ModelFleet::endEvacuation() {
  std::string Domain = "domain-" + std::to_string(this->EvacuatedDomain);
  this->recordHistory("evacuation of " + Domain + " ended");
  this->Store.erase(EvacuationPrefix + Domain);
  this->EvacuatedDomain = -1;
  for (auto &Machine : this->Vms)
    Machine->KnowsEvacuation = false;
}

int ModelFleet::evacuatedKeys() const {
  int Held = 0;
  for (std::uint32_t Key = 0; Key <= keyspace::LastKey; Key += SampleStep)
    Held += std::ranges::any_of(this->Vms, [&](const auto &Machine) {
      return this->isEvacuated(*Machine) && Machine->Target &&
             Machine->Target->holds(Key, this->Now);
    });
  return Held;
}

void ModelFleet::updateEvacuationKnowledge() {
  for (auto &Machine : this->Vms) {
    bool MayLearn = this->reachesStore(*Machine) && Machine->Reducer &&
                    this->Now >= Machine->FrozenUntil &&
                    this->Now >= this->RepliesLostUntil &&
                    this->isEvacuated(*Machine);
    if (!MayLearn)
      Machine->MayLearnSince = this->Now;
    Machine->KnowsEvacuation |=
        MayLearn && this->Now - Machine->MayLearnSince >= LearnTime;
  }
}

void ModelFleet::serveOperatorWatch(Vm &Machine) {
  if (Machine.OperatorWatchAfter < 0 || !this->reachesStore(Machine) ||
      Machine.OperatorWatchAfter >= this->Store.revision())
    return;
  StoreWatchUpdate Update;
  Update.Revision = this->Store.revision();
  Update.Changes = this->Store.changesAfter(Machine.OperatorWatchAfter);
  std::erase_if(Update.Changes, [](const StoreChange &Change) {
    return !Change.Entry.Key.starts_with(OperatorPrefix);
  });
  Machine.OperatorWatchAfter = Update.Revision;
  if (!Update.Changes.empty())
    this->ScheduledEvents.emplace(
        this->Now + milliseconds(10),
        ScheduledEvent{Machine.Index, Machine.Process,
                       ConfigWatchUpdated{std::move(Update)}});
}

void ModelFleet::callStore(Vm &From, StoreRequest Request, bool IsConfigRead) {
  bool Reached = this->reachesStore(From);
  bool Lost = this->Now < this->RepliesLostUntil && this->randomChance(40);
  if (!Reached || Lost) {
    StoreReply Reply{.Id = Request.Id};
    // Either nothing was done, or the outcome is unknown.
    Reply.Status = Lost ? absl::DeadlineExceededError("no answer")
                        : absl::UnavailableError("not reached");
    this->ScheduledEvents.emplace(
        this->Now + (Lost ? CallTimeout : milliseconds(10)),
        ScheduledEvent{From.Index, From.Process,
                       replyEvent(std::move(Reply), IsConfigRead)});
  }
  if (!Reached)
    return;
  // A call that was not acknowledged may take effect seconds later.
  Duration Delay = Lost ? this->randomDuration(6000)
                        : milliseconds(2) + this->randomDuration(4);
  this->StoreCalls.emplace(this->Now + Delay,
                           StoreCall{From.Index, From.Process,
                                     std::move(Request), Lost, IsConfigRead});
}

void ModelFleet::serveStore() {
  while (!this->StoreCalls.empty() &&
         this->StoreCalls.begin()->first <= this->Now) {
    StoreCall Next = std::move(this->StoreCalls.begin()->second);
    this->StoreCalls.erase(this->StoreCalls.begin());
    StoreReply Reply = this->Store.apply(Next.Request, this->Now);
    if (!Next.ReplyLost)
      this->ScheduledEvents.emplace(
          this->Now + milliseconds(2),
          ScheduledEvent{Next.From, Next.Process,
                         replyEvent(std::move(Reply), Next.IsConfigRead)});
  }
  for (auto &Machine : this->Vms) {
    this->serveOperatorWatch(*Machine);
    if (Machine->WatchAfter < 0 || this->Now < this->StoreDownUntil ||
        this->Now < Machine->StoreCutUntil ||
        Machine->WatchAfter == this->Store.revision())
      continue;
    StoreWatchUpdate Update;
    Update.Era = this->Store.era();
    if (Machine->WatchAfter > this->Store.revision()) {
      // The store came back from an older copy.
      Update.Status = absl::OutOfRangeError("the revision does not exist");
      Machine->WatchAfter = -1;
      this->ScheduledEvents.emplace(
          this->Now + milliseconds(2) + this->randomDuration(20),
          ScheduledEvent{Machine->Index, Machine->Process,
                         StoreWatchUpdated{std::move(Update)}});
      continue;
    }
    Update.Revision = this->Store.revision();
    Update.Changes = this->Store.changesAfter(Machine->WatchAfter);
    std::erase_if(Update.Changes, [](const StoreChange &Change) {
      return !Change.Entry.Key.starts_with(NodePrefix);
    });
    Machine->WatchAfter = Update.Revision;
    this->ScheduledEvents.emplace(
        this->Now + milliseconds(2) + this->randomDuration(20),
        ScheduledEvent{Machine->Index, Machine->Process,
                       StoreWatchUpdated{std::move(Update)}});
  }
}

void ModelFleet::report(Vm &Machine, bool Faults) {
  Machine.NextReport = this->Now + ReportInterval;
  if (Faults && this->hasLateReports() &&
      (this->Now < Machine.ReportsLateUntil ||
       this->randomChance(LateReportPercent))) {
    Duration Lateness = CallTimeout + this->randomDuration(MaxLatenessMillis);
    this->recordHistory("report of vm " + std::to_string(Machine.Index) +
                        " late by " +
                        std::to_string(Lateness / milliseconds(1)) + " ms");
    this->LateReports.emplace(
        this->Now + Lateness,
        LateReport{Machine.Index, Machine.Target->report(this->Now)});
    // The target gives up on it.
    ++Machine.ReportId;
    Machine.NextReport = this->Now + CallTimeout;
    return;
  }
  if (!Machine.Reducer || this->Now < Machine.ReportsCutUntil)
    return;
  routing::TargetReport Report = Machine.Target->report(this->Now);
  this->deliver(Machine,
                TargetReportReceived{++Machine.ReportId, std::move(Report)});
}

void ModelFleet::restartBesideMove(Vm &Machine) {
  this->recordHistory("node of vm " + std::to_string(Machine.Index) +
                      " is to restart beside moving keys");
  if (Machine.Target && this->randomChance(50))
    Machine.Target->Draining = true;
  else
    this->reportHotKeys(Machine.Index);
  Machine.KillAt = this->Now + milliseconds(200) + this->randomDuration(1500);
}

void ModelFleet::killWhenDue(Vm &Machine) {
  if (!Machine.KillAt || this->Now < *Machine.KillAt)
    return;
  Machine.KillAt.reset();
  this->recordHistory("node process killed on vm " +
                      std::to_string(Machine.Index));
  Machine.Reducer.reset();
  Machine.NodeUpAt = this->Now + milliseconds(100) + this->randomDuration(400);
  Machine.ReportsLateUntil = this->Now + this->randomDuration(3000);
  // What is under way reaches the next process first.
  std::multimap<Instant, LateReport> Retimed;
  for (auto &[DueAt, Late] : this->LateReports)
    Retimed.emplace(Late.To == Machine.Index
                        ? Machine.NodeUpAt + this->randomDuration(600)
                        : DueAt,
                    std::move(Late));
  this->LateReports = std::move(Retimed);
}

void ModelFleet::deliverLateReports() {
  // Targets wait for no answer with this id.
  constexpr std::uint64_t UnawaitedId = 0;
  while (!this->LateReports.empty() &&
         this->LateReports.begin()->first <= this->Now) {
    LateReport Next = std::move(this->LateReports.begin()->second);
    this->LateReports.erase(this->LateReports.begin());
    this->deliver(*this->Vms[static_cast<std::size_t>(Next.To)],
                  TargetReportReceived{UnawaitedId, std::move(Next.Report)});
  }
}

void ModelFleet::answerReport(Vm &Machine, const ReplyToReport &Answer) {
  // The target no longer waits for answers to earlier reports.
  if (!Machine.Target || Answer.Id != Machine.ReportId)
    return;
  for (const auto &[Key, Fence] : Machine.Target->applyAnswer(
           Answer.Answer, this->Now, this->randomDuration(300))) {
    std::int64_t &Highest = this->Fences[Key];
    std::string Holder = Machine.Target->instance() + "/" +
                         std::to_string(Machine.Target->born());
    bool Same = this->LastHolder[Key] == Holder;
    if (Fence < Highest || (Fence == Highest && !Same))
      this->Failure = "key " + std::to_string(Key) + " taken by " + Holder +
                      " with token " + std::to_string(Fence) + ", after " +
                      std::to_string(Highest);
    if (!this->LastHolder[Key].empty() && !Same)
      ++this->Moves;
    Highest = std::max(Highest, Fence);
    this->LastHolder[Key] = Holder;
  }
  if (Machine.Target->isReleasing(this->Now))
    Machine.NextReport = this->Now + milliseconds(100);
}

void ModelFleet::injectFaultBesideStops() {
  if (this->Schedule == ModelSchedule::StopsAndSilence &&
      this->randomChance(50)) {
    this->silenceConnection();
    return;
  }
  Vm &Machine = *this->Vms[this->Random() % this->Vms.size()];
  Duration FaultTime = milliseconds(300) + this->randomDuration(6000);
  std::string TimeText =
      " for " + std::to_string(FaultTime.count() / 1000) + " ms";
  switch (this->Random() % 8) {
  case 0:
    this->LeasesPaused = this->randomChance(50);
    this->recordHistory(std::string("store down") +
                        (this->LeasesPaused ? "" : ", leases run out") +
                        TimeText);
    this->StoreDownUntil = this->Now + FaultTime;
    return;
  case 1:
    this->recordHistory("replies of the store lost" + TimeText);
    this->RepliesLostUntil = this->Now + FaultTime;
    return;
  case 2:
    this->recordHistory("lease of vm " + std::to_string(Machine.Index) +
                        " revoked, store unreachable" + TimeText);
    this->Store.endLease(
        this->Store.leaseOf(keyspace::KeyPlanner::nodeEntryKey(Machine.Node)));
    Machine.StoreCutUntil = this->Now + FaultTime;
    return;
  case 3:
    this->Table = trafficTable(this->Table->Version + 1);
    this->recordHistory("configuration changed");
    for (auto &Receiver : this->Vms)
      this->ScheduledEvents.emplace(this->Now + this->randomDuration(500),
                                    ScheduledEvent{Receiver->Index,
                                                   Receiver->Process,
                                                   ConfigDecoded{this->Table}});
    return;
  case 4:
    if (this->Schedule == ModelSchedule::StopsAndLosses && Machine.Reducer)
      this->loseVm(Machine, FaultTime);
    return;
  default:
    this->stopNodes();
  }
}

void ModelFleet::injectDelay() {
  Vm &Machine = *this->Vms[this->Random() % this->Vms.size()];
  Duration Time = milliseconds(300) + this->randomDuration(1700);
  bool StandsStill = this->randomChance(50);
  this->recordHistory(
      "vm " + std::to_string(Machine.Index) +
      (StandsStill ? " stands still" : " gets its messages late") + " for " +
      std::to_string(Time.count() / 1000) + " ms");
  (StandsStill ? Machine.FrozenUntil : Machine.MessagesHeldUntil) =
      this->Now + Time;
}

void ModelFleet::reportHotKeys(int Index) {
  for (auto &Owner : this->Vms)
    if (Owner->Reducer && Owner->Target)
      for (auto &Receiver : this->Vms)
        this->ScheduledEvents.emplace(
            this->Now,
            ScheduledEvent{
                Receiver->Index, Receiver->Process,
                PeerMessageReceived{
                    Owner->Node,
                    routing::KeyLoadNotice{
                        .Service = "consulta",
                        .Target = {Owner->Target->instance(),
                                   Owner->Target->born(), Owner->Node},
                        .Rate = Owner->Index == Index ? 200.0 : 20.0,
                        .Capacity = 100,
                        .Quantiles = {8192, 16384, 24576, 32768, 40960, 49152,
                                      57344}}}});
}

void ModelFleet::injectFault() {
  if (this->Schedule == ModelSchedule::Delays) {
    this->injectDelay();
    return;
  }
  // The operator cannot write either while the store is down.
  if (this->hasEvacuations() && this->Now >= this->StoreDownUntil &&
      this->randomChance(25)) {
    if (this->EvacuatedDomain < 0)
      this->evacuate(static_cast<int>(this->Random() % 3));
    else
      this->endEvacuation();
    return;
  }
  if (!this->isKeyed()) {
    this->injectFaultBesideStops();
    return;
  }
  Vm &Machine = *this->Vms[this->Random() % this->Vms.size()];
  if (this->hasLateReports() && this->randomChance(50)) {
    this->restartBesideMove(Machine);
    return;
  }
  std::string Name = "vm " + std::to_string(Machine.Index);
  Duration FaultTime = milliseconds(300) + this->randomDuration(9000);
  std::string TimeText =
      " for " + std::to_string(FaultTime.count() / 1000) + " ms";
  // The last four are rollbacks, which only one schedule has.
  switch (this->Random() % (this->rollsBack() ? 17 : 13)) {
  case 13:
  case 14:
  case 15:
    this->rollBackStore(FaultTime / 6);
    break;
  case 16:
    this->rollBackStore(FaultTime / 6);
    this->restartAll(FaultTime / 6, this->randomChance(50));
    break;
  case 0:
    this->recordHistory("node process killed on " + Name + TimeText);
    Machine.Reducer.reset();
    Machine.NodeUpAt = this->Now + FaultTime / 3;
    break;
  case 1:
    this->recordHistory("power lost on " + Name + TimeText);
    Machine.Reducer.reset();
    Machine.Target.reset();
    Machine.NodeUpAt = this->Now + FaultTime;
    Machine.TargetUpAt = this->Now + FaultTime + this->randomDuration(500);
    break;
  case 2:
    this->recordHistory("node frozen on " + Name + TimeText);
    Machine.FrozenUntil = this->Now + FaultTime;
    break;
  case 3:
    this->recordHistory("target crashed on " + Name + TimeText);
    Machine.Target.reset();
    Machine.TargetUpAt = this->Now + FaultTime;
    break;
  case 4:
    this->recordHistory("store unreachable from " + Name + TimeText);
    Machine.StoreCutUntil = this->Now + FaultTime;
    break;
  case 5:
    this->recordHistory("peers unreachable from " + Name + TimeText);
    Machine.PeerCutUntil = this->Now + FaultTime;
    break;
  case 6:
    this->recordHistory(Name + " cut off" + TimeText);
    Machine.PeerCutUntil = Machine.StoreCutUntil = this->Now + FaultTime;
    break;
  case 7:
    this->LeasesPaused = this->randomChance(50);
    this->recordHistory(std::string("store down") +
                        (this->LeasesPaused ? "" : ", leases run out") +
                        TimeText);
    this->StoreDownUntil = this->Now + FaultTime;
    break;
  case 8:
    this->recordHistory("replies of the store lost" + TimeText);
    this->RepliesLostUntil = this->Now + FaultTime;
    break;
  case 9:
    this->recordHistory("lease of " + Name + " revoked, store unreachable" +
                        TimeText);
    this->Store.endLease(
        this->Store.leaseOf(keyspace::KeyPlanner::nodeEntryKey(Machine.Node)));
    Machine.StoreCutUntil = this->Now + FaultTime;
    break;
  case 10:
    this->recordHistory("reports lost on " + Name + TimeText);
    Machine.ReportsCutUntil = this->Now + FaultTime;
    break;
  case 11:
    this->recordHistory("target drains on " + Name);
    if (Machine.Target)
      Machine.Target->Draining = true;
    break;
  default:
    this->recordHistory("hot keys at " + Name);
    this->reportHotKeys(Machine.Index);
  }
}

void ModelFleet::checkHolders() {
  for (std::uint32_t Key = 0; Key <= keyspace::LastKey; Key += SampleStep) {
    const ModelTarget *Holder = nullptr;
    for (const auto &Machine : this->Vms) {
      if (!Machine->Target || !Machine->Target->holds(Key, this->Now))
        continue;
      if (Holder && this->Failure.empty())
        this->Failure = "key " + std::to_string(Key) + " held by " +
                        Holder->instance() + " and " +
                        Machine->Target->instance() + " at " +
                        std::to_string(this->Now.micros() / 1000) + " ms";
      Holder = Machine->Target.get();
    }
  }
}

int ModelFleet::unheldKeys() const {
  int Unheld = 0;
  for (std::uint32_t Key = 0; Key <= keyspace::LastKey; Key += SampleStep)
    Unheld += std::ranges::none_of(this->Vms, [&](const auto &Machine) {
      return Machine->Target && Machine->Target->holds(Key, this->Now);
    });
  return Unheld;
}

void ModelFleet::rollBackStore(Duration Time) {
  this->recordHistory("store rolled back, away for " +
                      std::to_string(Time / milliseconds(1)) + " ms");
  this->StoreDownUntil = this->Now + Time;
  this->RollBackDue = true;
}

void ModelFleet::restartAll(Duration Time, bool Targets) {
  this->recordHistory(std::string("all nodes ") +
                      (Targets ? "and targets " : "") + "restarted");
  for (auto &Machine : this->Vms) {
    Machine->Reducer.reset();
    Machine->NodeUpAt = this->Now + Time + this->randomDuration(300);
    if (!Targets)
      continue;
    Machine->Target.reset();
    Machine->TargetUpAt = this->Now + Time + this->randomDuration(800);
  }
}

void ModelFleet::restartNode(int Index) {
  Vm &Machine = *this->Vms[static_cast<std::size_t>(Index)];
  Machine.Reducer.reset();
  Machine.NodeUpAt = this->Now + milliseconds(200);
}

std::vector<std::string> ModelFleet::holders() const {
  std::vector<std::string> Holders;
  for (std::uint32_t Key = 0; Key <= keyspace::LastKey; Key += SampleStep) {
    auto Found = std::ranges::find_if(this->Vms, [&](const auto &Machine) {
      return Machine->Target && Machine->Target->holds(Key, this->Now);
    });
    Holders.push_back(Found == this->Vms.end() ? std::string()
                                               : (*Found)->Target->instance());
  }
  return Holders;
}

void ModelFleet::step(bool Faults) {
  this->Now = this->Now + Step;
  if (this->rollsBack() && Faults && this->Now >= this->NextCopyAt &&
      !this->RollBackDue) {
    this->NextCopyAt = this->Now + seconds(3);
    this->Store.takeCopy();
  }
  if (this->RollBackDue && this->Now >= this->StoreDownUntil) {
    this->RollBackDue = false;
    this->Store.rollBack(this->Now);
    // Calls that were under way may be executed on the older content.
    if (this->randomChance(50))
      this->StoreCalls.clear();
  }
  bool Down = this->Now < this->StoreDownUntil;
  this->Store.tick(this->Now, Down && this->LeasesPaused);
  if (Faults && this->Random() % FaultInterval <
                    static_cast<std::uint64_t>(Step / milliseconds(1)))
    this->injectFault();
  this->serveStore();
  this->replaceConnections();
  this->updateEvacuationKnowledge();
  this->deliverLateReports();
  while (!this->ScheduledEvents.empty() &&
         this->ScheduledEvents.begin()->first <= this->Now) {
    ScheduledEvent Next = std::move(this->ScheduledEvents.begin()->second);
    this->ScheduledEvents.erase(this->ScheduledEvents.begin());
    Vm &To = *this->Vms[static_cast<std::size_t>(Next.To)];
    if (To.Process == Next.Process)
      this->deliver(To, std::move(Next.Payload));
  }
  for (auto &MachinePtr : this->Vms) {
    Vm &Machine = *MachinePtr;
    this->killWhenDue(Machine);
    if (!Machine.Reducer && this->Now >= Machine.NodeUpAt)
      this->startNode(Machine);
    if (!Machine.Target && this->Now >= Machine.TargetUpAt)
      this->startTarget(Machine);
    if (Machine.Reducer && this->Now >= Machine.FrozenUntil &&
        !Machine.DelayedEvents.empty())
      for (Event &NewEvent : std::exchange(Machine.DelayedEvents, {}))
        this->deliver(Machine, std::move(NewEvent));
    if (Machine.Target && Machine.Target->Draining && this->randomChance(1) &&
        this->randomChance(20)) {
      Machine.Target.reset();
      Machine.TargetUpAt = this->Now + this->randomDuration(4000);
    }
    if (Machine.Target && this->Now >= Machine.NextReport)
      this->report(Machine, Faults);
    if (Machine.Reducer && this->Now >= Machine.NextTick &&
        this->Now >= Machine.FrozenUntil) {
      Machine.NextTick = this->Now + TickInterval;
      this->deliver(Machine,
                    TimerTicked{.UndeliveredMessages =
                                    this->undeliveredMessages(Machine)});
    }
    if (Machine.ExitDue && Machine.Reducer)
      this->endProcess(Machine);
  }
  if (!this->isKeyed()) {
    this->letCallersLeave();
    this->sendRequests();
  }
  if (this->Failure.empty())
    this->Failure = this->Traffic.failure();
  this->checkHolders();
}

void ModelFleet::run(Duration RunTime, bool Faults) {
  Instant End = this->Now + RunTime;
  while (this->Now < End && this->Failure.empty())
    this->step(Faults);
}

} // namespace orioledoor::sidecar::testing
