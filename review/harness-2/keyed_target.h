// A backend that holds keys: it takes them from the answers to its heartbeats,
// gives up what an answer leaves out, and runs requests on keys that it holds.
#ifndef ORIOLEDOOR_REVIEW_HARNESS_2_KEYED_TARGET_H
#define ORIOLEDOOR_REVIEW_HARNESS_2_KEYED_TARGET_H

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "lab.h"

namespace lab {

constexpr int KeyCount = 65536;

class KeyedTarget {
public:
  enum class KeyState : std::uint8_t {
    None,
    // New requests are accepted.
    Held,
    // Left out of the last answer, and a request on the key is still running.
    WorkingOff,
  };

  KeyedTarget(std::string Instance, std::string Service, std::string Zone,
              int ControlPort);
  int port() const { return this->Http.port(); }
  const std::string &instance() const { return this->Instance; }
  void start();
  void setDraining();
  KeyState stateOf(int Key);
  // Lowest key that it holds; -1 if there is none.
  int someKey();
  // Highest key that it holds; -1 if there is none.
  int lastKey();
  Json makeBeat();
  // Sends a heartbeat at once; returns the status, 0 if there is no answer.
  // Whatever the answer grants is ignored: it comes too late.
  int deliverLate(const Json &Beat);
  // The next regular heartbeat is not delivered; takeStraggler() returns it.
  void holdBackNextBeat() { this->HoldBackNext = true; }
  Json takeStraggler();
  // Time by which regular heartbeats arrive late.
  std::atomic<std::int64_t> DelayMs = 0;
  // Time of the last heartbeat that was answered in time.
  std::atomic<std::int64_t> AckedAt = 0;

private:
  struct Freed {
    int From;
    int To;
    std::string Handover;
  };

  void beatLoop();
  void take(const Json &Answer, std::int64_t SentAt);
  void giveUp(int From, int To);
  void expire();
  Response serve(const Message &Request);

  std::string Instance;
  std::string Service;
  std::string Zone;
  int ControlPort;
  std::mutex Mutex;
  bool Up = false;
  bool Draining = false;
  std::int64_t Born = 0;
  std::int64_t Sequence = 0;
  std::int64_t HoldsUntil = 0;
  int NextHandover = 0;
  std::atomic<bool> HoldBackNext = false;
  Json Straggler;
  std::array<KeyState, KeyCount> States{};
  std::array<std::int64_t, KeyCount> Fences{};
  std::array<std::int64_t, KeyCount> HighestFences{};
  std::map<int, int> Running;
  std::vector<Freed> FreedRows;
  HttpServer Http;
};

} // namespace lab

#endif // ORIOLEDOOR_REVIEW_HARNESS_2_KEYED_TARGET_H
