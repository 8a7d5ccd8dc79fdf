// Recognises the copies of a message among the latest ids of one sender.
//
// Requests like the anti-replay window of IPsec (RFC 4303, section 3.4.3): a
// bitmap over the highest ids seen.
#ifndef ORIOLEDOOR_REQUESTS_REPLAY_WINDOW_H
#define ORIOLEDOOR_REQUESTS_REPLAY_WINDOW_H

#include <cstdint>
#include <vector>

namespace orioledoor::requests {

// Not thread-safe. 4 KB.
class ReplayWindow {
public:
  // At 10,000 tries a second of one entry node a Forward may be overtaken by
  // three seconds of later ones.
  static constexpr std::uint64_t Size = 32'768;

  // True for the first call with Id, unless Id is Size or more below the
  // highest seen. Amortised constant.
  bool accept(std::uint64_t Id);

private:
  std::vector<std::uint64_t> Bits = std::vector<std::uint64_t>(Size / 64);
  std::uint64_t Highest = 0;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_REPLAY_WINDOW_H
