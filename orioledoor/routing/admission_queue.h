// Concurrency limit of one target and the priority queue of the requests that
// wait for a slot.
//
//   AdmissionQueue Queue(18);
//   if (Queue.tryStart()) ... // a slot was free
//   else Queue.push({.Id = 7, .Rank = {1, DueAt}, .StartBy = Limit});
//   Queue.release(HoldTime);
//   while (auto Next = Queue.popStartable(Now)) ...
#ifndef ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H
#define ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Position of a request in the queue: ordered by priority, then calls that
// targets make on behalf of requests that hold slots elsewhere, then by the
// time the answer is due. Such calls that were not recognized are usually due
// long before new requests, so they start first as well.
struct QueueRank {
  // 0 is the most urgent.
  std::uint8_t Priority = 0;
  Instant DueAt{};
  bool OfRunningWork = false;

  friend bool operator==(const QueueRank &, const QueueRank &) = default;
  friend auto operator<=>(const QueueRank &Left, const QueueRank &Right) {
    return std::tuple(Left.Priority, !Left.OfRunningWork, Left.DueAt) <=>
           std::tuple(Right.Priority, !Right.OfRunningWork, Right.DueAt);
  }
};

struct WaitingRequest {
  std::uint64_t Id = 0;
  QueueRank Rank{};
  // A request that has not started by this time is overdue and is not started.
  Instant StartBy{};
};

// Starts requests in order of rank, and requests of equal rank in order of
// arrival. Not thread-safe. Logarithmic in the number of waiting requests,
// except remove(), takeOverdue(), waitingBefore() and expectedWait(), which are
// linear.
class AdmissionQueue {
public:
  explicit AdmissionQueue(std::uint32_t Slots = 1) : Slots(Slots) {}

  void setSlots(std::uint32_t Count) { this->Slots = Count > 0 ? Count : 1; }
  std::uint32_t slots() const { return this->Slots; }
  std::uint32_t running() const { return this->Running; }
  std::size_t waiting() const { return this->Waiting.size(); }

  // Takes a slot if one is free and no request waits.
  bool tryStart();
  void push(const WaitingRequest &Added);
  // Frees a slot and adds its hold time to the mean.
  void release(Duration HoldTime);
  // Frees a slot without a sample, for calls whose hold time is not
  // representative.
  void release();
  // Removes the next request from the queue and takes a slot for it. Returns an
  // empty value if no slot is free or no request waits. Overdue requests are
  // skipped and left for takeOverdue().
  std::optional<WaitingRequest> popStartable(Instant Now);
  // Returns whether the request was waiting.
  bool remove(std::uint64_t Id);
  // Removes and returns all requests whose StartBy has passed.
  std::vector<WaitingRequest> takeOverdue(Instant Now);
  // Removes and returns all requests.
  std::vector<WaitingRequest> takeAll();

  // Number of waiting requests that start before a new request of this rank.
  std::size_t waitingBefore(const QueueRank &Rank) const;
  // Estimated time that a new request of this rank waits for a slot.
  Duration expectedWait(const QueueRank &Rank) const;
  // Moving average of the time that a request holds a slot.
  Duration serviceTime() const { return this->ServiceTime; }

private:
  std::uint32_t Slots;
  std::uint32_t Running = 0;
  Duration ServiceTime{0};
  // Requests of equal rank stay in order of arrival.
  std::multimap<QueueRank, WaitingRequest> Waiting;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H
