// Slot accounting, priority queue and estimate of the waiting time.
#include "orioledoor/routing/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace orioledoor::routing {
namespace {

// Weight of a new sample in the moving average. About the last 20 samples
// count, which is roughly one use of each slot.
constexpr double NewSampleWeight = 0.05;
// Used until the first request has completed.
constexpr Duration DefaultServiceTime = std::chrono::milliseconds(100);

} // namespace

bool AdmissionQueue::tryStart() {
  if (this->Running >= this->Slots || !this->Waiting.empty())
    return false;
  ++this->Running;
  return true;
}

void AdmissionQueue::push(const WaitingRequest &Added) {
  this->Waiting.emplace(Added.Rank, Added);
}

void AdmissionQueue::release(Duration HoldTime) {
  this->release();
  if (this->ServiceTime.count() == 0) {
    this->ServiceTime = HoldTime;
    return;
  }
  double Mean = static_cast<double>(this->ServiceTime.count());
  double Sample = static_cast<double>(HoldTime.count());
  this->ServiceTime = Duration(
      static_cast<std::int64_t>(Mean + NewSampleWeight * (Sample - Mean)));
}

void AdmissionQueue::release() {
  if (this->Running > 0)
    --this->Running;
}

std::optional<WaitingRequest> AdmissionQueue::popStartable(Instant Now) {
  if (this->Running >= this->Slots)
    return std::nullopt;
  auto Next = std::ranges::find_if(this->Waiting, [Now](const auto &Entry) {
    return Now <= Entry.second.StartBy;
  });
  if (Next == this->Waiting.end())
    return std::nullopt;
  WaitingRequest Taken = Next->second;
  this->Waiting.erase(Next);
  ++this->Running;
  return Taken;
}

bool AdmissionQueue::remove(std::uint64_t Id) {
  return std::erase_if(this->Waiting, [Id](const auto &Entry) {
           return Entry.second.Id == Id;
         }) > 0;
}

std::vector<WaitingRequest> AdmissionQueue::takeOverdue(Instant Now) {
  std::vector<WaitingRequest> Overdue;
  std::erase_if(this->Waiting, [&](const auto &Entry) {
    if (Now <= Entry.second.StartBy)
      return false;
    Overdue.push_back(Entry.second);
    return true;
  });
  return Overdue;
}

std::vector<WaitingRequest> AdmissionQueue::takeAll() {
  std::vector<WaitingRequest> All;
  for (const auto &Entry : std::exchange(this->Waiting, {}))
    All.push_back(Entry.second);
  return All;
}

std::size_t AdmissionQueue::waitingBefore(const QueueRank &Rank) const {
  return static_cast<std::size_t>(
      std::distance(this->Waiting.begin(), this->Waiting.upper_bound(Rank)));
}

Duration AdmissionQueue::expectedWait(const QueueRank &Rank) const {
  auto Ahead = static_cast<std::int64_t>(this->waitingBefore(Rank));
  if (this->Running < this->Slots && Ahead == 0)
    return Duration(0);
  Duration Service =
      this->ServiceTime.count() > 0 ? this->ServiceTime : DefaultServiceTime;
  return Service * (Ahead + 1) / this->Slots;
}

} // namespace orioledoor::routing
