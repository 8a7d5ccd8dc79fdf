// Runs, tokens and holders by request and key.
#include "orioledoor/soak/soak_judge.h"

namespace orioledoor::soak {
namespace {

// The platform's bound for two holders of a key.
constexpr Duration MaxShared = std::chrono::milliseconds(500);

} // namespace

void SoakJudge::note(const std::string &Rule, const std::string &Detail,
                     Instant Now) {
  this->Found.push_back({Now, Rule, Detail});
}

void SoakJudge::took(const std::string &Target, std::uint32_t Key,
                     std::int64_t Fence, Instant Now) {
  std::int64_t &Highest = this->Fences[Key];
  if (Fence <= Highest)
    this->note("OWNER",
               Target + " took key " + std::to_string(Key) + " with token " +
                   std::to_string(Fence) + ", not above " +
                   std::to_string(Highest),
               Now);
  else
    Highest = Fence;
}

void SoakJudge::holders(std::uint32_t Key, std::span<const std::string> Targets,
                        Instant Now) {
  if (Targets.size() < 2) {
    this->SharedSince.erase(Key);
    return;
  }
  Instant &Since = this->SharedSince.try_emplace(Key, Now).first->second;
  if (Now - Since <= MaxShared)
    return;
  this->note("OWNER",
             "key " + std::to_string(Key) + " is held by " + Targets[0] +
                 " and " + Targets[1],
             Now);
  Since = Now;
}

void SoakJudge::began(const std::string &Target, const std::string &Attempt,
                      bool MayRepeat, Instant Now) {
  if (++this->Runs[Attempt] > 1 && !MayRepeat)
    this->note("TWICE", Attempt + " runs again at " + Target, Now);
  if (this->Refused.contains(Attempt))
    this->note("REFUSED", Attempt + " runs at " + Target + " after a refusal",
               Now);
}

void SoakJudge::refused(const std::string &Attempt, Instant Now) {
  this->Refused.insert(Attempt);
  if (auto Found = this->Runs.find(Attempt); Found != this->Runs.end())
    this->note("REFUSED", Attempt + " was refused after it began", Now);
}

void SoakJudge::routed(const std::string &Node, const std::string &Path,
                       bool Exists, int Status, Instant Now) {
  if (Exists && Status == 404)
    this->note("CONFIG", Node + " does not know the route " + Path, Now);
  if (!Exists && Status == 200)
    this->note("CONFIG", Node + " still serves the route " + Path, Now);
}

} // namespace orioledoor::soak
