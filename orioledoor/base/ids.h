// Identifiers of members, services and slices, and fencing tokens, which
// several packages use. All are small value types with a total order.
//
//   SliceRef Ref{serviceIdOf("consulta"), sliceOf("font-17", 4096)};
#ifndef ORIOLEDOOR_BASE_IDS_H
#define ORIOLEDOOR_BASE_IDS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace orioledoor {

// Identifies one run of a node process that the assignment has admitted as a
// member. A node that restarts gets a new id; ids are never reused.
struct MemberId {
  // 0 means "not admitted".
  std::uint32_t Value = 0;

  explicit operator bool() const { return this->Value != 0; }
  friend auto operator<=>(const MemberId &, const MemberId &) = default;
};

// A fencing token, which increases with each change of a slice's owner. A
// target that checks it rejects requests whose token is lower than the highest
// it has seen for the slice.
struct Fence {
  std::uint32_t Value = 0;

  friend auto operator<=>(const Fence &, const Fence &) = default;
};

// Identifies a service by the hash of its name.
struct ServiceId {
  std::uint32_t Value = 0;

  friend auto operator<=>(const ServiceId &, const ServiceId &) = default;
};

// Refers to one slice (hash partition) of the key space of a service.
struct SliceRef {
  ServiceId Service;
  // Invariant: less than the service's slice count.
  std::uint32_t Slice = 0;

  friend auto operator<=>(const SliceRef &, const SliceRef &) = default;
};

// Returns the id of the service called Name. parseCatalogue() rejects two names
// with the same id.
ServiceId serviceIdOf(std::string_view Name);

// Returns the 64-bit XXH3 hash of Bytes with Seed. The result is the same on
// every node and in every release. Linear in the length of Bytes.
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

// Returns the slice of Key in a service of SliceCount slices. SliceCount must
// be a power of two.
std::uint32_t sliceOf(std::string_view Key, std::uint32_t SliceCount);

} // namespace orioledoor

template <> struct std::hash<orioledoor::MemberId> {
  std::size_t operator()(orioledoor::MemberId Id) const { return Id.Value; }
};
template <> struct std::hash<orioledoor::ServiceId> {
  std::size_t operator()(orioledoor::ServiceId Id) const { return Id.Value; }
};
template <> struct std::hash<orioledoor::SliceRef> {
  std::size_t operator()(const orioledoor::SliceRef &Ref) const {
    return (static_cast<std::size_t>(Ref.Service.Value) << 32) ^ Ref.Slice;
  }
};

#endif // ORIOLEDOOR_BASE_IDS_H
