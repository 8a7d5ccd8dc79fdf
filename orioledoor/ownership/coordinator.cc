// Takes the coordinator's inputs: ticks, replies, changes and messages.
#include "orioledoor/ownership/coordinator.h"

#include <algorithm>

#include "orioledoor/ownership/internal/coordinator_state.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ownership {

using internal::Phase;

namespace {

// Facts that arrive within this time share one write.
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
// Without news it only looks for worthwhile moves. A plan reads every slice,
// which at PlanInterval would exceed the control budget of its node.
constexpr Duration IdlePlanInterval = std::chrono::seconds(5);
// How long changes avoid members that did not answer a gathering.
constexpr Duration UnresponsivePause = std::chrono::seconds(3);
constexpr Duration StoreErrorPause = std::chrono::milliseconds(500);
// The shell ends every store call earlier; guards against a lost reply.
constexpr Duration StoreReplyTimeout = std::chrono::seconds(10);

} // namespace

Coordinator::Coordinator(const LocalNode &Self)
    : Own(std::make_unique<State>(Self)) {}
Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator &&) noexcept = default;
Coordinator &Coordinator::operator=(Coordinator &&) noexcept = default;

void Coordinator::setEligible(bool Eligible) {
  this->Own->Lease.setEligible(Eligible);
}

void Coordinator::setSelf(MemberId Self) { this->Own->Self = Self; }

void Coordinator::setPermitted(bool Permitted) {
  this->Own->Permitted = Permitted;
}

bool Coordinator::isActive() const {
  return this->Own->Current != Phase::Passive;
}

void Coordinator::tick(Instant Now, std::int64_t WallMicros,
                       const FactSet &Known, Effects &Output) {
  State &S = *this->Own;
  if (S.Entries && !S.EntriesSince)
    S.EntriesSince = Now;
  if (auto Request = S.Lease.tick(Now, S.nextId()))
    Output.push_back(CallStore{std::move(*Request)});
  if (!S.Lease.isHeld(Now)) {
    // A write that is still open is settled by its comparison.
    if (S.Current == Phase::Gathering)
      S.withdraw(Output);
    S.Current = Phase::Passive;
    return;
  }
  S.noticeNews(Now, Known);
  bool ReplyOverdue = Now - S.OpenedAt >= StoreReplyTimeout;
  if (S.Entries)
    S.Spend.tick(Now, *S.Entries, [&] { return S.nextId(); }, Output);
  switch (S.Current) {
  case Phase::Passive:
    if (Now >= S.NextPlan)
      S.load(Now, Output);
    break;
  case Phase::Loading:
  case Phase::Checking:
  case Phase::Writing:
    if (ReplyOverdue)
      S.Current = Phase::Passive;
    break;
  case Phase::Ready:
    if (Now < S.NextPlan || Now < S.NextWrite)
      break;
    S.NextPlan = Now + (Now < S.BusyUntil ? PlanInterval : IdlePlanInterval);
    S.plan(Now, Known, Output);
    break;
  case Phase::Gathering:
    S.gather(Now, Output);
    break;
  }
  if (S.Current != Phase::Gathering)
    return;
  if (S.isGathered()) {
    S.startWrite(Now, WallMicros, Output);
  } else if (Now >= S.GatherEnd) {
    for (MemberId Id : S.Pending.Promises)
      if (!S.Promised.contains(Id))
        S.UnresponsiveUntil[Id] = Now + UnresponsivePause;
    S.Renewals.failed(S.Pending.Consents, S.Consented, Now);
    S.withdraw(Output);
    S.Current = Phase::Ready;
    S.NextPlan = Now;
  }
}

void Coordinator::observe(const Assignment &Current, std::int64_t ModRevision) {
  State &S = *this->Own;
  // Only a document of the store can be the base of a write.
  if (ModRevision > S.DocRevision && S.Current != Phase::Writing &&
      S.Current != Phase::Gathering && S.Current != Phase::Checking)
    S.adopt(Current, ModRevision);
}

