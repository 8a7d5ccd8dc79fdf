// Bounded priority queue of requests that wait for a slot of the target.
#ifndef ORIOLEDOOR_REQUESTS_ADMISSION_QUEUE_H
#define ORIOLEDOOR_REQUESTS_ADMISSION_QUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "orioledoor/base/instant.h"
#include "orioledoor/catalogue/catalogue.h"

namespace orioledoor::requests {

// Not thread-safe. Ids increase in order of arrival. All operations are
// logarithmic at most.
class AdmissionQueue {
public:
  // Sets the number of calls that may run at once, which also determines the
  // capacity of the queue.
  void setSlots(std::uint32_t Count);

  // True if a call may start.
  bool slotFree() const { return this->Running < this->Slots; }
  void callStarted() { ++this->Running; }
  // Updates the average call time with the duration of a call that ended.
  void callEnded(Duration CallTime);

  // Expected queueing delay of a new request of Class behind the requests of
  // the same and of higher classes.
  Duration expectedWait(ServiceClass Class) const;

  // Result of push. Shed is the request that was evicted to make room, if any.
  struct PushResult {
    bool Queued = false;
    std::optional<std::uint64_t> Shed;
  };

  // Queues Id. If the queue is full, evicts the newest request of the lowest
  // class below Class; if there is none, Id is not queued.
  PushResult push(std::uint64_t Id, ServiceClass Class);

  // Removes and returns the oldest request of the highest class.
  std::optional<std::uint64_t> pop();

  void remove(std::uint64_t Id, ServiceClass Class);

private:
  // Queue capacity per slot: at 20 slots and calls of 10 ms the last request in
  // the queue waits 80 ms.
  static constexpr std::size_t WaitingPerSlot = 8;

  std::size_t waiting() const;

  // Indexed by ServiceClass.
  std::array<std::set<std::uint64_t>, 3> Waiting;
  std::uint32_t Slots = 0;
  std::uint32_t Running = 0;
  // Exponential moving average of the duration of a call.
  Duration AverageCallTime = std::chrono::milliseconds(5);
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_ADMISSION_QUEUE_H
