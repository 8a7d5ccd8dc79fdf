// Identifiers that packages share. All are small value types with a total
// order and a hash.
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

// One incarnation of a node, admitted to the assignment. Never reused.
struct MemberId {
  // 0 means "not admitted".
  std::uint32_t Value = 0;

  explicit operator bool() const { return this->Value != 0; }
  friend auto operator<=>(const MemberId &, const MemberId &) = default;
};

// A fencing number. A server that checks refuses work under a number lower
// than the highest it has seen for the slice.
struct Fence {
  std::uint32_t Value = 0;

  friend auto operator<=>(const Fence &, const Fence &) = default;
};

// A service, identified by the hash of its name.
struct ServiceId {
  std::uint32_t Value = 0;

  friend auto operator<=>(const ServiceId &, const ServiceId &) = default;
};

// One slice of the key space of a service.
struct SliceRef {
  ServiceId Service;
  // Invariant: below the service's slice count.
  std::uint32_t Slice = 0;

  friend auto operator<=>(const SliceRef &, const SliceRef &) = default;
};

// The id of the service called Name. The catalogue check refuses two names
// with the same id.
ServiceId serviceIdOf(std::string_view Name);

// 64-bit XXH3 of Bytes with Seed; the same on every node and release.
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

// The slice of Key in a service of SliceCount slices (a power of two).
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
