// What a target says of itself in a heartbeat, decoded.
#ifndef ORIOLEDOOR_ROUTING_TARGET_REPORT_H
#define ORIOLEDOOR_ROUTING_TARGET_REPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::routing {

// Keys From to To, both included.
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

// Keys that a target holds or still works on.
struct HeldRange {
  KeyRange Keys{};
  std::int64_t Fence = 0;
};

// Keys that a target gave up, with what the next holder needs to start warm.
struct ReleasedRange {
  KeyRange Keys{};
  std::string Handover{};
};

// Keys that a target is to hold.
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
  // Requests that it runs at once.
  std::uint32_t Slots = 1;
  bool Draining = false;
  // Grows with each report of one life; a late report has a lower one.
  std::int64_t Sequence = 0;
  // Unix milliseconds of its start; 0 if the target does not say.
  std::int64_t Born = 0;
  // How much longer it stays slow after its start.
  Duration ColdRemaining{0};
  std::vector<HeldRange> Holds{};
  std::vector<ReleasedRange> Released{};
};

// The answer to a report.
struct ReportAnswer {
  // Empty Grants with a HoldTime of 0 renew nothing.
  std::vector<GrantedRange> Grants{};
  Duration HoldTime{0};
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_REPORT_H
