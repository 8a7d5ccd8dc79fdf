// Whether the failure domain of a target is evacuated, and which requests may
// start at the target meanwhile.
//
//   if (Evacuation.update({.Evacuated = true}, Grace, Now) ==
//       TargetEvacuation::Change::Began)
//     ...
//   if (Evacuation.mayStart(Keyed, Now)) ...
#ifndef ORIOLEDOOR_ROUTING_TARGET_EVACUATION_H
#define ORIOLEDOOR_ROUTING_TARGET_EVACUATION_H

#include <cstdint>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// What the store says about the failure domain of a target.
struct EvacuationNews {
  bool Evacuated = false;
  // An evacuation has ended, which this node may not have known.
  bool Ended = false;
  // The news may be older than the way from the store takes.
  bool MayBeOld = false;
};

// Not thread-safe; constant time.
class TargetEvacuation {
public:
  enum class Change : std::uint8_t { None, Began, Ended };

  // MayBeEvacuated: failure domains can be evacuated. Nothing may then start
  // until the first news, since a new process does not know what the one before
  // it knew.
  explicit TargetEvacuation(bool MayBeEvacuated) : Active(MayBeEvacuated) {}

  // Grace: time for which requests with keys are served from now on.
  Change update(const EvacuationNews &News, Duration Grace, Instant Now) {
    bool WasEvacuated = this->Known && this->Active;
    this->Known = true;
    this->Active = News.Evacuated;
    this->SuspectedCold |= (WasEvacuated && !News.Evacuated) || News.Ended;
    if (WasEvacuated == News.Evacuated)
      return Change::None;
    if (!News.Evacuated)
      return Change::Ended;
    this->GraceEnd = News.MayBeOld ? Now : Now + Grace;
    return Change::Began;
  }
  // A report of the target was received.
  void noteReport() {
    if (!this->Active)
      this->SuspectedCold = false;
  }

  // Returns whether the target gets no requests without a key.
  bool isActive() const { return this->Active; }
  bool mayStart(bool Keyed, Instant Now) const {
    return !this->Active || (Keyed && Now < this->GraceEnd);
  }
  bool isSuspectedCold() const { return this->SuspectedCold; }

private:
  // False until the first news.
  bool Known = false;
  bool Active;
  // Requests with keys may start until this time; Instant() if none may.
  Instant GraceEnd;
  bool SuspectedCold = false;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_EVACUATION_H
