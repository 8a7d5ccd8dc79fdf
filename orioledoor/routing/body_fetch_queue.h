// Limits the request bodies that are in flight to this VM at the same time, so
// that its link keeps capacity for other messages.
//
//   BodyFetchQueue Fetches(BytesPerSecond);
//   Fetches.push(7, 60'000, StartBy);
//   while (auto Next = Fetches.popNext(Now)) ... // send FetchBody
//   Fetches.end(7);                              // arrived or cancelled
#ifndef ORIOLEDOOR_ROUTING_BODY_FETCH_QUEUE_H
#define ORIOLEDOOR_ROUTING_BODY_FETCH_QUEUE_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// First in, first out. Not thread-safe. end() and takeOverdue() are linear in
// the number of queued bodies.
class BodyFetchQueue {
public:
  // BytesPerSecond is the capacity of the link; 0 means that it is unknown and
  // that transfers are not limited.
  explicit BodyFetchQueue(double BytesPerSecond)
      : BytesPerSecond(BytesPerSecond) {}

  // The body is to be requested by StartBy; after that it is overdue.
  void push(std::uint64_t Id, std::uint64_t Bytes, Instant StartBy);
  // Returns the next body to request if the link has capacity for it. The body
  // counts as in flight until end().
  std::optional<std::uint64_t> popNext(Instant Now);
  // The body has arrived or is no longer needed.
  void end(std::uint64_t Id);
  // Removes and returns all bodies that were not requested by their StartBy.
  std::vector<std::uint64_t> takeOverdue(Instant Now);

  // Estimated time until a newly queued body is requested.
  Duration expectedWait() const;
  // Time that the link takes to transfer this many bytes.
  Duration transferTime(std::uint64_t Bytes) const;
  std::uint64_t queuedBytes() const {
    return this->BytesInFlight + this->BytesQueued;
  }

private:
  struct Body {
    std::uint64_t Id = 0;
    std::uint64_t Bytes = 0;
    Instant StartBy;
  };

  double BytesPerSecond;
  std::deque<Body> Queue;
  // Invariant: the sum of the bytes in Queue.
  std::uint64_t BytesQueued = 0;
  std::map<std::uint64_t, std::uint64_t> Requested;
  // Invariant: the sum of the bytes in Requested.
  std::uint64_t BytesInFlight = 0;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_BODY_FETCH_QUEUE_H
