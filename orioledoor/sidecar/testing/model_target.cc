#include "orioledoor/sidecar/testing/model_target.h"

#include <algorithm>
#include <utility>

namespace orioledoor::sidecar::testing {

routing::TargetReport ModelTarget::report(Instant Now) {
  routing::TargetReport Report;
  Report.Instance = this->Instance;
  Report.StartTimeMs = this->Born;
  Report.Service = "consulta";
  Report.Slots = 18;
  Report.Draining = this->Draining;
  Report.Sequence = ++this->Sequence;
  if (Now >= this->HoldEnd)
    this->Holds.clear();
  for (const Held &Each : this->Holds)
    Report.Holds.push_back({Each.Keys, Each.Fence});
  std::vector<Held> Still;
  for (Held &Each : this->Working)
    if (Now < Each.WorkUntil && Now < this->HoldEnd) {
      Report.Holds.push_back({Each.Keys, Each.Fence});
      Still.push_back(Each);
    } else {
      this->Released.push_back(
          {Each.Keys, "handover-" + std::to_string(Each.Fence)});
    }
  this->Working = std::move(Still);
  Report.Released = this->Released;
  this->ReportedAt = Now;
  return Report;
}

std::vector<std::pair<std::uint32_t, std::int64_t>>
ModelTarget::answered(const routing::ReportAnswer &Answer, Instant Now,
                      Duration WorkTime) {
  std::vector<std::pair<std::uint32_t, std::int64_t>> Taken;
  this->Released.clear();
  if (Answer.HoldTime.count() == 0)
    return Taken;
  if (Now >= this->HoldEnd)
    this->Holds.clear();
  std::vector<Held> Before = std::exchange(this->Holds, {});
  for (const routing::GrantedRange &Each : Answer.Grants) {
    std::uint32_t First =
        (Each.Keys.From + SampleStep - 1) / SampleStep * SampleStep;
    bool Older = false;
    for (std::uint32_t Key = First; Key <= Each.Keys.To; Key += SampleStep)
      Older |= this->Fences[Key] > Each.Fence;
    if (Older)
      continue;
    for (std::uint32_t Key = First; Key <= Each.Keys.To; Key += SampleStep)
      if (this->Fences[Key] < Each.Fence) {
        this->Fences[Key] = Each.Fence;
        Taken.emplace_back(Key, Each.Fence);
      }
    this->Holds.push_back({Each.Keys, Each.Fence, {}});
  }
  // What was left out stays in use until its work ends. Whole ranges are
  // compared, which is stricter than the platform.
  for (Held &Each : Before) {
    bool Kept = std::ranges::any_of(this->Holds, [&Each](const Held &Now) {
      return Now.Keys == Each.Keys;
    });
    if (Kept)
      continue;
    std::uint32_t From = Each.Keys.From;
    for (std::uint32_t Key = From; Key <= Each.Keys.To; ++Key) {
      bool Again = std::ranges::any_of(
          this->Holds, [Key](const Held &Of) { return Of.Keys.contains(Key); });
      if (Again && Key > From)
        this->Working.push_back({{From, Key - 1}, Each.Fence, Now + WorkTime});
      if (Again)
        From = Key + 1;
    }
    if (From <= Each.Keys.To)
      this->Working.push_back(
          {{From, Each.Keys.To}, Each.Fence, Now + WorkTime});
  }
  auto Micros = static_cast<double>(Answer.HoldTime.count()) / this->ClockRate;
  this->HoldEnd =
      this->ReportedAt + Duration(static_cast<std::int64_t>(Micros));
  return Taken;
}

bool ModelTarget::holds(std::uint32_t Key, Instant Now) const {
  if (Now >= this->HoldEnd)
    return false;
  auto Contains = [Key](const Held &Each) { return Each.Keys.contains(Key); };
  return std::ranges::any_of(this->Holds, Contains) ||
         std::ranges::any_of(this->Working, [&](const Held &Each) {
           return Contains(Each) && Now < Each.WorkUntil;
         });
}

bool ModelTarget::releasing(Instant Now) const {
  return Now < this->HoldEnd && !this->Working.empty();
}

} // namespace orioledoor::sidecar::testing
