// Member functions of OwnerSide for slice ownership, target loss and timers.
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
void OwnerSide<Routing>::park(Id RecordId, OwnerRequest &Record,
                              OwnedSlice &Slice, const Ctx &C) {
  if (Slice.Parked.size() >= MaxParked)
    return this->refuse(RecordId,
                        {.Status = 503,
                         .Retry = RetryAdvice::Free,
                         .Step = "drain",
                         .Message = "too many requests wait for the move"},
                        C);
  Record.State = OwnerRequestState::Parked;
  Slice.Parked.push_back(RecordId);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::unpark(std::span<const Id> Parked, const Ctx &C) {
  for (Id RecordId : Parked) {
    auto Found = this->Requests.find(RecordId);
    if (Found != this->Requests.end() &&
        Found->second.State == OwnerRequestState::Parked)
      this->admit(RecordId, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::drain(SliceRef Ref, const Ctx &C) {
  OwnedSlice *Slice = this->findSlice(Ref);
  if (!Slice || Slice->Draining)
    return;
  Slice->Draining = true;
  std::set<Id> Queued;
  for (const auto &[RecordId, Record] : this->Requests)
    if (Record.State == OwnerRequestState::Queued && !Record.AnyMember &&
        Record.Received.Slice == Ref)
      Queued.insert(RecordId);
  for (Id RecordId : Queued) {
    OwnerRequest &Record = this->Requests.at(RecordId);
    this->Queue.remove(RecordId, Record.Class);
    this->undoAdmission(RecordId, Record, C);
    std::vector<Id> Waiters = std::move(Record.Waiters);
    Record.Waiters.clear();
    this->park(RecordId, Record, *Slice, C);
    for (Id Waiter : Waiters)
      if (auto Found = this->Requests.find(Waiter);
          Found != this->Requests.end())
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
    this->SelfMember = Route->Owner;
  OwnedSlice *Held = this->findSlice(Event.Slice);
  // Without a new table and without a loss, the table that the node already
  // holds remains valid.
  if (Held && Event.Table.empty() && !Event.HistoryLost)
    return this->resume(Event.Slice, C);
  // Unique among the histories of the slice: the fencing number differs between
  // owners, and the counter differs between adoptions by one process.
  std::uint64_t HistoryId =
      stableHash(std::to_string(++this->HistoryCount) + "/" +
                     std::to_string(Event.FencingNumber.Value),
                 this->Shared.Options.Seed) |
      1;
  // A slice that this process owned before is not new, even if the event
  // carries neither a table nor a loss.
  bool OwnedBefore = !this->EverOwned.insert(Event.Slice).second;
  bool Lost = Event.HistoryLost || (OwnedBefore && Event.Table.empty());
  OwnedSlice &Slice = this->Slices[Event.Slice];
  Slice.Table = OperationTable::startHistory(HistoryId, !Lost, C.Now);
  if (!Lost && !Event.Table.empty()) {
    absl::StatusOr<OperationTable> Decoded =
        OperationTable::decode(Event.Table, C.Now);
    if (Decoded.ok()) {
      Slice.Table = *std::move(Decoded);
    } else {
      Lost = true;
      Slice.Table = OperationTable::startHistory(HistoryId, false, C.Now);
      C.Output.push_back(WriteLog{LogRecord{
          &events::TableMalformed,
          {{"slice", std::to_string(Event.Slice.Slice)},
           {"error", std::string(toStd(Decoded.status().message()))}}}});
    }
  }
  C.Output.push_back(WriteLog{
      LogRecord{Lost ? &events::HistoryStarted : &events::SliceAdopted,
                {{"slice", std::to_string(Event.Slice.Slice)},
                 {"fence", std::to_string(Event.FencingNumber.Value)}}}});
  this->resume(Event.Slice, C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::drop(SliceRef Ref, const Ctx &C) {
  auto Node = this->Slices.extract(Ref);
  if (Node.empty())
    return;
  for (Id RecordId : Node.mapped().Running) {
    C.Output.push_back(CancelTarget{RecordId});
    this->releaseSlot(RecordId, this->Requests.at(RecordId), C);
    this->refuse(RecordId,
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
  this->startQueued(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::handleSpendGrant(const SpendGranted &Event) {
  this->Spend.grant(Event.Service, Event.Amount, Event.Day);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::handleCrashNotice(const CrashNotice &Notice,
                                           const Ctx &C) {
  if (!Notice.Confirmed)
    return this->Shared.Crashes.markSuspected(Notice.Digest, C.Now);
  if (this->Shared.Crashes.recordCrash(Notice.Digest, Notice.CrashId, C.Now))
    C.Output.push_back(
        WriteLog{LogRecord{&events::RequestQuarantined,
                           {{"digest", std::to_string(Notice.Digest)}}}});
  // The target of this node may be the second one that this request crashes.
  if (std::ranges::find(this->ConnectionBreaks, Notice.Digest,
                        &ConnectionBreak::Digest) !=
      this->ConnectionBreaks.end())
    this->broadcastSuspicion(Notice.Digest, C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::broadcastSuspicion(std::uint64_t Digest,
                                            const Ctx &C) {
  // After a first broken connection the request may still be innocent, so it is
  // not refused.
  if (!this->Shared.Crashes.contains(Digest))
    return;
  this->Shared.Crashes.markSuspected(Digest, C.Now);
  C.Output.push_back(Broadcast{CrashNotice{Digest, 0, false}});
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::recordTargetCrash(const Ctx &C) {
  std::uint64_t CrashId =
      stableHash(std::to_string(++this->CrashCount), this->Shared.Options.Seed);
  std::set<std::uint64_t> Digests;
  for (const ConnectionBreak &Connection : this->ConnectionBreaks)
    if (C.Now - Connection.BrokenAt <= BreakRetention)
      Digests.insert(Connection.Digest);
  this->ConnectionBreaks.clear();
  std::set<Id> Affected;
  for (const auto &[RecordId, Record] : this->Requests)
    if (Record.State == OwnerRequestState::Running ||
        Record.State == OwnerRequestState::AwaitingProbe ||
        Record.State == OwnerRequestState::Queued)
      Affected.insert(RecordId);
  for (Id RecordId : Affected)
    if (const OwnerRequest &Record = this->Requests.at(RecordId);
        Record.State == OwnerRequestState::Running)
      Digests.insert(Record.Received.Digest);
  // All notices precede the answers, so that every node knows the crash before
  // a retry arrives.
  for (std::uint64_t Digest : Digests) {
    CrashNotice Notice{Digest, CrashId, true};
    C.Output.push_back(Broadcast{Notice});
    C.Output.push_back(WriteLog{
        LogRecord{&events::TargetCrash, {{"digest", std::to_string(Digest)}}}});
    this->handleCrashNotice(Notice, C);
  }
  for (Id RecordId : Affected) {
    auto Found = this->Requests.find(RecordId);
    if (Found == this->Requests.end())
      continue;
    OwnerRequest &Record = Found->second;
    Refusal Reason{.Status = 502,
                   .Result = Outcome::Unknown,
                   .Retry = RetryAdvice::Counted,
                   .Step = "target",
                   .Message = "the target was lost"};
    if (Record.State == OwnerRequestState::Queued) {
      this->Queue.remove(RecordId, Record.Class);
      Reason.Result = Outcome::NotRun;
      Reason.Retry = RetryAdvice::Free;
    } else if (Record.State == OwnerRequestState::Running) {
      C.Output.push_back(CancelTarget{RecordId});
      this->releaseSlot(RecordId, Record, C);
    }
    SliceRef Ref = Record.Received.Slice;
    this->refuse(RecordId, Reason, C);
    if (OwnedSlice *Slice = this->findSlice(Ref))
      this->reportIfDrained(Ref, *Slice, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::handleTargetChange(const TargetChanged &Event,
                                            const Ctx &C) {
  this->TargetReady = Event.Ready && !Event.Lost;
  this->ChecksFence = Event.ChecksFence;
  this->Queue.setSlots(std::min(Event.Slots, Event.Connections));
  if (Event.Lost)
    this->recordTargetCrash(C);
  this->startQueued(C);
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::runTimers(const Ctx &C) {
  while (std::optional<Id> Due = this->Timers.popDue(C.Now)) {
    auto Found = this->Requests.find(*Due);
    if (Found == this->Requests.end())
      continue;
    OwnerRequest &Record = Found->second;
    // The I/O layer enforces the timeout of running calls.
    if (Record.State == OwnerRequestState::Running)
      continue;
    Refusal Reason{.Status = 504,
                   .Step = "admission",
                   .Message = "the deadline passed before the call"};
    if (Record.State == OwnerRequestState::Queued)
      this->Queue.remove(*Due, Record.Class);
    if (Record.State == OwnerRequestState::Coalesced) {
      Reason.Result = Outcome::Unknown;
      Reason.Step = "deduplication";
      Reason.Message = "the operation still runs";
    } else if (Record.State == OwnerRequestState::AwaitingProbe) {
      Reason = {.Status = 502,
                .Result = Outcome::Unknown,
                .Retry = RetryAdvice::Counted,
                .Step = "target",
                .Message = "the connection to the target broke"};
    }
    this->refuse(*Due, Reason, C);
  }
}

template <ownership::RoutingView Routing>
void OwnerSide<Routing>::tick(const Ctx &C) {
  this->Shared.Crashes.expire(C.Now);
  this->Timers.compact(this->Requests.size(), [this](Id RecordId) {
    return this->Requests.contains(RecordId);
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
