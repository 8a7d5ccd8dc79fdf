// Uniform, Zipf and hot-set key distributions of the load tool.
#include "orioledoor/standins/key_chooser.h"

#include <algorithm>
#include <cmath>

namespace orioledoor::standins {

KeyChooser::KeyChooser(const KeyOptions &Options, std::uint64_t Seed)
    : Options(Options), Random(Seed) {
  if (Options.Skew <= 0)
    return;
  this->CumulativeWeights.reserve(Options.Keys);
  double Sum = 0;
  for (std::uint32_t Rank = 1; Rank <= Options.Keys; ++Rank)
    this->CumulativeWeights.push_back(Sum += std::pow(Rank, -Options.Skew));
}

std::string KeyChooser::choose(Duration Elapsed) {
  std::uint64_t Index = 0;
  if (std::uniform_real_distribution<>()(this->Random) <
      this->Options.HotShare) {
    std::int64_t ShiftCount = this->Options.HotShiftPeriod.count() > 0
                                  ? Elapsed / this->Options.HotShiftPeriod
                                  : 0;
    Index = static_cast<std::uint64_t>(ShiftCount) * this->Options.HotKeys +
            this->Random() % this->Options.HotKeys;
  } else if (this->CumulativeWeights.empty()) {
    Index = this->Random();
  } else {
    double Position = std::uniform_real_distribution<>(
        0, this->CumulativeWeights.back())(this->Random);
    Index = static_cast<std::uint64_t>(
        std::ranges::lower_bound(this->CumulativeWeights, Position) -
        this->CumulativeWeights.begin());
  }
  return "k" + std::to_string(Index % this->Options.Keys);
}

} // namespace orioledoor::standins
