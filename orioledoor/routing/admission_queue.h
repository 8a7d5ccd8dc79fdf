// The slots of one target and the requests that wait for them.
//
//   AdmissionQueue Queue(18);
//   if (Queue.tryStart()) ... // a slot was free
//   else Queue.push({.Id = 7, .Rank = {1, DueAt}, .StartBy = Limit});
//   Queue.release(HeldFor);
//   while (auto Next = Queue.popStartable(Now)) ...
#ifndef ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H
#define ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// The place of a request among those that wait: by priority, then by when its
// answer is due. Calls that targets make for requests that hold slots elsewhere
// are due long before new requests, so they go first.
struct QueueRank {
  // 0 is the most urgent.
  std::uint8_t Priority = 0;
  Instant DueAt{};

  friend auto operator<=>(const QueueRank &, const QueueRank &) = default;
};

struct WaitingRequest {
  std::uint64_t Id = 0;
  QueueRank Rank{};
  // Not worth starting after this.
  Instant StartBy{};
};

// Requests start by rank, equal ones in the order of their arrival. Not
// thread-safe; logarithmic in the waiting requests but for remove(),
// takeOverdue() and expectedWait(), which are linear.
class AdmissionQueue {
public:
  explicit AdmissionQueue(std::uint32_t Slots = 1) : Slots(Slots) {}

  void setSlots(std::uint32_t Count) { this->Slots = Count > 0 ? Count : 1; }
  std::uint32_t slots() const { return this->Slots; }
  std::uint32_t running() const { return this->Running; }
  std::size_t waiting() const { return this->Waiting.size(); }

  // Takes a slot if one is free and nobody waits.
  bool tryStart();
  void push(const WaitingRequest &Added);
  // A slot became free after it was held for the given time.
  void release(Duration HeldFor);
  // A slot became free and its holding time says nothing.
  void release();
  // Takes the next request out and a slot for it; empty if no slot is free or
  // nobody waits. Overdue requests stay for takeOverdue().
  std::optional<WaitingRequest> popStartable(Instant Now);
  // Returns whether the request was waiting.
  bool remove(std::uint64_t Id);
  // Takes out all requests whose StartBy has passed.
  std::vector<WaitingRequest> takeOverdue(Instant Now);
  // Takes out all requests.
  std::vector<WaitingRequest> takeAll();

  // How long a new request of this rank would wait for a slot.
  Duration expectedWait(const QueueRank &Rank) const;
  // Mean holding time of a slot, recently.
  Duration serviceTime() const { return this->ServiceTime; }

private:
  std::uint32_t Slots;
  std::uint32_t Running = 0;
  Duration ServiceTime{0};
  // Equal ranks stay in the order of their arrival.
  std::multimap<QueueRank, WaitingRequest> Waiting;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H
