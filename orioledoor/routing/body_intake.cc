// Transfer window and queue for request bodies on one link.
#include "orioledoor/routing/body_intake.h"

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

void BodyIntake::push(std::uint64_t Id, std::uint64_t Bytes, Instant StartBy) {
  this->Queue.push_back({Id, Bytes, StartBy});
  this->Waiting += Bytes;
}

std::optional<std::uint64_t> BodyIntake::popNext(Instant Now) {
  // Overdue bodies are left for takeOverdue().
  auto Next = std::ranges::find_if(
      this->Queue, [Now](const Body &Each) { return Now <= Each.StartBy; });
  if (Next == this->Queue.end())
    return std::nullopt;
  bool Fits = this->Rate <= 0 || this->OnTheWay == 0 ||
              static_cast<double>(this->OnTheWay + Next->Bytes) <=
                  this->Rate * WindowSeconds;
  if (!Fits)
    return std::nullopt;
  Body Taken = *Next;
  this->Queue.erase(Next);
  this->Waiting -= Taken.Bytes;
  this->Asked[Taken.Id] = Taken.Bytes;
  this->OnTheWay += Taken.Bytes;
  return Taken.Id;
}

void BodyIntake::end(std::uint64_t Id) {
  if (auto Found = this->Asked.find(Id); Found != this->Asked.end()) {
    this->OnTheWay -= Found->second;
    this->Asked.erase(Found);
    return;
  }
  auto Found = std::ranges::find(this->Queue, Id, &Body::Id);
  if (Found == this->Queue.end())
    return;
  this->Waiting -= Found->Bytes;
  this->Queue.erase(Found);
}

std::vector<std::uint64_t> BodyIntake::takeOverdue(Instant Now) {
  std::vector<std::uint64_t> Overdue;
  std::erase_if(this->Queue, [&](const Body &Each) {
    if (Now <= Each.StartBy)
      return false;
    Overdue.push_back(Each.Id);
    this->Waiting -= Each.Bytes;
    return true;
  });
  return Overdue;
}

Duration BodyIntake::transferTime(std::uint64_t Bytes) const {
  if (this->Rate <= 0)
    return Duration(0);
  return toDuration(static_cast<double>(Bytes) / this->Rate);
}

Duration BodyIntake::expectedWait() const {
  return this->transferTime(this->queuedBytes());
}

} // namespace orioledoor::routing
