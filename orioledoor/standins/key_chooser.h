// Chooses the keys of a load: uniform or skewed over a number of keys, and a
// hot set that moves to other keys at intervals.
//
//   KeyChooser Keys({.Keys = 100000, .Skew = 0.9}, Seed);
//   std::string Key = Keys.choose(Elapsed);
#ifndef ORIOLEDOOR_STANDINS_KEY_CHOOSER_H
#define ORIOLEDOOR_STANDINS_KEY_CHOOSER_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::standins {

struct KeyOptions {
  std::uint32_t Keys = 10'000;
  // Exponent of a Zipf distribution; 0 is uniform.
  double Skew = 0;
  // This share of the requests goes to HotKeys keys, evenly.
  double HotShare = 0;
  std::uint32_t HotKeys = 10;
  // After this time other keys are hot; 0 means never.
  Duration HotShift{0};
};

// Not thread-safe. A choice costs O(log Keys).
class KeyChooser {
public:
  KeyChooser(const KeyOptions &Options, std::uint64_t Seed);

  // The key of a request at the given time since the start.
  std::string choose(Duration Elapsed);

private:
  KeyOptions Options;
  std::mt19937_64 Random;
  // Sums of the keys' weights; empty if uniform.
  std::vector<double> Sums;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_KEY_CHOOSER_H
