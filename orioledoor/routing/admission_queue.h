// The slots of one target and the requests that wait for them.
//
//   AdmissionQueue Queue(18);
//   if (Queue.tryStart()) ... // a slot was free
//   else Queue.push({.Id = 7, .Priority = 1, .StartBy = Limit});
//   Queue.release(HeldFor);
//   while (auto Next = Queue.popStartable(Now)) ...
#ifndef ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H
#define ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

struct WaitingRequest {
  std::uint64_t Id = 0;
  // 0 is the most urgent.
  std::uint8_t Priority = 0;
  // Not worth starting after this.
  Instant StartBy;
};

// Urgent requests start first, equal ones in the order of their arrival. Not
// thread-safe; logarithmic in the waiting requests but for remove() and
// takeOverdue(), which are linear.
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

  // How long a new request of this priority would wait for a slot.
  Duration expectedWait(std::uint8_t Priority) const;
  // Mean holding time of a slot, recently.
  Duration serviceTime() const { return this->ServiceTime; }
  // Forgets running requests and measurements, for a new life of the target.
  void reset(std::uint32_t Slots);

private:
  std::uint32_t Slots;
  std::uint32_t Running = 0;
  Duration ServiceTime{0};
  std::uint64_t NextOrder = 0;
  // By priority, then by order of arrival.
  std::map<std::pair<std::uint8_t, std::uint64_t>, WaitingRequest> Waiting;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ADMISSION_QUEUE_H
