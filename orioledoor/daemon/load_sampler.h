// Counts the calls a slice, for the load reports of ownership.
#ifndef ORIOLEDOOR_DAEMON_LOAD_SAMPLER_H
#define ORIOLEDOOR_DAEMON_LOAD_SAMPLER_H

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/ownership/event.h"

namespace orioledoor::daemon {

// Not thread-safe.
class LoadSampler {
public:
  explicit LoadSampler(Instant Start) : Since(Start) {}

  void count(SliceRef Slice) { ++this->Calls[Slice]; }

  // The rates since the last sample, once a second; sorted by slice, since the
  // reducer's input must not depend on the order of a hash table.
  std::optional<ownership::LoadSampled> take(Instant Now);

private:
  Instant Since;
  std::unordered_map<SliceRef, std::uint32_t> Calls;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_LOAD_SAMPLER_H
