// Control messages between nodes. Messages are one-way and may be lost,
// delayed, duplicated or reordered.
#ifndef ORIOLEDOOR_OWNERSHIP_MESSAGE_H
#define ORIOLEDOOR_OWNERSHIP_MESSAGE_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor::ownership {

// The versions that a node holds. A node with an older version requests the
// newer one.
struct Versions {
  std::uint64_t Assignment = 0;
  std::uint64_t Catalogue = 0;
};

// A member requests that its guardian extend its permission.
struct Renew {
  MemberId From;
  std::uint64_t Sequence = 0;
  // Time on the sender's clock, echoed in Grant.
  Instant SentAt;
  // Highest Grant.Sequence received from this guardian.
  std::uint64_t LastGrant = 0;
  // Whether the sender holds a permission through any guardian.
  bool HoldsPermission = false;
  Versions HeldVersions;
};

// Extends the permission until SentAt + Length on the holder's clock.
struct Grant {
  MemberId From;
  std::uint64_t Sequence = 0;
  Instant SentAt;
  Duration Length{0};
  Versions HeldVersions;
};

// The guardian refuses to extend the permission.
struct Refuse {
  MemberId From;
  // True if the guardian has permanently released the member; false if the
  // guardian holds no permission itself or is not recorded as a guardian of the
  // member.
  bool Released = false;
  Versions HeldVersions;
};

// The guardian stopped granting permissions to Member under Term, and its last
// grant has expired.
struct Release {
  MemberId Member;
  MemberId GuardianId;
  // The assignment version that named the guardian.
  std::uint64_t Term = 0;
  // The assignment version that the guardian held at the release.
  std::uint64_t Version = 0;
};

// Facts that, once true, stay true. Distributed by gossip.
struct Facts {
  std::vector<Release> Releases;
  std::vector<MemberId> Deposed;
  // Members that announced that they stopped serving and granting.
  std::vector<MemberId> Left;
  Versions HeldVersions;
};

struct VersionNotice {
  Versions HeldVersions;
};

// Requests an assignment newer than the one held.
struct AssignmentRequest {
  std::uint64_t HeldVersion = 0;
};

// The complete assignment, in the encoding used in the store.
struct AssignmentUpdate {
  std::uint64_t Version = 0;
  std::string Document;
};

struct CatalogueRequest {
  std::uint64_t HeldRevision = 0;
};

struct CatalogueUpdate {
  std::uint64_t Revision = 0;
  // YAML.
  std::string Text;
};

// The coordinator asks a successor to promise to act only under versions >=
// Version.
struct PromiseRequest {
  std::uint64_t Version = 0;
  // Identifies one round of promise requests; unique within the coordinator's
  // process.
  std::uint64_t Attempt = 0;
};

// The sender will not write the version for which it requested the promises of
// Attempt, so the promises are void. Without this message, a successor could
// not take over during a store outage that began between its promise and the
// write.
struct PromiseWithdrawn {
  std::uint64_t Attempt = 0;
};

// The sender will start to act as a successor only under versions >= Version.
// It continues to serve slices that it has already taken over.
struct Promise {
  MemberId From;
  std::uint64_t Version = 0;
  std::uint64_t Attempt = 0;
  // Deposed members whose slices the sender serves as a successor. The promise
  // is valid only if the coordinator also knows that they are deposed, since
  // its plan then makes the sender the owner of those slices.
  std::vector<MemberId> ActingFor;
};

// The coordinator asks a guardian to give up its current term for Member.
struct ConsentRequest {
  MemberId Member;
  std::uint64_t Version = 0;
};

// Under versions below Version, the guardian neither grants permissions to
// Member nor concludes that Member is deposed. Its earlier grants have expired.
struct Consent {
  MemberId From;
  MemberId Member;
  std::uint64_t Version = 0;
};

// The sender has stopped serving Slice. The receiver serves it under
// FencingNumber.
struct Yield {
  MemberId From;
  SliceRef Slice;
  Fence FencingNumber;
  // Encoded deduplication table of the request reducer.
  std::string Table;
};

struct YieldAck {
  MemberId From;
  SliceRef Slice;
  Fence FencingNumber;
};

// The load of one slice. A member reports its total load and the load of its
// busiest slices to the coordinator.
struct ReportedLoad {
  SliceRef Slice;
  // Requests per second.
  double Rate = 0;
};
struct LoadReport {
  MemberId From;
  double TotalRate = 0;
  std::vector<ReportedLoad> Busiest;
  bool Leaving = false;
};

// A member requests a share of a service's spend from the coordinator.
struct SpendRequest {
  MemberId From;
  ServiceId Service;
  std::uint64_t Amount = 0;
  // Days since 1970, UTC.
  std::uint32_t Day = 0;
};

struct SpendGrant {
  ServiceId Service;
  std::uint64_t Amount = 0;
  std::uint32_t Day = 0;
};

using Message =
    std::variant<Renew, Grant, Refuse, Facts, VersionNotice, AssignmentRequest,
                 AssignmentUpdate, CatalogueRequest, CatalogueUpdate,
                 PromiseRequest, PromiseWithdrawn, Promise, ConsentRequest,
                 Consent, Yield, YieldAck, LoadReport, SpendRequest,
                 SpendGrant>;

} // namespace orioledoor::ownership

#endif // ORIOLEDOOR_OWNERSHIP_MESSAGE_H
