// Sliding bitmap over message ids.
#include "orioledoor/requests/replay_window.h"

#include <algorithm>

namespace orioledoor::requests {

bool ReplayWindow::accept(std::uint64_t Id) {
  if (Id > this->Highest) {
    std::uint64_t Skipped = std::min(Id - this->Highest, Size);
    for (std::uint64_t Offset = 0; Offset < Skipped; ++Offset) {
      std::uint64_t BitIndex = (Id - Offset) % Size;
      this->Bits[BitIndex / 64] &= ~(std::uint64_t{1} << (BitIndex % 64));
    }
    this->Highest = Id;
  } else if (this->Highest - Id >= Size) {
    return false;
  }
  std::uint64_t BitIndex = Id % Size;
  std::uint64_t Mask = std::uint64_t{1} << (BitIndex % 64);
  if ((this->Bits[BitIndex / 64] & Mask) != 0)
    return false;
  this->Bits[BitIndex / 64] |= Mask;
  return true;
}

} // namespace orioledoor::requests
