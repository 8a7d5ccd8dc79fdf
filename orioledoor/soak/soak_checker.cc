// Tracks runs by request, and fencing tokens and holders by key.
#include "orioledoor/soak/soak_checker.h"

namespace orioledoor::soak {
namespace {

// The platform's limit on the time that a key may have two holders.
constexpr Duration MaxSharedTime = std::chrono::milliseconds(500);

} // namespace

void SoakChecker::addViolation(const std::string &Rule,
                               const std::string &Detail, Instant Now) {
  this->Violations.push_back({Now, Rule, Detail});
}

void SoakChecker::recordAcquisition(const std::string &Target,
                                    std::uint32_t Key, std::int64_t Fence,
                                    Instant Now) {
  std::int64_t &Highest = this->HighestFences[Key];
  if (Fence <= Highest)
    this->addViolation("OWNER",
                       Target + " acquired key " + std::to_string(Key) +
                           " with token " + std::to_string(Fence) +
                           ", not above " + std::to_string(Highest),
                       Now);
  else
    Highest = Fence;
}

void SoakChecker::checkHolders(std::uint32_t Key,
                               std::span<const std::string> Targets,
                               Instant Now) {
  if (Targets.size() < 2) {
    this->SharedSince.erase(Key);
    return;
  }
  Instant &Since = this->SharedSince.try_emplace(Key, Now).first->second;
  if (Now - Since <= MaxSharedTime)
    return;
  this->addViolation("OWNER",
                     "key " + std::to_string(Key) + " is held by " +
                         Targets[0] + " and " + Targets[1],
                     Now);
  Since = Now;
}

void SoakChecker::recordStart(const std::string &Target,
                              const std::string &Attempt, bool MayRepeat,
                              Instant Now) {
  if (++this->RunCounts[Attempt] > 1 && !MayRepeat)
    this->addViolation("TWICE", Attempt + " runs again at " + Target, Now);
  if (this->Rejected.contains(Attempt))
    this->addViolation(
        "REFUSED", Attempt + " runs at " + Target + " after a rejection", Now);
}

void SoakChecker::recordRejection(const std::string &Attempt, Instant Now) {
  this->Rejected.insert(Attempt);
  if (auto Found = this->RunCounts.find(Attempt);
      Found != this->RunCounts.end())
    this->addViolation("REFUSED",
                       Attempt + " was rejected after it began to run", Now);
}

void SoakChecker::checkRoute(const std::string &Node, const std::string &Path,
                             bool Exists, int Status, Instant Now) {
  if (Exists && Status == 404)
    this->addViolation("CONFIG", Node + " does not know the route " + Path,
                       Now);
  if (!Exists && Status == 200)
    this->addViolation("CONFIG", Node + " still serves the route " + Path, Now);
}

} // namespace orioledoor::soak
