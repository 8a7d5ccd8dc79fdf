// Adopts and drops slices, and carries out both sides of planned moves.
#include "orioledoor/ownership/slice_keeper.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <span>
#include <utility>

#include "orioledoor/ownership/events.h"
#include "orioledoor/ownership/node_state.h"

namespace orioledoor::ownership {
namespace {

constexpr Duration DrainLimit = std::chrono::seconds(2);
// Handovers at once. Requests of a slice wait from its drain to its yield, so
// a stopping node hands over a few slices at a time: with all of its 683 at
// once keys waited for up to 488 ms.
constexpr std::size_t MaxHandovers = 32;
constexpr Duration MoveRetry = std::chrono::seconds(5);
// A receiver that does not hold the assignment of the move yet ignores the
// yield, and requests of the slice wait meanwhile; so the first repeat is soon.
constexpr Duration FirstYieldRepeat = std::chrono::milliseconds(20);
constexpr Duration LongestYieldRepeat = std::chrono::milliseconds(320);
// Reports to the coordinator that a yielded slice changed hands.
constexpr Duration ReportInterval = std::chrono::milliseconds(500);

// The first number that the coordinator records for a slice; no earlier owner
// can have run anything under it.
constexpr Fence FirstNumber{1};

} // namespace

SliceKeeper::SliceKeeper(NodeState &Node) : Node(Node) {}

std::optional<Fence> SliceKeeper::owned(SliceRef Slice) const {
  auto Found = this->Owned.find(Slice);
  if (Found == this->Owned.end())
    return std::nullopt;
  return Found->second.Number;
}

bool SliceKeeper::isIdle() const {
  return this->Owned.empty() &&
         std::ranges::all_of(this->Given, [](const auto &Entry) {
           return Entry.second.Acknowledged;
         });
}

bool SliceKeeper::hasYielded(SliceRef Slice, const SliceOwner &Recorded) const {
  if (Recorded.Owner == this->Node.Id) {
    auto Found = this->Given.find(Slice);
    return Found != this->Given.end() &&
           Found->second.Recorded == Recorded.Number;
  }
  auto Found = this->Taken.find(Slice);
  return Found != this->Taken.end() && Found->second.From == Recorded.Owner;
}

void SliceKeeper::forgetRecordedMoves(Effects &Output) {
  const Assignment &Current = *this->Node.Current;
  std::erase_if(this->Given, [&](auto &Entry) {
    auto &[Slice, Of] = Entry;
    const SliceOwner *Recorded = Current.find(Slice);
    if (!Recorded || Recorded->Owner != this->Node.Id) {
      if (!Of.Acknowledged)
        Output.push_back(DropSlice{Slice});
      return true;
    }
    // A cancelled move: the target promised not to act on the yield, or is
    // deposed and the record raised this node's number above the target's.
    bool Cancelled = this->Node.isDeposed(Of.To)
                         ? Recorded->Number != Of.Recorded
                         : Recorded->MoveTarget != Of.To && !Of.Acknowledged;
    // A deposed target may have served before, so the table is out of date.
    if (Cancelled && !this->Node.isDeposed(Of.To))
      this->Tables[Slice] = std::move(Of.Table);
    return Cancelled;
  });
  std::erase_if(this->Taken, [&](const auto &Entry) {
    const SliceOwner *Recorded = Current.find(Entry.first);
    return !Recorded || Recorded->Owner != Entry.second.From;
  });
}

void SliceKeeper::adopt(const OwnedSlice &Slice, Effects &Output) {
  auto Table = this->Tables.extract(Slice.Slice);
  bool HistoryLost =
      !Table && (Slice.Position > 0 || Slice.Number > FirstNumber);
  this->Owned[Slice.Slice] = {Slice.Number, Slice.Position};
  Output.push_back(AdoptSlice{Slice.Slice, Slice.Number,
                              Table ? std::move(Table.mapped()) : std::string(),
                              HistoryLost});
}

void SliceKeeper::refresh(Instant Now, Effects &Output) {
  std::erase_if(this->Promises, [&](const Promised &P) {
    return P.Version <= this->Node.Current->Version;
  });
  this->forgetRecordedMoves(Output);
  std::vector<OwnedSlice> Mine = this->Routes.rebuild(
      this->Node, [&](SliceRef Slice, const SliceOwner &Recorded) {
        return this->hasYielded(Slice, Recorded);
      });
  if (this->isBoundByPromise())
    std::erase_if(Mine, [&](const OwnedSlice &S) {
      return S.Position > 0 && !this->Taken.contains(S.Slice) &&
             !this->Owned.contains(S.Slice);
    });

  std::size_t Before = this->Owned.size();
  std::size_t Adopted = 0;
  // Mine is in order, so the adoptions are; the losses are sorted below.
  std::set<SliceRef> Lost;
  for (const auto &[Slice, Unused] : this->Owned)
    Lost.insert(Slice);
  for (const OwnedSlice &S : Mine) {
    Lost.erase(S.Slice);
    auto Known = this->Owned.find(S.Slice);
    if (Known != this->Owned.end()) {
      Known->second = {S.Number, S.Position};
      continue;
    }
    this->adopt(S, Output);
    ++Adopted;
  }
  for (SliceRef Slice : Lost) {
    this->Owned.erase(Slice);
    this->Drains.erase(Slice);
    this->RetryAfter.erase(Slice);
    // A yielded slice keeps its table until the receiver has it.
    if (!this->Given.contains(Slice))
      Output.push_back(DropSlice{Slice});
  }
  this->Tables.clear();
  if (Adopted > 0 || !Lost.empty())
    writeLog(events::SlicesChanged,
             {{"before", std::to_string(Before)},
              {"adopted", std::to_string(Adopted)},
              {"lost", std::to_string(Lost.size())}},
             Output);
  this->updateDrains(Now, Output);
}

void SliceKeeper::reset(Effects &Output) {
  std::set<SliceRef> All;
  for (const auto &[Slice, Unused] : this->Owned)
    All.insert(Slice);
  for (const auto &[Slice, Of] : this->Given)
    if (!Of.Acknowledged)
      All.insert(Slice);
  for (SliceRef Slice : All)
    Output.push_back(DropSlice{Slice});
  this->Owned.clear();
  this->Drains.clear();
  this->RetryAfter.clear();
  this->Given.clear();
  this->Taken.clear();
  this->Tables.clear();
  this->Promises.clear();
}

void SliceKeeper::updateDrains(Instant Now, Effects &Output) {
  const Assignment &Current = *this->Node.Current;
  auto TargetOf = [&](SliceRef Slice) {
    const SliceOwner *Recorded = Current.find(Slice);
    bool Wanted = Recorded && Recorded->Owner == this->Node.Id &&
                  Recorded->MoveTarget &&
                  Recorded->MoveTarget != this->Node.Id &&
                  !this->Node.isDeposed(Recorded->MoveTarget);
    return Wanted ? Recorded->MoveTarget : MemberId{};
  };
  std::erase_if(this->Drains, [&](const auto &Entry) {
    bool Cancelled = TargetOf(Entry.first) != Entry.second.To;
    if (Cancelled)
      Output.push_back(ResumeSlice{Entry.first});
    return Cancelled;
  });
  std::size_t InMotion =
      this->Drains.size() + static_cast<std::size_t>(std::ranges::count_if(
                                this->Given, [](const auto &Entry) {
                                  return !Entry.second.Acknowledged;
                                }));
  // The move target stands in the record, so scan the record: Owned has no
  // order of its own.
  for (const ServiceSlices &Service : Current.Services)
    for (std::uint32_t I = 0;
         I < Service.Slices.size() && InMotion < MaxHandovers; ++I) {
      const SliceOwner &Recorded = Service.Slices[I];
      SliceRef Slice{Service.Service, I};
      if (Recorded.Owner != this->Node.Id || !Recorded.MoveTarget ||
          !this->Owned.contains(Slice) || this->Drains.contains(Slice) ||
          !TargetOf(Slice))
        continue;
      auto Retry = this->RetryAfter.find(Slice);
      if (Retry != this->RetryAfter.end() && Now < Retry->second)
        continue;
      ++InMotion;
      this->Drains.emplace(Slice, Drain{Recorded.MoveTarget, Now});
      Output.push_back(DrainSlice{Slice});
    }
}

void SliceKeeper::tick(Instant Now, Effects &Output) {
  std::erase_if(this->Drains, [&](const auto &Entry) {
    bool Overdue = Now - Entry.second.Since >= DrainLimit;
    if (Overdue) {
      this->RetryAfter[Entry.first] = Now + MoveRetry;
      Output.push_back(ResumeSlice{Entry.first});
      writeLog(events::MovePostponed,
               {{"service", std::to_string(Entry.first.Service.Value)},
                {"slice", std::to_string(Entry.first.Slice)}},
               Output);
    }
    return Overdue;
  });
  if (std::erase_if(this->RetryAfter,
                    [&](const auto &Entry) { return Now >= Entry.second; }) > 0)
    this->updateDrains(Now, Output);
  for (auto &[Slice, Of] : this->Given)
    if (Now >= Of.NextSend)
      this->sendYield(Now, Slice, Of, Output);
  for (auto &[Slice, Of] : this->Taken) {
    if (Now < Of.NextReport)
      continue;
    Of.NextReport = Now + ReportInterval;
    sendTo(this->Node, this->Node.Current->Coordinator,
           YieldAck{this->Node.Id, Slice, Of.Number}, Output);
  }
}

void SliceKeeper::sendYield(Instant Now, SliceRef Slice, Yielded &Of,
                            Effects &Output) {
  Fence Number{Of.Recorded.Value + 1};
  Of.NextSend = Now + (Of.Acknowledged ? ReportInterval : Of.Repeat);
  Of.Repeat = std::min(Of.Repeat * 2, LongestYieldRepeat);
  if (!Of.Acknowledged)
    sendTo(this->Node, Of.To, Yield{this->Node.Id, Slice, Number, Of.Table},
           Output);
  // Also on the receiver's behalf, which may be lost before it reports.
  if (Of.Acknowledged || this->Node.isDeposed(Of.To))
    sendTo(this->Node, this->Node.Current->Coordinator,
           YieldAck{Of.To, Slice, Number}, Output);
}

void SliceKeeper::handle(Instant Now, const SliceDrained &Drained,
                         Effects &Output) {
  auto Found = this->Drains.find(Drained.Slice);
  const SliceOwner *Recorded = this->Node.Current->find(Drained.Slice);
  if (Found == this->Drains.end() || !Recorded)
    return;
  Yielded Of{Found->second.To, Recorded->Number, Drained.Table, false, Now,
             FirstYieldRepeat};
  this->Given[Drained.Slice] = std::move(Of);
  writeLog(events::SliceYielded,
           {{"service", std::to_string(Drained.Slice.Service.Value)},
            {"slice", std::to_string(Drained.Slice.Slice)},
            {"to", std::to_string(Found->second.To.Value)}},
           Output);
  MemberId To = Found->second.To;
  this->Drains.erase(Found);
  // The gate closes before the yield leaves.
  if (this->Node.isDeposed(To)) {
    this->refresh(Now, Output);
  } else {
    this->Owned.erase(Drained.Slice);
    this->RetryAfter.erase(Drained.Slice);
    this->Routes.assign(Drained.Slice, To);
  }
  auto Sent = this->Given.find(Drained.Slice);
  if (Sent != this->Given.end())
    this->sendYield(Now, Sent->first, Sent->second, Output);
}

void SliceKeeper::handle(Instant Now, const std::string &From,
                         const Yield &Received, Effects &Output) {
  const Assignment &Current = *this->Node.Current;
  const SliceOwner *Recorded = Current.find(Received.Slice);
  if (!Recorded || !this->Node.Id || this->Node.isDeposed(this->Node.Id))
    return;
  bool IsTarget = Recorded->Owner == Received.From &&
                  Recorded->MoveTarget == this->Node.Id &&
                  Recorded->Number.Value + 1 == Received.Number.Value &&
                  !this->isBoundByPromise();
  bool IsRecorded =
      Recorded->Owner == this->Node.Id && Recorded->Number >= Received.Number;
  // Otherwise this node holds an older assignment; the sender repeats.
  if (!IsTarget && !IsRecorded)
    return;
  if (IsTarget && !this->Taken.contains(Received.Slice)) {
    this->Taken[Received.Slice] = {Received.From, Received.Number, Now};
    this->Tables[Received.Slice] = Received.Table;
    // The sender is the recorded owner and this node stands next to it, so
    // the rule of ownership needs no other slice.
    this->adopt(OwnedSlice{Received.Slice, Received.Number, 1}, Output);
    this->Routes.assign(Received.Slice, this->Node.Id);
  }
  Output.push_back(
      SendPeer{From, YieldAck{this->Node.Id, Received.Slice, Received.Number}});
}

void SliceKeeper::handle(Instant Now, const YieldAck &Received,
                         Effects &Output) {
  auto Found = this->Given.find(Received.Slice);
  if (Found == this->Given.end() || Found->second.Acknowledged ||
      Found->second.To != Received.From)
    return;
  Found->second.Acknowledged = true;
  Found->second.Table.clear();
  Output.push_back(DropSlice{Received.Slice});
  this->updateDrains(Now, Output);
}

void SliceKeeper::handle(const std::string &From,
                         const PromiseRequest &Received, Effects &Output) {
  if (!this->Node.Id)
    return;
  Promised Given{From, Received.Attempt, Received.Version};
  auto IsSame = [&](const Promised &P) {
    return P.To == From && P.Attempt == Received.Attempt;
  };
  if (std::ranges::none_of(this->Promises, IsSame))
    this->Promises.push_back(std::move(Given));
  Output.push_back(
      SendPeer{From, Promise{this->Node.Id, Received.Version, Received.Attempt,
                             this->actingFor()}});
}

void SliceKeeper::handle(Instant Now, const std::string &From,
                         const PromiseWithdrawn &Received, Effects &Output) {
  std::size_t Dropped = std::erase_if(this->Promises, [&](const Promised &P) {
    return P.To == From && P.Attempt == Received.Attempt;
  });
  if (Dropped > 0 && this->Node.Id)
    this->refresh(Now, Output);
}

bool SliceKeeper::isBoundByPromise() const {
  return std::ranges::any_of(this->Promises, [&](const Promised &P) {
    return P.Version > this->Node.Current->Version;
  });
}

std::vector<MemberId> SliceKeeper::actingFor() const {
  std::set<MemberId> Result;
  for (const auto &[Slice, Of] : this->Owned) {
    if (Of.Position == 0 || this->Taken.contains(Slice))
      continue;
    SuccessionList List = this->Node.Current->successionOf(Slice);
    std::ranges::copy(std::span(List.Members).first(Of.Position),
                      std::inserter(Result, Result.end()));
  }
  return {Result.begin(), Result.end()};
}

} // namespace orioledoor::ownership
