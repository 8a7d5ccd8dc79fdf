// The assignment: the members of the fleet, the owner of each slice, and the
// guardians and successors of each member, as stored in the coordination store.
// See docs/design.md, section 4.
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

// Number of successor lists per member. The slices of a failed member are
// spread over the successors of all its lists.
inline constexpr std::uint32_t SuccessorBuckets = 4;

// A member that grants permissions to another member.
struct Guardian {
  MemberId Member;
  // The assignment version that named this guardian.
  std::uint64_t Term = 0;

  friend bool operator==(const Guardian &, const Guardian &) = default;
};

// One incarnation of a node.
struct Member {
  MemberId Id;
  std::string Name;
  // Random value chosen by the process; distinguishes incarnations of a node.
  std::uint64_t Token = 0;
  // "tcp://IP:PORT"
  std::string PeerAddress;
  // "IP:PORT"
  std::string HttpAddress;
  std::string Region;
  std::string FailureDomain;
  ServiceId Service;
  std::uint32_t Slots = 0;
  // The assignment version that admitted this member.
  std::uint64_t AdmittedAt = 0;
  // The last version that gave guardians to this member while it had none and
  // granted permissions to itself; 0 if there is no such version.
  std::uint64_t SelfPermittedUntil = 0;
  // Invariant: each guardian is in a different failure domain than the member.
  std::vector<Guardian> Guardians;
  // One list per bucket. Invariant: empty, or SuccessorBuckets lists that
  // contain only members of the same service.
  std::vector<std::vector<MemberId>> Successors;
  // The member is leaving; its slices are being moved to other members.
  bool Leaving = false;
  // The member holds no permission and can never obtain one again.
  bool Deposed = false;
};

// The recorded owner of one slice.
struct SliceOwner {
  // 0 if the slice has no owner yet.
  MemberId Owner;
  // The owner's fencing number. Never decreases.
  Fence FencingNumber;
  // The receiver of a planned move and the next member in the succession list
  // while the move is in progress; 0 if no move is planned.
  MemberId MoveTarget;
};

// The slices of one service, indexed by slice number.
struct ServiceSlices {
  ServiceId Service;
  std::vector<SliceOwner> Slices;
};

// The members that may own a slice, in order of precedence, and the fencing
// number of the first one. The member at position p serves the slice under
// FencingNumber + p.
struct SuccessionList {
  std::vector<MemberId> Members;
  Fence FencingNumber;

  // Returns the position of Id, or nullopt if Id is not in the list.
  std::optional<std::size_t> positionOf(MemberId Id) const;
};

// One version of the complete assignment. Value type.
struct Assignment {
  // Increases by one with each write; 0 if no assignment exists yet.
  std::uint64_t Version = 0;
  std::uint32_t NextMemberId = 1;
  // The member that wrote this version. Members report their load to it.
  MemberId Coordinator;
  // Sorted by Id. A member is removed once nothing references it.
  std::vector<Member> Members;
  std::vector<ServiceSlices> Services;

  // Logarithmic in the number of members. Returns null if absent.
  const Member *find(MemberId Id) const;
  Member *find(MemberId Id);
  // Linear in the number of members. Returns null if absent.
  const Member *findByToken(std::uint64_t Token) const;
  // Linear in the number of services. Returns null if absent.
  const ServiceSlices *find(ServiceId Service) const;
  ServiceSlices *find(ServiceId Service);
  // Returns null if the slice is unknown.
  const SliceOwner *find(SliceRef Slice) const;

  // Returns whether Id was admitted and is now deposed or removed.
  bool isDeposed(MemberId Id) const;

  // Returns the succession list of Slice without duplicates; empty if the slice
  // has no recorded owner.
  SuccessionList successionOf(SliceRef Slice) const;
};

// Encodes the assignment as MessagePack, the format used in the store and
// between nodes.
std::string encodeAssignment(const Assignment &Value);

// Errors: kDataLoss if Bytes is not an encoded assignment.
absl::StatusOr<Assignment> decodeAssignment(std::string_view Bytes);

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_ASSIGNMENT_H
