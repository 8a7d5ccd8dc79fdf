// Adopts and drops slices, and implements both sides of planned moves.
#include "orioledoor/ownership/slice_ownership.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <span>
#include <utility>

#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/node_state.h"

namespace orioledoor::ownership {
namespace {

constexpr Duration DrainTimeout = std::chrono::seconds(2);
// Maximum number of handovers at the same time. Requests of a slice wait from
// its drain until its yield, so a stopping node hands over a few slices at a
// time: with all of its 683 slices at once, keys waited for up to 488 ms.
constexpr std::size_t MaxConcurrentHandovers = 32;
constexpr Duration MoveRetryDelay = std::chrono::seconds(5);
// A receiver that does not yet have the assignment with the move ignores the
// yield, and requests of the slice wait in the meantime. The first resend
// therefore follows soon.
constexpr Duration InitialYieldResendDelay = std::chrono::milliseconds(20);
constexpr Duration MaxYieldResendDelay = std::chrono::milliseconds(320);
// Interval of the reports to the coordinator that a yielded slice has a new
// owner.
constexpr Duration ReportInterval = std::chrono::milliseconds(500);

// The first fencing number that the coordinator records for a slice. No earlier
// owner can have executed an operation under it.
constexpr Fence FirstNumber{1};

} // namespace

SliceOwnership::SliceOwnership(NodeState &Node) : Node(Node) {}

std::optional<Fence> SliceOwnership::owned(SliceRef Slice) const {
  auto Found = this->Owned.find(Slice);
  if (Found == this->Owned.end())
    return std::nullopt;
  return Found->second.FencingNumber;
}

bool SliceOwnership::isIdle() const {
  return this->Owned.empty() &&
         std::ranges::all_of(this->OutgoingYields, [](const auto &Entry) {
           return Entry.second.Acknowledged;
         });
}

bool SliceOwnership::hasYielded(SliceRef Slice,
                                const SliceOwner &Recorded) const {
  if (Recorded.Owner == this->Node.Id) {
    auto Found = this->OutgoingYields.find(Slice);
    return Found != this->OutgoingYields.end() &&
           Found->second.Recorded == Recorded.FencingNumber;
  }
  auto Found = this->IncomingYields.find(Slice);
  return Found != this->IncomingYields.end() &&
         Found->second.From == Recorded.Owner;
}

void SliceOwnership::removeRecordedYields(Effects &Output) {
  const Assignment &Current = *this->Node.Current;
  std::erase_if(this->OutgoingYields, [&](auto &Entry) {
    auto &[Slice, Transfer] = Entry;
    const SliceOwner *Recorded = Current.find(Slice);
    if (!Recorded || Recorded->Owner != this->Node.Id) {
      if (!Transfer.Acknowledged)
        Output.push_back(DropSlice{Slice});
      return true;
    }
    // The move was cancelled: either the target promised not to act on the
    // yield, or the target is deposed and the assignment raised this node's
    // fencing number above the target's.
    bool Cancelled = this->Node.isDeposed(Transfer.Receiver)
                         ? Recorded->FencingNumber != Transfer.Recorded
                         : Recorded->MoveTarget != Transfer.Receiver &&
                               !Transfer.Acknowledged;
    // A deposed target may have served the slice, so the table is out of date.
    if (Cancelled && !this->Node.isDeposed(Transfer.Receiver))
      this->PendingTables[Slice] = std::move(Transfer.Table);
    return Cancelled;
  });
  std::erase_if(this->IncomingYields, [&](const auto &Entry) {
    const SliceOwner *Recorded = Current.find(Entry.first);
    return !Recorded || Recorded->Owner != Entry.second.From;
  });
}

void SliceOwnership::adopt(const OwnedSlice &Slice, Effects &Output) {
  auto Table = this->PendingTables.extract(Slice.Slice);
  bool HistoryLost =
      !Table && (Slice.Position > 0 || Slice.FencingNumber > FirstNumber);
  this->Owned[Slice.Slice] = {Slice.FencingNumber, Slice.Position};
  Output.push_back(AdoptSlice{Slice.Slice, Slice.FencingNumber,
                              Table ? std::move(Table.mapped()) : std::string(),
                              HistoryLost});
}

void SliceOwnership::refresh(Instant Now, Effects &Output) {
  std::erase_if(this->Promises, [&](const GrantedPromise &P) {
    return P.Version <= this->Node.Current->Version;
  });
  this->removeRecordedYields(Output);
  std::vector<OwnedSlice> OwnSlices = this->Routes.rebuild(
      this->Node, [&](SliceRef Slice, const SliceOwner &Recorded) {
        return this->hasYielded(Slice, Recorded);
      });
  if (this->isBoundByPromise())
    std::erase_if(OwnSlices, [&](const OwnedSlice &S) {
      return S.Position > 0 && !this->IncomingYields.contains(S.Slice) &&
             !this->Owned.contains(S.Slice);
    });

  std::size_t Before = this->Owned.size();
  std::size_t Adopted = 0;
  // OwnSlices is sorted, so the adoptions are too; Lost sorts the lost slices.
  std::set<SliceRef> Lost;
  for (const auto &[Slice, Unused] : this->Owned)
    Lost.insert(Slice);
  for (const OwnedSlice &S : OwnSlices) {
    Lost.erase(S.Slice);
    auto Known = this->Owned.find(S.Slice);
    if (Known != this->Owned.end()) {
      Known->second = {S.FencingNumber, S.Position};
      continue;
    }
    this->adopt(S, Output);
    ++Adopted;
  }
  for (SliceRef Slice : Lost) {
    this->Owned.erase(Slice);
    this->Drains.erase(Slice);
    this->DrainRetryAt.erase(Slice);
    // The table of a yielded slice is kept until the receiver has it.
    if (!this->OutgoingYields.contains(Slice))
      Output.push_back(DropSlice{Slice});
  }
  this->PendingTables.clear();
  if (Adopted > 0 || !Lost.empty())
    writeLog(events::SlicesChanged,
             {{"before", std::to_string(Before)},
              {"adopted", std::to_string(Adopted)},
              {"lost", std::to_string(Lost.size())}},
             Output);
  this->updateDrains(Now, Output);
}

void SliceOwnership::reset(Effects &Output) {
  std::set<SliceRef> All;
  for (const auto &[Slice, Unused] : this->Owned)
    All.insert(Slice);
  for (const auto &[Slice, Transfer] : this->OutgoingYields)
    if (!Transfer.Acknowledged)
      All.insert(Slice);
  for (SliceRef Slice : All)
    Output.push_back(DropSlice{Slice});
  this->Owned.clear();
  this->Drains.clear();
  this->DrainRetryAt.clear();
  this->OutgoingYields.clear();
  this->IncomingYields.clear();
  this->PendingTables.clear();
  this->Promises.clear();
}

void SliceOwnership::updateDrains(Instant Now, Effects &Output) {
  const Assignment &Current = *this->Node.Current;
  auto TargetOf = [&](SliceRef Slice) {
    const SliceOwner *Recorded = Current.find(Slice);
    bool IsMovePlanned = Recorded && Recorded->Owner == this->Node.Id &&
                         Recorded->MoveTarget &&
                         Recorded->MoveTarget != this->Node.Id &&
                         !this->Node.isDeposed(Recorded->MoveTarget);
    return IsMovePlanned ? Recorded->MoveTarget : MemberId{};
  };
  std::erase_if(this->Drains, [&](const auto &Entry) {
    bool Cancelled = TargetOf(Entry.first) != Entry.second.Receiver;
    if (Cancelled)
      Output.push_back(ResumeSlice{Entry.first});
    return Cancelled;
  });
  std::size_t HandoverCount =
      this->Drains.size() + static_cast<std::size_t>(std::ranges::count_if(
                                this->OutgoingYields, [](const auto &Entry) {
                                  return !Entry.second.Acknowledged;
                                }));
  // Move targets are recorded in the assignment, so this loop iterates over it
  // in order; Owned is unordered.
  for (const ServiceSlices &Service : Current.Services)
    for (std::uint32_t I = 0;
         I < Service.Slices.size() && HandoverCount < MaxConcurrentHandovers;
         ++I) {
      const SliceOwner &Recorded = Service.Slices[I];
      SliceRef Slice{Service.Service, I};
      if (Recorded.Owner != this->Node.Id || !Recorded.MoveTarget ||
          !this->Owned.contains(Slice) || this->Drains.contains(Slice) ||
          !TargetOf(Slice))
        continue;
      auto Retry = this->DrainRetryAt.find(Slice);
      if (Retry != this->DrainRetryAt.end() && Now < Retry->second)
        continue;
      ++HandoverCount;
      this->Drains.emplace(Slice, Drain{Recorded.MoveTarget, Now});
      Output.push_back(DrainSlice{Slice});
    }
}

void SliceOwnership::tick(Instant Now, Effects &Output) {
  std::erase_if(this->Drains, [&](const auto &Entry) {
    bool Overdue = Now - Entry.second.Since >= DrainTimeout;
    if (Overdue) {
      this->DrainRetryAt[Entry.first] = Now + MoveRetryDelay;
      Output.push_back(ResumeSlice{Entry.first});
      writeLog(events::MovePostponed,
               {{"service", std::to_string(Entry.first.Service.Value)},
                {"slice", std::to_string(Entry.first.Slice)}},
               Output);
    }
    return Overdue;
  });
  if (std::erase_if(this->DrainRetryAt,
                    [&](const auto &Entry) { return Now >= Entry.second; }) > 0)
    this->updateDrains(Now, Output);
  for (auto &[Slice, Transfer] : this->OutgoingYields)
    if (Now >= Transfer.NextSend)
      this->sendYield(Now, Slice, Transfer, Output);
  for (auto &[Slice, Transfer] : this->IncomingYields) {
    if (Now < Transfer.NextReport)
      continue;
    Transfer.NextReport = Now + ReportInterval;
    sendTo(this->Node, this->Node.Current->Coordinator,
           YieldAck{this->Node.Id, Slice, Transfer.FencingNumber}, Output);
  }
}

void SliceOwnership::sendYield(Instant Now, SliceRef Slice,
                               OutgoingYield &Transfer, Effects &Output) {
  Fence FencingNumber{Transfer.Recorded.Value + 1};
  Transfer.NextSend =
      Now + (Transfer.Acknowledged ? ReportInterval : Transfer.ResendDelay);
  Transfer.ResendDelay =
      std::min(Transfer.ResendDelay * 2, MaxYieldResendDelay);
  if (!Transfer.Acknowledged)
    sendTo(this->Node, Transfer.Receiver,
           Yield{this->Node.Id, Slice, FencingNumber, Transfer.Table}, Output);
  // Also reports on behalf of the receiver, which may fail before it reports.
  if (Transfer.Acknowledged || this->Node.isDeposed(Transfer.Receiver))
    sendTo(this->Node, this->Node.Current->Coordinator,
           YieldAck{Transfer.Receiver, Slice, FencingNumber}, Output);
}

void SliceOwnership::handle(Instant Now, const SliceDrained &Drained,
                            Effects &Output) {
  auto Found = this->Drains.find(Drained.Slice);
  const SliceOwner *Recorded = this->Node.Current->find(Drained.Slice);
  if (Found == this->Drains.end() || !Recorded)
    return;
  OutgoingYield Transfer{Found->second.Receiver,
                         Recorded->FencingNumber,
                         Drained.Table,
                         false,
                         Now,
                         InitialYieldResendDelay};
  this->OutgoingYields[Drained.Slice] = std::move(Transfer);
  writeLog(events::SliceYielded,
           {{"service", std::to_string(Drained.Slice.Service.Value)},
            {"slice", std::to_string(Drained.Slice.Slice)},
            {"to", std::to_string(Found->second.Receiver.Value)}},
           Output);
  MemberId Receiver = Found->second.Receiver;
  this->Drains.erase(Found);
  // Stops serving the slice before the yield is sent.
  if (this->Node.isDeposed(Receiver)) {
    this->refresh(Now, Output);
  } else {
    this->Owned.erase(Drained.Slice);
    this->DrainRetryAt.erase(Drained.Slice);
    this->Routes.assign(Drained.Slice, Receiver);
  }
  auto Current = this->OutgoingYields.find(Drained.Slice);
  if (Current != this->OutgoingYields.end())
    this->sendYield(Now, Current->first, Current->second, Output);
}

void SliceOwnership::handle(Instant Now, const std::string &From,
                            const Yield &Received, Effects &Output) {
  const Assignment &Current = *this->Node.Current;
  const SliceOwner *Recorded = Current.find(Received.Slice);
  if (!Recorded || !this->Node.Id || this->Node.isDeposed(this->Node.Id))
    return;
  bool IsTarget =
      Recorded->Owner == Received.From &&
      Recorded->MoveTarget == this->Node.Id &&
      Recorded->FencingNumber.Value + 1 == Received.FencingNumber.Value &&
      !this->isBoundByPromise();
  bool IsRecorded = Recorded->Owner == this->Node.Id &&
                    Recorded->FencingNumber >= Received.FencingNumber;
  // Otherwise this node has an older assignment; the sender resends the yield.
  if (!IsTarget && !IsRecorded)
    return;
  if (IsTarget && !this->IncomingYields.contains(Received.Slice)) {
    this->IncomingYields[Received.Slice] = {Received.From,
                                            Received.FencingNumber, Now};
    this->PendingTables[Received.Slice] = Received.Table;
    // The sender is the recorded owner and this node is next in the succession
    // list, so no other slice needs to be recomputed.
    this->adopt(OwnedSlice{Received.Slice, Received.FencingNumber, 1}, Output);
    this->Routes.assign(Received.Slice, this->Node.Id);
  }
  Output.push_back(SendPeer{
      From, YieldAck{this->Node.Id, Received.Slice, Received.FencingNumber}});
}

void SliceOwnership::handle(Instant Now, const YieldAck &Received,
                            Effects &Output) {
  auto Found = this->OutgoingYields.find(Received.Slice);
  if (Found == this->OutgoingYields.end() || Found->second.Acknowledged ||
      Found->second.Receiver != Received.From)
    return;
  Found->second.Acknowledged = true;
  Found->second.Table.clear();
  Output.push_back(DropSlice{Received.Slice});
  this->updateDrains(Now, Output);
}

void SliceOwnership::handle(const std::string &From,
                            const PromiseRequest &Received, Effects &Output) {
  if (!this->Node.Id)
    return;
  GrantedPromise Granted{From, Received.Attempt, Received.Version};
  auto IsSame = [&](const GrantedPromise &P) {
    return P.To == From && P.Attempt == Received.Attempt;
  };
  if (std::ranges::none_of(this->Promises, IsSame))
    this->Promises.push_back(std::move(Granted));
  Output.push_back(
      SendPeer{From, Promise{this->Node.Id, Received.Version, Received.Attempt,
                             this->membersActedFor()}});
}

void SliceOwnership::handle(Instant Now, const std::string &From,
                            const PromiseWithdrawn &Received, Effects &Output) {
  std::size_t Dropped =
      std::erase_if(this->Promises, [&](const GrantedPromise &P) {
        return P.To == From && P.Attempt == Received.Attempt;
      });
  if (Dropped > 0 && this->Node.Id)
    this->refresh(Now, Output);
}

bool SliceOwnership::isBoundByPromise() const {
  return std::ranges::any_of(this->Promises, [&](const GrantedPromise &P) {
    return P.Version > this->Node.Current->Version;
  });
}

std::vector<MemberId> SliceOwnership::membersActedFor() const {
  std::set<MemberId> Result;
  for (const auto &[Slice, Entry] : this->Owned) {
    if (Entry.Position == 0 || this->IncomingYields.contains(Slice))
      continue;
    SuccessionList List = this->Node.Current->successionOf(Slice);
    std::ranges::copy(std::span(List.Members).first(Entry.Position),
                      std::inserter(Result, Result.end()));
  }
  return {Result.begin(), Result.end()};
}

} // namespace orioledoor::ownership
