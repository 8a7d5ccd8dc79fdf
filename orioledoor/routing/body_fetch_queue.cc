// Transfer window and queue for request bodies on one link.
#include "orioledoor/routing/body_fetch_queue.h"

#include <algorithm>
#include <iterator>

namespace orioledoor::routing {
namespace {

// Size of the transfer window as transfer time at full link speed. Other
// messages wait behind the bodies for about this long. On the slowest links (10
// Mbit/s) the window holds two bodies of 60 KB; with only one, the link could
// be idle for a round trip.
constexpr double WindowSeconds = 0.08;

Duration toDuration(double Seconds) {
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

} // namespace

void BodyFetchQueue::push(std::uint64_t Id, std::uint64_t Bytes,
                          Instant StartBy) {
  this->Queue.push_back({Id, Bytes, StartBy});
  this->BytesQueued += Bytes;
}

std::optional<std::uint64_t> BodyFetchQueue::popNext(Instant Now) {
  // Overdue bodies are left for takeOverdue().
  auto Next = std::ranges::find_if(
      this->Queue, [Now](const Body &Queued) { return Now <= Queued.StartBy; });
  if (Next == this->Queue.end())
    return std::nullopt;
  bool Fits = this->BytesPerSecond <= 0 || this->BytesInFlight == 0 ||
              static_cast<double>(this->BytesInFlight + Next->Bytes) <=
                  this->BytesPerSecond * WindowSeconds;
  if (!Fits)
    return std::nullopt;
  Body Taken = *Next;
  this->Queue.erase(Next);
  this->BytesQueued -= Taken.Bytes;
  this->Requested[Taken.Id] = Taken.Bytes;
  this->BytesInFlight += Taken.Bytes;
  return Taken.Id;
}

void BodyFetchQueue::end(std::uint64_t Id) {
  if (auto Found = this->Requested.find(Id); Found != this->Requested.end()) {
    this->BytesInFlight -= Found->second;
    this->Requested.erase(Found);
    return;
  }
  auto Found = std::ranges::find(this->Queue, Id, &Body::Id);
  if (Found == this->Queue.end())
    return;
  this->BytesQueued -= Found->Bytes;
  this->Queue.erase(Found);
}

std::vector<std::uint64_t> BodyFetchQueue::takeOverdue(Instant Now) {
  std::vector<std::uint64_t> Overdue;
  std::erase_if(this->Queue, [&](const Body &Queued) {
    if (Now <= Queued.StartBy)
      return false;
    Overdue.push_back(Queued.Id);
    this->BytesQueued -= Queued.Bytes;
    return true;
  });
  return Overdue;
}

Duration BodyFetchQueue::transferTime(std::uint64_t Bytes) const {
  if (this->BytesPerSecond <= 0)
    return Duration(0);
  return toDuration(static_cast<double>(Bytes) / this->BytesPerSecond);
}

Duration BodyFetchQueue::expectedWait() const {
  return this->transferTime(this->queuedBytes());
}

} // namespace orioledoor::routing
