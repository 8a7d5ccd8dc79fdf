// Event loop, fakes and invariant checks of the simulated fleet.
#include "orioledoor/ownership/testing/fleet.h"

#include <algorithm>

#include "orioledoor/catalogue/published_catalogue.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership::testing {
namespace {

constexpr char Service[] = "consulta";
constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration StoreTimeout = std::chrono::milliseconds(500);
constexpr std::size_t Domains = 6;

std::string catalogueText(std::uint32_t Slices) {
  return "deployment: test\nservices:\n  - name: consulta\n    owner: test\n"
         "    class: critical\n    divided_by_key: true\n    slices: " +
         std::to_string(Slices) +
         "\nregions:\n  r0: {state: active}\n"
         "  r1: {state: active}\n  r2: {state: active}\n"
         "weights:\n  imbalance: 1\n  churn: 1\n  unavailable: 1\n";
}

} // namespace

Fleet::Fleet(const FleetOptions &Options)
    : Options(Options), Random(Options.Seed), Nodes(Options.Nodes),
      StoreCut(Options.Nodes, false) {
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    LocalNode &Local = this->Nodes[I].Local;
    std::size_t Domain = I % Domains;
    Local.Name = "n" + std::to_string(I);
    Local.PeerAddress = "tcp://127.0.0.1:" + std::to_string(1000 + I);
    Local.Region = "r" + std::to_string(Domain / 2);
    Local.FailureDomain = "d" + std::to_string(Domain);
    this->ByAddress[Local.PeerAddress] = I;
  }
  PublishedCatalogue Entries{.Revision = 1,
                             .ApplyId = "a",
                             .Author = "test",
                             .TimeMicros = 1,
                             .Comment = "",
                             .Text = catalogueText(Options.Slices)};
  this->Store.apply(
      {1, StoreTxn{.Puts = {{keys::CatalogueCurrent,
                             encodePublishedCatalogue(Entries)}}}},
      this->Now);
}

bool Fleet::happens(unsigned PerMille) {
  return this->Random() % 1000 < PerMille;
}

SliceRef Fleet::sliceRef(std::uint32_t Slice) const {
  return {serviceIdOf(Service), Slice};
}

Instant Fleet::localTime(const Node &Candidate) const {
  return Instant(
      Candidate.ClockOffset +
      static_cast<std::int64_t>(static_cast<double>(this->Now.micros()) *
                                Candidate.ClockRate));
}

void Fleet::recordViolation(const std::string &Description) {
  if (this->FirstViolation.empty())
    this->FirstViolation = "at " + std::to_string(this->now().count() / 1000) +
                           " ms: " + Description;
}

