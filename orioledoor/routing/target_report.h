// Heartbeat report of a target, decoded.
#ifndef ORIOLEDOOR_ROUTING_TARGET_REPORT_H
#define ORIOLEDOOR_ROUTING_TARGET_REPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// A range of keys; From and To are both included.
struct KeyRange {
  std::uint32_t From = 0;
  std::uint32_t To = 0;

  bool overlaps(const KeyRange &Other) const {
    return this->From <= Other.To && Other.From <= this->To;
  }
  bool contains(std::uint32_t Key) const {
    return this->From <= Key && Key <= this->To;
  }
  friend bool operator==(const KeyRange &, const KeyRange &) = default;
};

// Keys that a target holds, or for which it still processes requests.
struct HeldRange {
  KeyRange Keys{};
  std::int64_t Fence = 0;
};

// Keys that a target released, with the state that the next holder needs for a
// warm start.
struct ReleasedRange {
  KeyRange Keys{};
  std::string Handover{};
};

// Keys that are granted to a target.
struct GrantedRange {
  KeyRange Keys{};
  std::int64_t Fence = 0;
  std::string Handover{};

  friend bool operator==(const GrantedRange &, const GrantedRange &) = default;
};

struct TargetReport {
  std::string Instance{};
  std::string Address{};
  std::string Service{};
  std::string FailureDomain{};
  std::string SoftwareVersion{};
  // Number of requests that the target runs concurrently.
  std::uint32_t Slots = 1;
  bool Draining = false;
  // Increases with each report of one incarnation; lower numbers are stale.
  std::int64_t Sequence = 0;
  // Start time in Unix milliseconds; 0 if the target does not state it.
  std::int64_t StartTimeMs = 0;
  // Remaining time for which the target is slow after its start.
  Duration ColdRemaining{0};
  std::vector<HeldRange> Holds{};
  std::vector<ReleasedRange> Released{};
};

// Answer to a report.
struct ReportAnswer {
  // Empty Grants together with a HoldTime of 0 do not renew any grants.
  std::vector<GrantedRange> Grants{};
  Duration HoldTime{0};
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_REPORT_H
