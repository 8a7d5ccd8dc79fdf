// Accounts for the answers that one node sends to other nodes over the link of
// its VM, and paces large answers, so that other messages do not wait behind
// them in the transport.
//
//   AnswerLink Link(BytesPerSecond);
//   if (Link.expectedWait(Bytes, Priority, ReadyIn, Now) > Allowed) ... //
//   refuse Link.reserve(7, Priority, Bytes);             // the request was
//   admitted if (!Link.push(7, Rank, ActualBytes, Now)) ... // send the answer
//   at once while (auto Next = Link.popNext(Now)) ...      // send this answer
//   Link.release(7);                               // cancelled, or no answer
#ifndef ORIOLEDOOR_ROUTING_ANSWER_LINK_H
#define ORIOLEDOOR_ROUTING_ANSWER_LINK_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "orioledoor/base/instant.h"
#include "orioledoor/routing/admission_queue.h"

namespace orioledoor::routing {

// Answers of this size or more are paced. A smaller one takes 6.6 ms of a link
// of 10 Mbit/s, which is less than a round trip between regions.
inline constexpr std::uint64_t LargeAnswerBytes = 8 << 10;

enum class AnswerPacing {
  // Answers take at most their share of the link.
  Shared,
  // Answers may take the whole link.
  WholeLink,
  // Answers are not held back.
  None,
};

// The bytes that were handed to the transport are modelled as leaving at the
// rate of the link; the transport is not observed. Not thread-safe. push(),
// popNext() and release() are logarithmic in the number of answers, the views
// linear in the number of priorities in use.
class AnswerLink {
public:
  // BytesPerSecond is the capacity of the link; 0 means that it is unknown and
  // that answers are not paced.
  explicit AnswerLink(double BytesPerSecond) : BytesPerSecond(BytesPerSecond) {}

  void setPacing(AnswerPacing Chosen, Instant Now);

  // Commits the link to an answer that is expected to have this size.
  void reserve(std::uint64_t Id, std::uint8_t Priority, std::uint64_t Bytes);
  // Ends the commitment, also that of an answer that waits.
  void release(std::uint64_t Id);
  // The answer is complete. Returns whether it has to wait for popNext(); if
  // not, it counts as sent.
  bool push(std::uint64_t Id, const QueueRank &Rank, std::uint64_t Bytes,
            Instant Now);
  // Removes and returns the next answer if it may be sent now. Answers leave in
  // order of rank, equal ranks in order of their ids.
  std::optional<std::uint64_t> popNext(Instant Now);

  // Estimated time that the answer of a new request waits for the link.
  // ReadyIn: estimated time until the answer is complete.
  Duration expectedWait(std::uint64_t Bytes, std::uint8_t Priority,
                        Duration ReadyIn, Instant Now) const;
  // Time that an answer of this size takes at the rate of popNext().
  Duration transferTime(std::uint64_t Bytes) const;
  // Bytes that are expected, wait, or were handed to the transport and have not
  // left by the model.
  std::uint64_t committedBytes(Instant Now) const;
  // Bytes that are expected or wait.
  std::uint64_t promisedBytes() const;
  std::size_t waiting() const { return this->Waiting.size(); }
  std::uint64_t waitingBytes() const { return this->BytesWaiting; }

private:
  struct Commitment {
    std::uint8_t Priority = 0;
    std::uint64_t Bytes = 0;
    // Set while the answer waits.
    std::optional<QueueRank> WaitsWith;
  };

  // Bytes per second that answers may take.
  double answerRate() const;
  // Bytes in the transport at Now. Below 0 while answers wait: the capacity
  // that passed unused since the last call, for at most one tick.
  double inTransport(Instant Now) const;
  void commit(std::uint64_t Id, const Commitment &Added);

  double BytesPerSecond;
  AnswerPacing Pacing = AnswerPacing::Shared;
  std::unordered_map<std::uint64_t, Commitment> Commitments;
  // Invariant: the sums of the bytes in Commitments; no sum is 0.
  std::map<std::uint8_t, std::uint64_t> BytesByPriority;
  // Invariant: the commitments with WaitsWith.
  std::set<std::pair<QueueRank, std::uint64_t>> Waiting;
  // Invariant: the sum of the bytes of the answers in Waiting.
  std::uint64_t BytesWaiting = 0;
  // Bytes in the transport at CountedAt.
  double BytesInTransport = 0;
  Instant CountedAt;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_ANSWER_LINK_H
