// State and context that the entry side and the owner side of the request
// reducer share.
#ifndef ORIOLEDOOR_REQUESTS_REDUCER_CONTEXT_H
#define ORIOLEDOOR_REQUESTS_REDUCER_CONTEXT_H

#include <cstdint>
#include <deque>
#include <string>

#include "orioledoor/base/instant.h"
#include "orioledoor/requests/crash_table.h"
#include "orioledoor/requests/effect.h"
#include "orioledoor/requests/message.h"
#include "orioledoor/requests/service_index.h"

namespace orioledoor::requests {

struct ReducerOptions {
  // This node's peer address, "tcp://IP:PORT".
  std::string PeerAddress;
  // Random number from the I/O layer, new for each process.
  std::uint64_t Seed = 0;
};

// State that both sides use. Lives as long as the reducer.
struct SharedState {
  ReducerOptions Options;
  ServiceIndex Services;
  CrashTable Crashes;
  // Messages from this node to itself, processed before handle returns.
  std::deque<Message> LocalMessages;
  // Days since 1970, UTC.
  std::uint32_t Day = 0;
  // State of the pseudorandom generator random().
  std::uint64_t GeneratorState = 0;

  // SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number
  // generators, 2014).
  std::uint64_t random() {
    std::uint64_t Z = (this->GeneratorState += 0x9e3779b97f4a7c15);
    Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9;
    Z = (Z ^ (Z >> 27)) * 0x94d049bb133111eb;
    return Z ^ (Z >> 31);
  }
};

// Context of one call of handle.
template <typename Routing> struct Context {
  Instant Now;
  const Routing &Routes;
  Effects &Output;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_REDUCER_CONTEXT_H
