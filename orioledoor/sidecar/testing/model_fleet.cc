#include "orioledoor/sidecar/testing/model_fleet.h"

#include <algorithm>
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
// One fault in about this many milliseconds.
constexpr int FaultInterval = 1500;

routing::SharedTable newTable() {
  auto Table = std::make_shared<routing::RouteTable>();
  Table->Version = 1;
  Table->Services["consulta"] = {"consulta", "/health", 130, true};
  Table->finish();
  return Table;
}

} // namespace

ModelFleet::ModelFleet(std::uint64_t Seed, int Nodes)
    : Random(Seed), Table(newTable()) {
  for (int Index = 0; Index < Nodes; ++Index) {
    auto Added = std::make_unique<Vm>();
    Added->Index = Index;
    Added->Node = "tcp://10.0.0." + std::to_string(10 + Index) + ":7100";
    Added->NodeUpAt = this->Now + this->upTo(300);
    Added->TargetUpAt = this->Now + this->upTo(800);
    this->Vms.push_back(std::move(Added));
  }
}

void ModelFleet::note(std::string What) {
  this->History.push_back(std::to_string(this->Now.micros() / 1000) +
                          " ms: " + std::move(What));
}

void ModelFleet::startNode(Vm &Of) {
  SidecarOptions Options;
  Options.Node = Of.Node;
  Options.Process = Of.Process = this->NextProcess++;
  Options.Place = {"domain-" + std::to_string(Of.Index), "region"};
  Options.Service = "consulta";
  Of.Reducer = std::make_unique<SidecarReducer>(Options);
  Of.Waiting.clear();
  Of.WatchAfter = -1;
  Of.NextTick = this->Now;
  this->carryOut(Of, Of.Reducer->handle(Started{}, this->Now));
  this->carryOut(Of, Of.Reducer->handle(ConfigDecoded{this->Table}, this->Now));
}

void ModelFleet::startTarget(Vm &Of) {
  std::int64_t Born = this->NextBorn++;
  // A life may have the id of an earlier one on the same VM.
  std::string Instance = "i-" + std::to_string(Of.Index);
  if (this->chance(50))
    Instance += "-" + std::to_string(Born);
  double Rate = 0.98 + 0.02 * static_cast<double>(this->Random() % 2);
  Of.Target = std::make_unique<ModelTarget>(Instance, Born, Rate);
  Of.NextReport = this->Now + this->upTo(870);
  // The connections of the earlier life ended with it.
  ++Of.ReportId;
}

void ModelFleet::deliver(Vm &To, Event Happened) {
  if (!To.Reducer)
    return;
  if (this->Now < To.FrozenUntil) {
    To.Waiting.push_back(std::move(Happened));
    return;
  }
  this->carryOut(To, To.Reducer->handle(std::move(Happened), this->Now));
}

void ModelFleet::carryOut(Vm &From, Effects Asked) {
  for (Effect &Each : Asked) {
    if (auto *Sent = std::get_if<SendMessage>(&Each)) {
      auto To = std::ranges::find_if(
          this->Vms, [Sent](const auto &Of) { return Of->Node == Sent->To; });
      if (To == this->Vms.end() || this->Now < From.PeerCutUntil ||
          this->Now < (*To)->PeerCutUntil)
        continue;
      this->Pending.emplace(
          this->Now + milliseconds(1) + this->upTo(9),
          Later{(*To)->Index, (*To)->Process,
                PeerMessageReceived{From.Node, std::move(Sent->Body)}});
    } else if (auto *Call = std::get_if<CallStore>(&Each)) {
      this->callStore(From, std::move(Call->Request));
    } else if (auto *Watch = std::get_if<WatchStore>(&Each)) {
      From.WatchAfter = Watch->Revision;
    } else if (auto *Answer = std::get_if<ReplyToReport>(&Each)) {
      this->answerReport(From, *Answer);
    } else if (auto *Logged = std::get_if<LogRecord>(&Each)) {
      std::string Line =
          "vm " + std::to_string(From.Index) + ' ' + Logged->Event->Name;
      for (const LogField &Field : Logged->Fields)
        Line += ' ' + Field.Name + '=' + Field.Value;
      this->note(std::move(Line));
    }
  }
}

