// The entry with which a node describes itself in the store, under its lease.
//
//   std::string Text = encodeNodeEntry(Entry);
//   absl::StatusOr<NodeEntry> Decoded = decodeNodeEntry(Text);
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
  // Bandwidth of the VM's link; 0 if it is not known.
  std::uint64_t LinkBytesPerSecond = 0;
  // Sequence number of the target status that this entry repeats.
  std::uint64_t Sequence = 0;
  // A current or earlier target of this VM that no longer holds any keys.
  routing::TargetRef Ended{};
  // Era of the store in which the entry was written; 0 if it stated none.
  std::int64_t StoreEra = 0;

  friend bool operator==(const NodeEntry &, const NodeEntry &) = default;
};

std::string encodeNodeEntry(const NodeEntry &Entry);
// Errors: kInvalidArgument if Text is not an encoded entry.
absl::StatusOr<NodeEntry> decodeNodeEntry(std::string_view Text);

} // namespace orioledoor::sidecar

#endif // ORIOLEDOOR_SIDECAR_NODE_ENTRY_H
