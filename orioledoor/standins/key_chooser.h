// Chooses the keys of a load: with a uniform or Zipf distribution, and with a
// set of hot keys that moves to other keys periodically.
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
  // Share of the requests, from 0 to 1, that goes evenly to HotKeys keys.
  double HotShare = 0;
  std::uint32_t HotKeys = 10;
  // Period after which the hot set moves to other keys; 0 means never.
  Duration HotShiftPeriod{0};
};

// Not thread-safe. choose() costs O(log Keys).
class KeyChooser {
public:
  KeyChooser(const KeyOptions &Options, std::uint64_t Seed);

  // Returns the key of a request at the given time since the start of the load.
  std::string choose(Duration Elapsed);

private:
  KeyOptions Options;
  std::mt19937_64 Random;
  // Cumulative weights of the keys; empty if the distribution is uniform.
  std::vector<double> CumulativeWeights;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_KEY_CHOOSER_H