void ModelFleet::callStore(Vm &From, StoreRequest Request) {
  bool Reached =
      this->Now >= this->StoreDownUntil && this->Now >= From.StoreCutUntil;
  bool Lost = this->Now < this->RepliesLostUntil && this->chance(40);
  if (!Reached || Lost) {
    StoreReply Reply{.Id = Request.Id};
    // Either nothing was done, or nobody knows.
    Reply.Status = Lost ? absl::DeadlineExceededError("no answer")
                        : absl::UnavailableError("not reached");
    this->Pending.emplace(
        this->Now + (Lost ? CallTimeout : milliseconds(10)),
        Later{From.Index, From.Process, StoreReplyReceived{std::move(Reply)}});
  }
  if (!Reached)
    return;
  // A call without an answer may be carried out seconds later.
  Duration Late = Lost ? this->upTo(6000) : milliseconds(2) + this->upTo(4);
  this->Calls.emplace(this->Now + Late,
                      Call{From.Index, From.Process, std::move(Request), Lost});
}

void ModelFleet::serveStore() {
  while (!this->Calls.empty() && this->Calls.begin()->first <= this->Now) {
    Call Of = std::move(this->Calls.begin()->second);
    this->Calls.erase(this->Calls.begin());
    StoreReply Reply = this->Store.apply(Of.Request, this->Now);
    if (!Of.ReplyLost)
      this->Pending.emplace(
          this->Now + milliseconds(2),
          Later{Of.From, Of.Process, StoreReplyReceived{std::move(Reply)}});
  }
  for (auto &Of : this->Vms) {
    if (Of->WatchAfter < 0 || this->Now < this->StoreDownUntil ||
        this->Now < Of->StoreCutUntil ||
        Of->WatchAfter >= this->Store.revision())
      continue;
    StoreWatchUpdate Update;
    Update.Revision = this->Store.revision();
    Update.Changes = this->Store.changesAfter(Of->WatchAfter);
    std::erase_if(Update.Changes, [](const StoreChange &Each) {
      return !Each.Entry.Key.starts_with(NodePrefix);
    });
    Of->WatchAfter = Update.Revision;
    this->Pending.emplace(
        this->Now + milliseconds(2) + this->upTo(20),
        Later{Of->Index, Of->Process, StoreWatchUpdated{std::move(Update)}});
  }
}

void ModelFleet::report(Vm &Of) {
  Of.NextReport = this->Now + ReportInterval;
  if (!Of.Reducer || this->Now < Of.ReportsCutUntil)
    return;
  routing::TargetReport Report = Of.Target->report(this->Now);
  this->deliver(Of, TargetReportReceived{++Of.ReportId, std::move(Report)});
}

