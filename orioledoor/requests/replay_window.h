// Detects duplicates among the latest message ids of one sender.
//
// Works like the anti-replay window of IPsec (RFC 4303, section 3.4.3): a
// bitmap over the highest ids received.
#ifndef ORIOLEDOOR_REQUESTS_REPLAY_WINDOW_H
#define ORIOLEDOOR_REQUESTS_REPLAY_WINDOW_H

#include <cstdint>
#include <vector>

namespace orioledoor::requests {

// Not thread-safe. Uses 4 KB.
class ReplayWindow {
public:
  // Number of ids in the window. At 10,000 tries a second from one entry node,
  // a Forward may arrive up to three seconds late.
  static constexpr std::uint64_t Size = 32'768;

  // Returns true for the first call with Id, unless Id is Size or more below
  // the highest id accepted. Amortized constant.
  bool accept(std::uint64_t Id);

private:
  std::vector<std::uint64_t> Bits = std::vector<std::uint64_t>(Size / 64);
  std::uint64_t Highest = 0;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_REPLAY_WINDOW_H