void Fleet::startAll() {
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    this->run(Duration(this->Random() % 60'000));
    this->start(I);
  }
}

void Fleet::start(std::size_t Index) {
  Node &N = this->Nodes[Index];
  if (N.Reducer)
    return;
  N.Local.Seed = this->Random();
  // A replaced VM has a different clock. Clock rates stay within the 1% of
  // drift that guardians allow for.
  N.ClockOffset = static_cast<std::int64_t>(this->Random() % 1'000'000'000);
  N.ClockRate = 1 + (static_cast<double>(this->Random() % 9) - 4) / 1000;
  N.Reducer = std::make_unique<OwnershipReducer>(N.Local);
  N.Adopted.clear();
  N.Draining.clear();
  this->schedule(Index, Duration(this->Random() % 20'000), Tick{});
  this->schedule(Index, Duration(this->Random() % 50'000),
                 TargetReady{Service, 20, 130, true});
}

void Fleet::crash(std::size_t Index) {
  Node &N = this->Nodes[Index];
  N.Reducer.reset();
  ++N.Epoch;
  N.Paused = false;
  N.PendingEvents.clear();
  N.WatchedRevision.reset();
}

void Fleet::pause(std::size_t Index) { this->Nodes[Index].Paused = true; }

void Fleet::resume(std::size_t Index) {
  Node &N = this->Nodes[Index];
  if (!std::exchange(N.Paused, false))
    return;
  // After a pause, the tick may be handled before or after the queued events.
  if (this->happens(500))
    this->deliver(Index, Tick{});
  std::deque<Event> PendingEvents = std::exchange(N.PendingEvents, {});
  for (const Event &Input : PendingEvents)
    this->deliver(Index, Input);
}

void Fleet::stopGracefully(std::size_t Index) {
  if (this->isUp(Index))
    this->schedule(Index, Duration(0), StopRequested{});
}

void Fleet::cutLink(std::size_t From, std::size_t To, bool Cut) {
  if (Cut)
    this->Cuts.emplace(From, To);
  else
    this->Cuts.erase({From, To});
}

void Fleet::healCuts() {
  this->Cuts.clear();
  this->StoreCut.assign(this->Nodes.size(), false);
}

void Fleet::heal() {
  this->healCuts();
  this->StoreDown = false;
  this->Options.MessageLoss = this->Options.MessageDuplication = 0;
  this->Options.StoreReplyLoss = 0;
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    this->resume(I);
    this->start(I);
  }
}

void Fleet::schedule(std::size_t To, Duration Delay, Event Input) {
  this->Queue.push({this->Now + Delay, ++this->Order, To, this->Nodes[To].Epoch,
                    std::move(Input)});
}

void Fleet::run(Duration Length) {
  Instant End = this->Now + Length;
  while (!this->Queue.empty() && this->Queue.top().At <= End) {
    ScheduledEvent Next = this->Queue.top();
    this->Queue.pop();
    this->Now = Next.At;
    Node &N = this->Nodes[Next.To];
    if (!N.Reducer || N.Epoch != Next.Epoch)
      continue;
    bool IsTick = std::holds_alternative<Tick>(Next.Input);
    if (IsTick)
      this->schedule(Next.To, TickInterval, Tick{});
    if (!N.Paused)
      this->deliver(Next.To, Next.Input);
    else if (!IsTick)
      N.PendingEvents.push_back(std::move(Next.Input));
  }
  this->Now = End;
}

bool Fleet::runUntil(const std::function<bool()> &Done, Duration Limit) {
  for (Instant End = this->Now + Limit; this->Now < End;) {
    if (Done())
      return true;
    this->run(TickInterval);
  }
  return Done();
}

void Fleet::deliver(std::size_t To, Event Input) {
  Node &N = this->Nodes[To];
  if (!N.Reducer)
    return;
  if (auto *Drained = std::get_if<SliceDrained>(&Input)) {
    if (N.Draining.erase(Drained->Slice.Slice) == 0)
      return;
    // The table contains the fencing number under which it was last written.
    Drained->Table =
        std::to_string(this->HighestServed[Drained->Slice.Slice].first.Value);
  }
  Effects Output = N.Reducer->handle(Input, this->localTime(N));
  for (const Effect &Action : Output)
    if (const auto *Adopt = std::get_if<AdoptSlice>(&Action)) {
      this->HistoryLosses += Adopt->HistoryLost ? 1 : 0;
      N.Adopted[Adopt->Slice.Slice] = *Adopt;
    }
  this->checkInvariants(To);
  for (Effect &Action : Output)
    this->applyEffect(To, Action);
}

void Fleet::applyEffect(std::size_t From, Effect &Action) {
  Node &N = this->Nodes[From];
  if (auto *Sent = std::get_if<SendPeer>(&Action)) {
    this->send(From, *Sent);
  } else if (auto *Call = std::get_if<CallStore>(&Action)) {
    this->callStore(From, Call->Request);
  } else if (auto *Watch = std::get_if<WatchStore>(&Action)) {
    N.WatchedRevision = Watch->FromRevision - 1;
    this->deliverWatches();
  } else if (std::holds_alternative<StopWatching>(Action)) {
    N.WatchedRevision.reset();
  } else if (auto *Drain = std::get_if<DrainSlice>(&Action)) {
    N.Draining.insert(Drain->Slice.Slice);
    // Some work takes longer than the 2 s after which a move is postponed.
    Duration Delay(this->Random() % (this->happens(100) ? 4'000'000 : 300'000));
    this->schedule(From, Delay, SliceDrained{Drain->Slice, ""});
  } else if (auto *Resume = std::get_if<ResumeSlice>(&Action)) {
    N.Draining.erase(Resume->Slice.Slice);
  } else if (auto *Log = std::get_if<WriteLog>(&Action)) {
    if (Log->Record.Event->Level == Severity::Error)
      this->recordViolation(Log->Record.Event->Name +
                            (": " + Log->Record.Fields.back().Value));
  } else if (std::holds_alternative<StopCompleted>(Action)) {
    this->crash(From);
  }
}

// A table that is handed over must be that of the last member that served the
// slice, so that no operation is forgotten without HistoryLost.
void Fleet::checkTable(const AdoptSlice &Adopted,
                       const std::string &Description) {
  Fence Last = this->HighestServed[Adopted.Slice.Slice].first;
  std::string Expected = std::to_string(Last.Value);
  bool NeverServed = Last == Fence{} && Adopted.Table.empty();
  if (!Adopted.HistoryLost && !NeverServed && Adopted.Table != Expected)
    this->recordViolation(Description + " with table '" + Adopted.Table +
                          "' after number " + Expected);
}

void Fleet::send(std::size_t From, SendPeer &Sent) {
  auto To = this->ByAddress.find(Sent.To);
  if (To == this->ByAddress.end() || this->Cuts.contains({From, To->second}) ||
      this->happens(this->Options.MessageLoss))
    return;
  const Node &A = this->Nodes[From];
  const Node &B = this->Nodes[To->second];
  std::uint64_t Base = A.Local.Region == B.Local.Region ? 1'500 : 8'000;
  PeerMessage Message{A.Local.PeerAddress, std::move(Sent.Body)};
  auto Delay = [&] {
    return Duration(Base + this->Random() % 3'000 +
                    (this->happens(20) ? this->Random() % 150'000 : 0));
  };
  if (this->happens(this->Options.MessageDuplication))
    this->schedule(To->second, Delay() * 2, Message);
  this->schedule(To->second, Delay(), std::move(Message));
}

void Fleet::callStore(std::size_t From, const StoreRequest &Request) {
  Duration Delay(2'000 + this->Random() % 20'000);
  StoreReply Reply;
  Reply.Id = Request.Id;
  if (this->StoreDown || this->StoreCut[From]) {
    Reply.Status = absl::UnavailableError("store down");
    return this->schedule(From, Delay, StoreAnswered{Reply});
  }
  Reply = this->Store.apply(Request, this->Now);
  if (const auto *Txn = std::get_if<StoreTxn>(&Request.Body);
      Txn && Reply.Succeeded)
    for (const StorePut &Put : Txn->Puts) {
      if (Put.Key != keys::Assignment)
        continue;
      auto Recorded = decodeAssignment(Put.Value);
      if (!Recorded.ok() || Recorded->Version != ++this->LastWrittenVersion)
        return this->recordViolation(
            "assignment version " +
            std::to_string(this->LastWrittenVersion - 1) + " was overwritten");
    }
  this->deliverWatches();
  if (this->happens(this->Options.StoreReplyLoss)) {
    StoreReply Lost;
    Lost.Id = Request.Id;
    Lost.Status = absl::DeadlineExceededError("no answer");
    return this->schedule(From, StoreTimeout, StoreAnswered{Lost});
  }
  this->schedule(From, Delay, StoreAnswered{Reply});
}

void Fleet::deliverWatches() {
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    Node &N = this->Nodes[I];
    if (!N.WatchedRevision || *N.WatchedRevision >= this->Store.revision())
      continue;
    if (this->StoreDown || this->StoreCut[I]) {
      N.WatchedRevision.reset();
      this->schedule(
          I, Duration(1'000),
          StoreWatched{absl::UnavailableError("watch ended"), {}, 0});
      continue;
    }
    StoreWatched Update{absl::OkStatus(), {}, this->Store.revision()};
    for (auto &[Revision, Change] :
         this->Store.changesAfter(*N.WatchedRevision))
      Update.Changes.push_back(Change);
    N.WatchedRevision = this->Store.revision();
    this->schedule(I, Duration(1'000 + this->Random() % 5'000),
                   std::move(Update));
  }
}

// Only the node that handled an event can have opened a gate. The gates of
// other nodes change only with time, which can only close them.
void Fleet::checkInvariants(std::size_t ChangedNode) {
  const Node &N = this->Nodes[ChangedNode];
  auto GateOf = [&](const Node &Candidate, std::uint32_t Slice) {
    return Candidate.Reducer
               ? Candidate.Reducer->gate(this->sliceRef(Slice),
                                         this->localTime(Candidate))
               : std::nullopt;
  };
  for (std::uint32_t S = 0; S < this->Options.Slices; ++S) {
    std::optional<Gate> Open = GateOf(N, S);
    if (!Open)
      continue;
    MemberId Id = N.Reducer->memberId();
    std::string Description = "slice " + std::to_string(S) + " is open at " +
                              N.Local.Name + " (member " +
                              std::to_string(Id.Value) + ", number " +
                              std::to_string(Open->FencingNumber.Value) + ")";
    for (const Node &Other : this->Nodes)
      if (&Other != &N && GateOf(Other, S))
        this->recordViolation(
            Description + " and at " + Other.Local.Name + " (member " +
            std::to_string(Other.Reducer->memberId().Value) + ", number " +
            std::to_string(GateOf(Other, S)->FencingNumber.Value) + ")");
    if (auto Adopted = this->Nodes[ChangedNode].Adopted.extract(S))
      this->checkTable(Adopted.mapped(), Description);
    auto &[Highest, Server] = this->HighestServed[S];
    if (Open->FencingNumber < Highest ||
        (Open->FencingNumber == Highest && Server != Id))
      this->recordViolation(
          Description + " after member " + std::to_string(Server.Value) +
          " served it under number " + std::to_string(Highest.Value));
    this->HighestServed[S] = {Open->FencingNumber, Id};
  }
  std::uint64_t Version = N.Reducer->heldVersions().Assignment;
  std::uint64_t &Held = this->LastHeldVersion[{ChangedNode, N.Epoch}];
  if (Version < Held)
    this->recordViolation(N.Local.Name + " fell back to an older assignment");
  Held = Version;
}

bool Fleet::isOpen() const {
  for (std::uint32_t S = 0; S < this->Options.Slices; ++S)
    if (std::ranges::none_of(this->Nodes, [&](const Node &N) {
          return N.Reducer && !N.Paused &&
                 N.Reducer->gate(this->sliceRef(S), this->localTime(N));
        }))
      return false;
  return true;
}

bool Fleet::isServed() const {
  if (!this->isOpen())
    return false;
  for (std::uint32_t S = 0; S < this->Options.Slices; ++S) {
    std::set<MemberId> Owners;
    for (const Node &N : this->Nodes)
      if (N.Reducer) {
        auto To = N.Reducer->route(this->sliceRef(S));
        Owners.insert(To ? To->Owner : MemberId{});
      }
    if (Owners.size() != 1)
      return false;
  }
  return true;
}

std::size_t Fleet::slicesOf(std::size_t Index) const {
  const Node &N = this->Nodes[Index];
  return N.Reducer ? N.Reducer->status(this->localTime(N)).SlicesOwned : 0;
}

std::string Fleet::describeState() const {
  std::string Text;
  for (const Node &N : this->Nodes) {
    Text += "\n  " + N.Local.Name;
    if (!N.Reducer) {
      Text += " down";
      continue;
    }
    OwnershipStatus S = N.Reducer->status(this->localTime(N));
    Text += " member " + std::to_string(S.Id.Value) + " version " +
            std::to_string(S.HeldVersions.Assignment) + " permission " +
            std::to_string(S.PermissionRemaining.count() / 1000) +
            " ms slices " + std::to_string(S.SlicesOwned) +
            (S.Coordinating ? " coord" : "") + (S.Joining ? " joining" : "") +
            (S.Leaving ? " leaving" : "") +
            (S.WatchingStore ? " watching" : "") + " guardians";
    for (const GuardianStatus &G : S.Guardians)
      Text += " " + std::to_string(G.Member.Value) + "@" +
              std::to_string(G.Term) + (G.IsEffective ? "" : "!") + "/" +
              std::to_string(G.Remaining.count() / 1000);
    Text += " deposed";
    for (MemberId Id : S.Known.Deposed)
      Text += " " + std::to_string(Id.Value);
    Text += " left " + std::to_string(S.Known.Left.size());
    for (const Release &R : S.Known.Releases)
      Text += " rel" + std::to_string(R.Member.Value) + "by" +
              std::to_string(R.GuardianId.Value) + "@" + std::to_string(R.Term);
  }
  for (std::uint32_t S = 0; S < this->Options.Slices; ++S) {
    std::string Views;
    bool Open = false;
    std::set<MemberId> Owners;
    for (const Node &N : this->Nodes) {
      if (!N.Reducer)
        continue;
      auto To = N.Reducer->route(this->sliceRef(S));
      Owners.insert(To ? To->Owner : MemberId{});
      Views += " " + std::to_string(To ? To->Owner.Value : 0);
      Open |=
          N.Reducer->gate(this->sliceRef(S), this->localTime(N)).has_value();
    }
    if (!Open || Owners.size() != 1)
      Text += "\n  slice " + std::to_string(S) + (Open ? " open" : " closed") +
              ", routed to" + Views;
  }
  return Text;
}

} // namespace orioledoor::ownership::testing
