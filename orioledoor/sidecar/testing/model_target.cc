// Reports, holds and releases of the modeled target.
#include "orioledoor/sidecar/testing/model_target.h"

#include <algorithm>
#include <utility>

namespace orioledoor::sidecar::testing {

routing::TargetReport ModelTarget::report(Instant Now) {
  routing::TargetReport Report;
  Report.Instance = this->Instance;
  Report.StartTimeMs = this->Born;
  Report.Address = Address;
  Report.Service = this->Service;
  Report.Slots = 18;
  Report.Draining = this->Draining;
  Report.Sequence = ++this->Sequence;
  if (Now >= this->HoldsEndAt)
    this->Holds.clear();
  for (const HeldRange &Range : this->Holds)
    Report.Holds.push_back({Range.Keys, Range.Fence});
  std::vector<HeldRange> StillInUse;
  for (HeldRange &Range : this->InUse)
    if (Now < Range.WorkUntil && Now < this->HoldsEndAt) {
      Report.Holds.push_back({Range.Keys, Range.Fence});
      StillInUse.push_back(Range);
    } else {
      this->Released.push_back(
          {Range.Keys, "handover-" + std::to_string(Range.Fence)});
    }
  this->InUse = std::move(StillInUse);
  Report.Released = this->Released;
  this->ReportedAt = Now;
  return Report;
}

std::vector<std::pair<std::uint32_t, std::int64_t>>
ModelTarget::applyAnswer(const routing::ReportAnswer &Answer, Instant Now,
                         Duration WorkTime) {
  std::vector<std::pair<std::uint32_t, std::int64_t>> Acquired;
  this->Released.clear();
  if (Answer.HoldTime.count() == 0)
    return Acquired;
  if (Now >= this->HoldsEndAt)
    this->Holds.clear();
  std::vector<HeldRange> PreviousHolds = std::exchange(this->Holds, {});
  for (const routing::GrantedRange &Range : Answer.Grants) {
    std::uint32_t First =
        (Range.Keys.From + SampleStep - 1) / SampleStep * SampleStep;
    bool HasNewerToken = false;
    for (std::uint32_t Key = First; Key <= Range.Keys.To; Key += SampleStep)
      HasNewerToken |= this->Fences[Key] > Range.Fence;
    if (HasNewerToken)
      continue;
    for (std::uint32_t Key = First; Key <= Range.Keys.To; Key += SampleStep)
      if (this->Fences[Key] < Range.Fence) {
        this->Fences[Key] = Range.Fence;
        Acquired.emplace_back(Key, Range.Fence);
      }
    this->Holds.push_back({Range.Keys, Range.Fence, {}});
  }
  // Keys that are no longer granted stay in use until the work on them ends.
  // Whole ranges are compared, which is stricter than the platform.
  for (HeldRange &Range : PreviousHolds) {
    bool StillGranted =
        std::ranges::any_of(this->Holds, [&Range](const HeldRange &Current) {
          return Current.Keys == Range.Keys;
        });
    if (StillGranted)
      continue;
    std::uint32_t FirstKey = Range.Keys.From;
    for (std::uint32_t Key = FirstKey; Key <= Range.Keys.To; ++Key) {
      bool GrantedAgain =
          std::ranges::any_of(this->Holds, [Key](const HeldRange &Granted) {
            return Granted.Keys.contains(Key);
          });
      if (GrantedAgain && Key > FirstKey)
        this->InUse.push_back(
            {{FirstKey, Key - 1}, Range.Fence, Now + WorkTime});
      if (GrantedAgain)
        FirstKey = Key + 1;
    }
    if (FirstKey <= Range.Keys.To)
      this->InUse.push_back(
          {{FirstKey, Range.Keys.To}, Range.Fence, Now + WorkTime});
  }
  auto Micros = static_cast<double>(Answer.HoldTime.count()) / this->ClockRate;
  this->HoldsEndAt =
      this->ReportedAt + Duration(static_cast<std::int64_t>(Micros));
  return Acquired;
}

bool ModelTarget::holds(std::uint32_t Key, Instant Now) const {
  if (Now >= this->HoldsEndAt)
    return false;
  auto Contains = [Key](const HeldRange &Range) {
    return Range.Keys.contains(Key);
  };
  return std::ranges::any_of(this->Holds, Contains) ||
         std::ranges::any_of(this->InUse, [&](const HeldRange &Range) {
           return Contains(Range) && Now < Range.WorkUntil;
         });
}

bool ModelTarget::isReleasing(Instant Now) const {
  return Now < this->HoldsEndAt && !this->InUse.empty();
}

} // namespace orioledoor::sidecar::testing