void Coordinator::observe(std::shared_ptr<const Catalogue> Current) {
  this->Own->Entries = std::move(Current);
  this->Own->EntriesSince.reset();
  this->Own->News = true;
}

void Coordinator::handle(Instant Now, const StoreReply &Reply,
                         Effects &Output) {
  State &S = *this->Own;
  if (S.Lease.handle(Now, Reply) || S.Spend.handle(Reply, Output))
    return;
  if (Reply.Id == S.OpenWrite && S.Current == Phase::Writing) {
    S.finishWrite(Now, Reply, Output);
    return;
  }
  if (Reply.Id == S.OpenCheck && S.Current == Phase::Checking) {
    S.finishCheck(Now, Reply, Output);
    return;
  }
  if (S.Current != Phase::Loading ||
      (Reply.Id != S.OpenAssignment && Reply.Id != S.OpenJoins))
    return;
  bool IsAssignment = Reply.Id == S.OpenAssignment;
  (IsAssignment ? S.OpenAssignment : S.OpenJoins) = 0;
  absl::StatusOr<Assignment> Read{Assignment{}};
  if (IsAssignment && Reply.Status.ok() && !Reply.Entries.empty())
    Read = decodeAssignment(Reply.Entries.front().Value);
  if (!Reply.Status.ok() || !Read.ok()) {
    S.Current = Phase::Passive;
    S.NextPlan = Now + StoreErrorPause;
    return;
  }
  if (IsAssignment)
    S.adopt(*Read,
            Reply.Entries.empty() ? 0 : Reply.Entries.front().ModRevision);
  else
    for (const StoreEntry &Entry : Reply.Entries)
      S.addJoin(Entry.Value);
  if (S.OpenAssignment == 0 && S.OpenJoins == 0) {
    S.Current = Phase::Ready;
    S.NextPlan = Now;
  }
}

void Coordinator::handle(Instant Now, const StoreChange &Change) {
  State &S = *this->Own;
  if (Change.Entry.Key == keys::Coordinator && Change.Deleted)
    S.Lease.onReleased(Now);
  if (Change.Entry.Key.starts_with(keys::JoinPrefix) && !Change.Deleted)
    S.addJoin(Change.Entry.Value);
}

void Coordinator::handle(Instant, const Promise &Received) {
  State &S = *this->Own;
  if (S.Current != Phase::Gathering || Received.Attempt != S.Attempt)
    return;
  // A member that already serves slices of an owner that this plan takes for
  // live may be displaced by it; gossip brings the fact before the next plan.
  auto IsGone = [&](MemberId Id) { return S.Pending.Next.isDeposed(Id); };
  if (std::ranges::all_of(Received.ActingFor, IsGone))
    S.Promised.insert(Received.From);
}

void Coordinator::handle(Instant, const Consent &Received) {
  State &S = *this->Own;
  if (S.Current == Phase::Gathering &&
      Received.Version == S.Pending.Next.Version)
    S.Consented.insert(ConsentNeeded{Received.From, Received.Member});
}

void Coordinator::handle(Instant, const YieldAck &Received) {
  State &S = *this->Own;
  const SliceOwner *Owner = S.Doc.find(Received.Slice);
  if (!Owner || Owner->Number < Received.Number) {
    S.Yielded[Received.Slice] = Received;
    S.News = true;
  }
}

void Coordinator::handle(Instant Now, const LoadReport &Received) {
  State &S = *this->Own;
  S.Loads.add(Received, Now);
  if (Received.Leaving && !S.Doc.isDeposed(Received.From))
    S.News |= S.Leaving.insert(Received.From).second;
}

void Coordinator::handle(Instant, std::string_view From,
                         const SpendRequest &Received) {
  this->Own->Spend.request(From, Received);
}

} // namespace orioledoor::ownership
