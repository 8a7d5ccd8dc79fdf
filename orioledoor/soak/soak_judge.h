// Checks the promises of the request path from what targets and callers see.
//
//   SoakJudge Judge;
//   Judge.began(Target, "a-17", MayRepeat, Now);
//   Judge.refused("a-17", Now);           // 503 from a node
//   for (const Violation &Each : Judge.violations()) ...
#ifndef ORIOLEDOOR_SOAK_SOAK_JUDGE_H
#define ORIOLEDOOR_SOAK_SOAK_JUDGE_H

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::soak {

struct Violation {
  Instant At{};
  std::string Rule{};
  std::string Detail{};
};

// Not thread-safe.
class SoakJudge {
public:
  // A target took a key with a token that it did not have for it before.
  void took(const std::string &Target, std::uint32_t Key, std::int64_t Fence,
            Instant Now);
  // All targets that are up and hold the key now. Call every 20 to 100 ms.
  void holders(std::uint32_t Key, std::span<const std::string> Targets,
               Instant Now);
  // A target began to run a request.
  void began(const std::string &Target, const std::string &Attempt,
             bool MayRepeat, Instant Now);
  // A caller was told that its request has not run and never will.
  void refused(const std::string &Attempt, Instant Now);
  // A node that is to know whether the route Path exists answered a request for
  // it. 503 says nothing of it.
  void routed(const std::string &Node, const std::string &Path, bool Exists,
              int Status, Instant Now);
  // Anything else that must not happen.
  void note(const std::string &Rule, const std::string &Detail, Instant Now);

  const std::vector<Violation> &violations() const { return this->Found; }

private:
  // The highest token of each key.
  std::map<std::uint32_t, std::int64_t> Fences;
  // Since when a key has more than one holder.
  std::map<std::uint32_t, Instant> SharedSince;
  std::unordered_map<std::string, std::uint32_t> Runs;
  std::set<std::string> Refused;
  std::vector<Violation> Found;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_JUDGE_H
