// Sliding bitmap over message ids.
#include "orioledoor/requests/replay_window.h"

#include <algorithm>

namespace orioledoor::requests {

bool ReplayWindow::accept(std::uint64_t Id) {
  if (Id > this->Highest) {
    std::uint64_t Skipped = std::min(Id - this->Highest, Size);
    for (std::uint64_t Step = 0; Step < Skipped; ++Step) {
      std::uint64_t Place = (Id - Step) % Size;
      this->Bits[Place / 64] &= ~(std::uint64_t{1} << (Place % 64));
    }
    this->Highest = Id;
  } else if (this->Highest - Id >= Size) {
    return false;
  }
  std::uint64_t Place = Id % Size;
  std::uint64_t Bit = std::uint64_t{1} << (Place % 64);
  if ((this->Bits[Place / 64] & Bit) != 0)
    return false;
  this->Bits[Place / 64] |= Bit;
  return true;
}

} // namespace orioledoor::requests
