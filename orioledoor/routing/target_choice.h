// Sampling of targets by ring: an index of the ready targets by service and
// distance, and the generator that samples them.
//
//   Candidates.add("archive", Distance::SameRegion, &*Views.find(Node));
//   Candidates.sample("archive", Distance::SameRegion, 4, IsEligible, Visit);
//
// Entry nodes that all choose the minimum of views of the same age send to the
// same target until the next views arrive. Each compares a few random targets
// instead (power of d choices), which also makes the time of a choice
// independent of the size of the fleet.
#ifndef ORIOLEDOOR_ROUTING_TARGET_CHOICE_H
#define ORIOLEDOOR_ROUTING_TARGET_CHOICE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orioledoor::routing {

struct TargetView;

// How far two VMs are apart. The targets at one distance form a ring.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };
inline constexpr std::size_t DistanceCount = 3;

// Number of targets that are compared in each ring. Two suffice to avoid the
// longest queues; four also avoid the fifth of the targets that is slow at any
// time.
inline constexpr std::size_t TargetsPerRing = 4;

// A node and what is known about its target; an element of a std::map.
using TargetEntry = std::pair<const std::string, TargetView>;

// Not thread-safe.
class CandidateIndex {
public:
  explicit CandidateIndex(std::uint64_t Seed) : Random(Seed) {}

  // The entry must outlive its place in the index. Constant time.
  void add(const std::string &Service, Distance Ring, const TargetEntry *Added);
  // Linear in the targets of the ring.
  void remove(std::string_view Service, Distance Ring,
              const TargetEntry *Removed);

  // Calls Visit for up to Count different targets of the ring for which
  // IsEligible holds, in random order. A ring with fewer of them is visited
  // completely. Takes constant time if a fixed share of the ring is eligible.
  template <typename Predicate, typename Visitor>
  void sample(std::string_view Service, Distance Ring, std::size_t Count,
              Predicate IsEligible, Visitor Visit) {
    std::vector<const TargetEntry *> *Entries = this->ringOf(Service, Ring);
    if (!Entries)
      return;
    for (std::size_t I = 0; I < Entries->size() && Count > 0; ++I) {
      // A step of the Fisher-Yates shuffle; the order of a ring has no meaning.
      std::swap((*Entries)[I],
                (*Entries)[I + this->below(Entries->size() - I)]);
      if (!IsEligible(*(*Entries)[I]))
        continue;
      --Count;
      Visit(*(*Entries)[I]);
    }
  }

  // Number of ready targets of the ring, eligible or not.
  std::size_t size(std::string_view Service, Distance Ring) const;
  // A random number below Bound, which must not be 0.
  std::size_t below(std::size_t Bound) { return this->Random() % Bound; }

private:
  using Rings = std::array<std::vector<const TargetEntry *>, DistanceCount>;

  std::vector<const TargetEntry *> *ringOf(std::string_view Service,
                                           Distance Ring);

  std::map<std::string, Rings, std::less<>> Services;
  std::mt19937_64 Random;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_CHOICE_H
