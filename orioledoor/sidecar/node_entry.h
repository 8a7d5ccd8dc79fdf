// What a node records of itself in the store, under its lease.
//
//   std::string Text = encodeNodeEntry(Entry);
//   absl::StatusOr<NodeEntry> Back = decodeNodeEntry(Text);
#ifndef ORIOLEDOOR_SIDECAR_NODE_ENTRY_H
#define ORIOLEDOOR_SIDECAR_NODE_ENTRY_H

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/routing/target_directory.h"
#include "orioledoor/routing/target_ref.h"
#include "orioledoor/routing/target_status.h"

namespace orioledoor::sidecar {

struct NodeEntry {
  std::string Node{};
  std::uint64_t Process = 0;
  routing::Location Place{};
  routing::TargetRef Target{};
  std::string Service{};
  routing::TargetState State = routing::TargetState::Absent;
  std::uint32_t Slots = 1;
  // The link of the VM; 0: not known.
  std::uint64_t LinkBytesPerSecond = 0;
  // Of the status that this entry repeats.
  std::uint64_t Sequence = 0;
  // A target of this VM that holds no keys any more.
  routing::TargetRef Ended{};

  friend bool operator==(const NodeEntry &, const NodeEntry &) = default;
};

std::string encodeNodeEntry(const NodeEntry &Entry);
// Errors: kInvalidArgument.
absl::StatusOr<NodeEntry> decodeNodeEntry(std::string_view Text);

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_NODE_ENTRY_H
