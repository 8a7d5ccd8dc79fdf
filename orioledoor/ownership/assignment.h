// The assignment: members, owners of slices, guardians and successors, as
// recorded in the store. See docs/design.md, section 4.
//
//   absl::StatusOr<Assignment> Recorded = decodeAssignment(Bytes);
//   SuccessionList List = Recorded->successionOf(Slice);
//   MemberId First = List.Members.front();
#ifndef ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_H
#define ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/base/ids.h"

namespace orioledoor::ownership {

// Successor lists a page; a loss is spread over as many successors.
inline constexpr std::uint32_t SuccessorBuckets = 4;

// A member that grants permissions to another one.
struct Guardian {
  MemberId Member;
  // The assignment version that named it.
  std::uint64_t Term = 0;

  friend bool operator==(const Guardian &, const Guardian &) = default;
};

// One incarnation of a node.
struct Member {
  MemberId Id;
  std::string Name;
  // Chosen at random by the process; tells incarnations of a node apart.
  std::uint64_t Token = 0;
  // "tcp://IP:PORT"
  std::string PeerAddress;
  // "IP:PORT"
  std::string HttpAddress;
  std::string Region;
  std::string FailureDomain;
  ServiceId Service;
  std::uint32_t Slots = 0;
  // The assignment version that admitted it.
  std::uint64_t AdmittedAt = 0;
  // The last version that named guardians of this member while it had none and
  // permitted itself; 0 if it never did.
  std::uint64_t SelfPermittedUntil = 0;
  // Invariant: in failure domains other than the member's own.
  std::vector<Guardian> Guardians;
  // One list a bucket. Invariant: empty or SuccessorBuckets lists, all of
  // members of the same service.
  std::vector<std::vector<MemberId>> Successors;
  // Asked to leave; its slices are being moved.
  bool Leaving = false;
  // Holds no permission and never will again.
  bool Deposed = false;
};

// The recorded owner of one slice.
struct SliceOwner {
  // 0: no owner yet.
  MemberId Owner;
  // The owner's fencing number. Never falls.
  Fence Number;
  // Next in the list while a planned move runs; 0 if none.
  MemberId MoveTarget;
};

// The slices of one service, by slice number.
struct ServiceSlices {
  ServiceId Service;
  std::vector<SliceOwner> Slices;
};

// The members that may own a slice, in order, and the first one's number.
// The member at position p serves under Number + p.
struct SuccessionList {
  std::vector<MemberId> Members;
  Fence Number;

  // The position of Id, or nothing if it is not in the list.
  std::optional<std::size_t> positionOf(MemberId Id) const;
};

// One version of the whole document. Value type.
struct Assignment {
  // Grows by one with each write; 0 means "none yet".
  std::uint64_t Version = 0;
  std::uint32_t NextMemberId = 1;
  // The member that wrote this version; members report their load to it.
  MemberId Coordinator;
  // Sorted by Id. A member is removed once nothing refers to it.
  std::vector<Member> Members;
  std::vector<ServiceSlices> Services;

  // Logarithmic in the number of members. Null if absent.
  const Member *find(MemberId Id) const;
  Member *find(MemberId Id);
  // Linear in the number of members. Null if absent.
  const Member *findByToken(std::uint64_t Token) const;
  // Linear in the number of services. Null if absent.
  const ServiceSlices *find(ServiceId Service) const;
  ServiceSlices *find(ServiceId Service);
  // Null if the slice is unknown.
  const SliceOwner *find(SliceRef Slice) const;

  // An admitted member that the document lists as deposed or has removed.
  bool isDeposed(MemberId Id) const;

  // Empty if the slice has no recorded owner. Without duplicates.
  SuccessionList successionOf(SliceRef Slice) const;
};

// Binary form (MessagePack) as kept in the store and sent between nodes.
std::string encodeAssignment(const Assignment &Value);

// Errors: kDataLoss if Bytes is not an encoded assignment.
absl::StatusOr<Assignment> decodeAssignment(std::string_view Bytes);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_H
