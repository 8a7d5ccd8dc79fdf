// Bodies of OwnerSide: slices that come and go, losses of the target, timers.
// Included by owner_side.h only.
#ifndef ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_SLICES_H
#define ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_SLICES_H

#include <algorithm>
#include <iterator>
#include <set>
#include <string>

#include "orioledoor/base/error.h"
#include "orioledoor/requests/internal/owner_side.h"

namespace orioledoor::requests::internal {

template <ownership::RoutingView Routing>
OwnedSlice *OwnerSide<Routing>::findSlice(SliceRef Ref) {
  auto Found = this->Slices.find(Ref);
  return Found == this->Slices.end() ? nullptr : &Found->second;
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::park(Id Which, Work &W, OwnedSlice &Slice,
                              const Ctx &C) {
  if (Slice.Parked.size() >= MaxParked)
    return this->refuse(Which,
                        {.Status = 503,
                         .Retry = RetryAdvice::Free,
                         .Step = "drain",
                         .Message = "too many requests wait for the move"},
                        C);
  W.State = WorkState::Parked;
  Slice.Parked.push_back(Which);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::unpark(std::span<const Id> Parked, const Ctx &C) {
  for (Id Which : Parked) {
    auto Found = this->Works.find(Which);
    if (Found != this->Works.end() && Found->second.State == WorkState::Parked)
      this->admit(Which, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::drain(SliceRef Ref, const Ctx &C) {
  OwnedSlice *Slice = this->findSlice(Ref);
  if (!Slice || Slice->Draining)
    return;
  Slice->Draining = true;
  std::set<Id> Queued;
  for (const auto &[Which, W] : this->Works)
    if (W.State == WorkState::Queued && !W.AnyMember && W.Sent.Slice == Ref)
      Queued.insert(Which);
  for (Id Which : Queued) {
    Work &W = this->Works.at(Which);
    this->Queue.remove(Which, W.Class);
    this->forget(Which, W, C);
    std::vector<Id> Waiters = std::move(W.Waiters);
    W.Waiters.clear();
    this->park(Which, W, *Slice, C);
    for (Id Waiter : Waiters)
      if (auto Found = this->Works.find(Waiter); Found != this->Works.end())
        this->park(Waiter, Found->second, *Slice, C);
  }
  this->reportIfDrained(Ref, *Slice, C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::reportIfDrained(SliceRef Ref, OwnedSlice &Slice,
                                         const Ctx &C) {
  if (!Slice.Draining || Slice.Drained || !Slice.Running.empty())
    return;
  Slice.Drained = true;
  C.Output.push_back(SliceDrained{Ref, Slice.Table.encode(C.Now)});
  C.Output.push_back(
      WriteLog{LogRecord{&events::SliceDrainedEvent,
                         {{"slice", std::to_string(Ref.Slice)},
                          {"parked", std::to_string(Slice.Parked.size())}}}});
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::resume(SliceRef Ref, const Ctx &C) {
  OwnedSlice *Slice = this->findSlice(Ref);
  if (!Slice)
    return;
  Slice->Draining = false;
  Slice->Drained = false;
  std::vector<Id> Parked = std::exchange(Slice->Parked, {});
  this->unpark(Parked, C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::adopt(const AdoptSlice &Event, const Ctx &C) {
  if (auto Route = C.Routes.route(Event.Slice); Route && Route->Local)
    this->Self = Route->Owner;
  OwnedSlice *Held = this->findSlice(Event.Slice);
  // Without a table and without a loss, the one that is held stays in force.
  if (Held && Event.Table.empty() && !Event.HistoryLost)
    return this->resume(Event.Slice, C);
  // Unique among the histories of the slice: the fencing number differs
  // between owners, the counter between adoptions of one process.
  std::uint64_t HistoryId = stableHash(std::to_string(++this->Histories) + "/" +
                                           std::to_string(Event.Number.Value),
                                       this->Shared.Options.Seed) |
                            1;
  // A slice that was owned and dropped here did not begin now, whatever the
  // event says.
  bool Returned = !this->EverOwned.insert(Event.Slice).second;
  bool Lost = Event.HistoryLost || (Returned && Event.Table.empty());
  OwnedSlice &Slice = this->Slices[Event.Slice];
  Slice.Table = OperationTable::startHistory(HistoryId, !Lost, C.Now);
  if (!Lost && !Event.Table.empty()) {
    absl::StatusOr<OperationTable> Moved =
        OperationTable::decode(Event.Table, C.Now);
    if (Moved.ok()) {
      Slice.Table = *std::move(Moved);
    } else {
      Lost = true;
      Slice.Table = OperationTable::startHistory(HistoryId, false, C.Now);
      C.Output.push_back(WriteLog{LogRecord{
          &events::TableMalformed,
          {{"slice", std::to_string(Event.Slice.Slice)},
           {"error", std::string(toStd(Moved.status().message()))}}}});
    }
  }
  C.Output.push_back(
      WriteLog{LogRecord{Lost ? &events::HistoryStarted : &events::SliceAdopted,
                         {{"slice", std::to_string(Event.Slice.Slice)},
                          {"fence", std::to_string(Event.Number.Value)}}}});
  this->resume(Event.Slice, C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::drop(SliceRef Ref, const Ctx &C) {
  auto Node = this->Slices.extract(Ref);
  if (Node.empty())
    return;
  for (Id Which : Node.mapped().Running) {
    C.Output.push_back(CancelTarget{Which});
    this->release(Which, this->Works.at(Which), C);
    this->refuse(Which,
                 {.Status = 503,
                  .Result = Outcome::Unknown,
                  .Retry = RetryAdvice::Counted,
                  .Step = "gate",
                  .Message = "this node lost the slice during the call"},
                 C);
  }
  C.Output.push_back(WriteLog{LogRecord{
      &events::SliceDropped, {{"slice", std::to_string(Ref.Slice)}}}});
  this->unpark(Node.mapped().Parked, C);
  this->pump(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::granted(const SpendGranted &Event) {
  this->Spend.grant(Event.Service, Event.Amount, Event.Day);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::crashed(const CrashNotice &Notice, const Ctx &C) {
  if (!Notice.Confirmed)
    return this->Shared.Crashes.suspect(Notice.Digest, C.Now);
  if (this->Shared.Crashes.count(Notice.Digest, Notice.CrashId, C.Now))
    C.Output.push_back(
        WriteLog{LogRecord{&events::RequestQuarantined,
                           {{"digest", std::to_string(Notice.Digest)}}}});
  // The target beside this node may be the second one.
  if (std::ranges::find(this->Breaks, Notice.Digest, &Break::Digest) !=
      this->Breaks.end())
    this->announceSuspicion(Notice.Digest, C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::announceSuspicion(std::uint64_t Digest, const Ctx &C) {
  // A first break is no reason to refuse a request that may be innocent.
  if (!this->Shared.Crashes.holds(Digest))
    return;
  this->Shared.Crashes.suspect(Digest, C.Now);
  C.Output.push_back(Broadcast{CrashNotice{Digest, 0, false}});
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::countCrashes(const Ctx &C) {
  std::uint64_t CrashId =
      stableHash(std::to_string(++this->CrashCount), this->Shared.Options.Seed);
  std::set<std::uint64_t> Digests;
  for (const Break &Broken : this->Breaks)
    if (C.Now - Broken.At <= BreakKept)
      Digests.insert(Broken.Digest);
  this->Breaks.clear();
  std::set<Id> Affected;
  for (const auto &[Which, W] : this->Works)
    if (W.State == WorkState::Running || W.State == WorkState::Suspect ||
        W.State == WorkState::Queued)
      Affected.insert(Which);
  for (Id Which : Affected)
    if (const Work &W = this->Works.at(Which); W.State == WorkState::Running)
      Digests.insert(W.Sent.Digest);
  // All notices go out before any answer, so that they precede the retries.
  for (std::uint64_t Digest : Digests) {
    CrashNotice Notice{Digest, CrashId, true};
    C.Output.push_back(Broadcast{Notice});
    C.Output.push_back(WriteLog{
        LogRecord{&events::TargetCrash, {{"digest", std::to_string(Digest)}}}});
    this->crashed(Notice, C);
  }
  for (Id Which : Affected) {
    auto Found = this->Works.find(Which);
    if (Found == this->Works.end())
      continue;
    Work &W = Found->second;
    Refusal Why{.Status = 502,
                .Result = Outcome::Unknown,
                .Retry = RetryAdvice::Counted,
                .Step = "target",
                .Message = "the target was lost"};
    if (W.State == WorkState::Queued) {
      this->Queue.remove(Which, W.Class);
      Why.Result = Outcome::NotRun;
      Why.Retry = RetryAdvice::Free;
    } else if (W.State == WorkState::Running) {
      C.Output.push_back(CancelTarget{Which});
      this->release(Which, W, C);
    }
    SliceRef Ref = W.Sent.Slice;
    this->refuse(Which, Why, C);
    if (OwnedSlice *Slice = this->findSlice(Ref))
      this->reportIfDrained(Ref, *Slice, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::targetChanged(const TargetChanged &Event,
                                       const Ctx &C) {
  this->TargetReady = Event.Ready && !Event.Lost;
  this->ChecksFence = Event.ChecksFence;
  this->Queue.setSlots(std::min(Event.Slots, Event.Connections));
  if (Event.Lost)
    this->countCrashes(C);
  this->pump(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::runTimers(const Ctx &C) {
  while (std::optional<Id> Due = this->Timers.popDue(C.Now)) {
    auto Found = this->Works.find(*Due);
    if (Found == this->Works.end())
      continue;
    Work &W = Found->second;
    // The shell ends calls that run.
    if (W.State == WorkState::Running)
      continue;
    Refusal Why{.Status = 504,
                .Step = "admission",
                .Message = "the deadline passed before the call"};
    if (W.State == WorkState::Queued)
      this->Queue.remove(*Due, W.Class);
    if (W.State == WorkState::Joined) {
      Why.Result = Outcome::Unknown;
      Why.Step = "deduplication";
      Why.Message = "the operation still runs";
    } else if (W.State == WorkState::Suspect) {
      Why = {.Status = 502,
             .Result = Outcome::Unknown,
             .Retry = RetryAdvice::Counted,
             .Step = "target",
             .Message = "the connection to the target broke"};
    }
    this->refuse(*Due, Why, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::tick(const Ctx &C) {
  this->Shared.Crashes.expire(C.Now);
  this->Timers.compact(this->Works.size(), [this](Id Which) {
    return this->Works.contains(Which);
  });
  for (auto &[Service, Limiter] : this->Limiters)
    if (const ServiceEntry *Entry = this->Shared.Services.find(Service))
      Limiter.refill(Entry->Limits.RequestsPerSecond,
                     C.Routes.ownedShare(Service), C.Now);
  if (C.Now - this->SweptAt < SweepInterval)
    return;
  this->SweptAt = C.Now;
  this->Duplicates.expire(C.Now);
  for (auto &[Ref, Slice] : this->Slices)
    Slice.Table.expire(C.Now);
}

} // namespace orioledoor::requests::internal

#endif // ORIOLEDOOR_REQUESTS_INTERNAL_OWNER_SLICES_H
