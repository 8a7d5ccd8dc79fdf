// Priority classes, load shedding and the estimate of the queueing delay.
#include "orioledoor/requests/admission_queue.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <span>

namespace orioledoor::requests {

void AdmissionQueue::setSlots(std::uint32_t Count) { this->Slots = Count; }

void AdmissionQueue::callEnded(Duration CallTime) {
  --this->Running;
  this->AverageCallTime += (CallTime - this->AverageCallTime) / 16;
}

Duration AdmissionQueue::expectedWait(ServiceClass Class) const {
  if (this->slotFree())
    return Duration{0};
  std::size_t QueuedAhead = 1;
  for (const auto &Ids :
       std::span(this->Waiting).first(static_cast<std::size_t>(Class) + 1))
    QueuedAhead += Ids.size();
  return this->AverageCallTime * static_cast<std::int64_t>(QueuedAhead) /
         std::max<std::int64_t>(1, this->Slots);
}

AdmissionQueue::PushResult AdmissionQueue::push(std::uint64_t Id,
                                                ServiceClass Class) {
  PushResult Result;
  auto ClassIndex = static_cast<std::size_t>(Class);
  if (this->waiting() >= this->Slots * WaitingPerSlot) {
    auto LowerClasses = std::span(this->Waiting).subspan(ClassIndex + 1);
    auto Victim =
        std::ranges::find_if(LowerClasses | std::views::reverse,
                             [](const auto &Ids) { return !Ids.empty(); });
    if (Victim == (LowerClasses | std::views::reverse).end())
      return Result;
    Result.Shed = *Victim->rbegin();
    Victim->erase(*Result.Shed);
  }
  this->Waiting[ClassIndex].insert(Id);
  Result.Queued = true;
  return Result;
}

std::optional<std::uint64_t> AdmissionQueue::pop() {
  auto Found = std::ranges::find_if(
      this->Waiting, [](const auto &Ids) { return !Ids.empty(); });
  if (Found == this->Waiting.end())
    return std::nullopt;
  std::uint64_t Id = *Found->begin();
  Found->erase(Found->begin());
  return Id;
}

void AdmissionQueue::remove(std::uint64_t Id, ServiceClass Class) {
  this->Waiting[static_cast<std::size_t>(Class)].erase(Id);
}

std::size_t AdmissionQueue::waiting() const {
  return std::transform_reduce(this->Waiting.begin(), this->Waiting.end(),
                               std::size_t{0}, std::plus<>(),
                               [](const auto &Ids) { return Ids.size(); });
}

} // namespace orioledoor::requests