void ModelFleet::answerReport(Vm &Of, const ReplyToReport &Answer) {
  // The target has given up on earlier reports.
  if (!Of.Target || Answer.Id != Of.ReportId)
    return;
  for (const auto &[Key, Fence] :
       Of.Target->answered(Answer.Answer, this->Now, this->upTo(300))) {
    std::int64_t &Highest = this->Fences[Key];
    std::string Holder =
        Of.Target->instance() + "/" + std::to_string(Of.Target->born());
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
  if (Of.Target->releasing(this->Now))
    Of.NextReport = this->Now + milliseconds(100);
}

void ModelFleet::injectFault() {
  Vm &Of = *this->Vms[this->Random() % this->Vms.size()];
  std::string Name = "vm " + std::to_string(Of.Index);
  Duration For = milliseconds(300) + this->upTo(9000);
  std::string Time = " for " + std::to_string(For.count() / 1000) + " ms";
  switch (this->Random() % 13) {
  case 0:
    this->note("node process killed on " + Name + Time);
    Of.Reducer.reset();
    Of.NodeUpAt = this->Now + For / 3;
    break;
  case 1:
    this->note("power lost on " + Name + Time);
    Of.Reducer.reset();
    Of.Target.reset();
    Of.NodeUpAt = this->Now + For;
    Of.TargetUpAt = this->Now + For + this->upTo(500);
    break;
  case 2:
    this->note("node frozen on " + Name + Time);
    Of.FrozenUntil = this->Now + For;
    break;
  case 3:
    this->note("target crashed on " + Name + Time);
    Of.Target.reset();
    Of.TargetUpAt = this->Now + For;
    break;
  case 4:
    this->note("store unreachable from " + Name + Time);
    Of.StoreCutUntil = this->Now + For;
    break;
  case 5:
    this->note("peers unreachable from " + Name + Time);
    Of.PeerCutUntil = this->Now + For;
    break;
  case 6:
    this->note(Name + " cut off" + Time);
    Of.PeerCutUntil = Of.StoreCutUntil = this->Now + For;
    break;
  case 7:
    this->LeasesPaused = this->chance(50);
    this->note(std::string("store down") +
               (this->LeasesPaused ? "" : ", leases run out") + Time);
    this->StoreDownUntil = this->Now + For;
    break;
  case 8:
    this->note("replies of the store lost" + Time);
    this->RepliesLostUntil = this->Now + For;
    break;
  case 9:
    this->note("lease of " + Name + " revoked, store unreachable" + Time);
    this->Store.endLease(
        this->Store.leaseOf(keyspace::KeyPlanner::nodeEntryKey(Of.Node)));
    Of.StoreCutUntil = this->Now + For;
    break;
  case 10:
    this->note("reports lost on " + Name + Time);
    Of.ReportsCutUntil = this->Now + For;
    break;
  case 11:
    this->note("target drains on " + Name);
    if (Of.Target)
      Of.Target->Draining = true;
    break;
  default:
    this->note("hot keys at " + Name);
    for (auto &Each : this->Vms)
      if (Each->Reducer && Each->Target)
        for (auto &To : this->Vms)
          this->Pending.emplace(
              this->Now,
              Later{To->Index, To->Process,
                    PeerMessageReceived{
                        Each->Node,
                        routing::KeyLoadNotice{
                            .Service = "consulta",
                            .Target = {Each->Target->instance(),
                                       Each->Target->born(), Each->Node},
                            .Rate = Each.get() == &Of ? 200.0 : 20.0,
                            .Capacity = 100,
                            .Quantiles = {8192, 16384, 24576, 32768, 40960,
                                          49152, 57344}}}});
  }
}

void ModelFleet::checkHolders() {
  for (std::uint32_t Key = 0; Key <= keyspace::LastKey; Key += SampleStep) {
    const ModelTarget *Holder = nullptr;
    for (const auto &Of : this->Vms) {
      if (!Of->Target || !Of->Target->holds(Key, this->Now))
        continue;
      if (Holder && this->Failure.empty())
        this->Failure = "key " + std::to_string(Key) + " held by " +
                        Holder->instance() + " and " + Of->Target->instance() +
                        " at " + std::to_string(this->Now.micros() / 1000) +
                        " ms";
      Holder = Of->Target.get();
    }
  }
}

int ModelFleet::unheldKeys() const {
  int Unheld = 0;
  for (std::uint32_t Key = 0; Key <= keyspace::LastKey; Key += SampleStep)
    Unheld += std::ranges::none_of(this->Vms, [&](const auto &Of) {
      return Of->Target && Of->Target->holds(Key, this->Now);
    });
  return Unheld;
}

void ModelFleet::step(bool Faults) {
  this->Now = this->Now + Step;
  bool Down = this->Now < this->StoreDownUntil;
  this->Store.tick(this->Now, Down && this->LeasesPaused);
  if (Faults && this->Random() % FaultInterval <
                    static_cast<std::uint64_t>(Step / milliseconds(1)))
    this->injectFault();
  this->serveStore();
  while (!this->Pending.empty() && this->Pending.begin()->first <= this->Now) {
    Later Next = std::move(this->Pending.begin()->second);
    this->Pending.erase(this->Pending.begin());
    Vm &To = *this->Vms[static_cast<std::size_t>(Next.To)];
    if (To.Process == Next.Process)
      this->deliver(To, std::move(Next.Happens));
  }
  for (auto &Each : this->Vms) {
    Vm &Of = *Each;
    if (!Of.Reducer && this->Now >= Of.NodeUpAt)
      this->startNode(Of);
    if (!Of.Target && this->Now >= Of.TargetUpAt)
      this->startTarget(Of);
    if (Of.Reducer && this->Now >= Of.FrozenUntil && !Of.Waiting.empty())
      for (Event &Happened : std::exchange(Of.Waiting, {}))
        this->deliver(Of, std::move(Happened));
    if (Of.Target && Of.Target->Draining && this->chance(1) &&
        this->chance(20)) {
      Of.Target.reset();
      Of.TargetUpAt = this->Now + this->upTo(4000);
    }
    if (Of.Target && this->Now >= Of.NextReport)
      this->report(Of);
    if (Of.Reducer && this->Now >= Of.NextTick && this->Now >= Of.FrozenUntil) {
      Of.NextTick = this->Now + TickInterval;
      this->deliver(Of, TimerTicked{});
    }
  }
  this->checkHolders();
}

void ModelFleet::run(Duration For, bool Faults) {
  Instant End = this->Now + For;
  while (this->Now < End && this->Failure.empty())
    this->step(Faults);
}

} // namespace orioledoor::sidecar::testing
