// Control messages between nodes. One-way; any of them may be lost, delayed,
// duplicated or reordered.
#ifndef ORIOLEDOOR_OWNERSHIP_MESSAGE_H
#define ORIOLEDOOR_OWNERSHIP_MESSAGE_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor::ownership {

// What a node holds; whoever is behind asks for the newer one.
struct Versions {
  std::uint64_t Assignment = 0;
  std::uint64_t Catalogue = 0;
};

// A member asks its guardian to extend its permission.
struct Renew {
  MemberId From;
  std::uint64_t Sequence = 0;
  // The sender's clock, echoed in Grant.
  Instant SentAt;
  // Highest Grant.Sequence received from this guardian.
  std::uint64_t LastGrant = 0;
  // The sender holds a permission through any guardian.
  bool HoldsPermission = false;
  Versions Held;
};

// Extends the permission to SentAt + Length on the holder's clock.
struct Grant {
  MemberId From;
  std::uint64_t Sequence = 0;
  Instant SentAt;
  Duration Length{0};
  Versions Held;
};

// The guardian does not grant.
struct Refuse {
  MemberId From;
  // True if it released the member for good; false if it holds no permission
  // itself or is not a recorded guardian.
  bool Released = false;
  Versions Held;
};

// The guardian By stopped granting Member under Term and its last grant has
// ended.
struct Release {
  MemberId Member;
  MemberId By;
  // The assignment version that named By as guardian of Member.
  std::uint64_t Term = 0;
  // The assignment version that By holds.
  std::uint64_t Version = 0;
};

// Facts that never become false again. Gossiped.
struct Facts {
  std::vector<Release> Releases;
  std::vector<MemberId> Deposed;
  // Members that said that they stopped serving and granting.
  std::vector<MemberId> Left;
  Versions Held;
};

struct VersionNotice {
  Versions Held;
};

// Asks for a newer assignment than the one held.
struct AssignmentRequest {
  std::uint64_t Held = 0;
};

// The whole document, encoded as in the store.
struct AssignmentUpdate {
  std::uint64_t Version = 0;
  std::string Document;
};

struct CatalogueRequest {
  std::uint64_t Held = 0;
};

struct CatalogueUpdate {
  std::uint64_t Revision = 0;
  // YAML.
  std::string Text;
};

// The coordinator asks a successor to act only under versions >= Version.
struct PromiseRequest {
  std::uint64_t Version = 0;
  // Distinguishes the gatherings of one coordinator; unique in its process.
  std::uint64_t Attempt = 0;
};

// The sender will not write what it asked the promises of Attempt for, so they
// need not be kept. Without it a successor could not act through a store
// outage that began between its promise and the write.
struct PromiseWithdrawn {
  std::uint64_t Attempt = 0;
};

// The sender starts to act as a successor only under versions >= Version. It
// goes on serving slices that it already took over.
struct Promise {
  MemberId From;
  std::uint64_t Version = 0;
  std::uint64_t Attempt = 0;
  // Deposed members whose slices the sender serves as a successor. The promise
  // counts only if the coordinator knows them as deposed, too, since its plan
  // then makes the sender the owner of those slices.
  std::vector<MemberId> ActingFor;
};

// The coordinator asks a guardian to give up its present term for Member.
struct ConsentRequest {
  MemberId Member;
  std::uint64_t Version = 0;
};

// The guardian neither grants Member nor derives that it is deposed under
// versions below Version; its grants have ended.
struct Consent {
  MemberId From;
  MemberId Member;
  std::uint64_t Version = 0;
};

// The sender gave up Slice. The receiver serves it under Number.
struct Yield {
  MemberId From;
  SliceRef Slice;
  Fence Number;
  // Encoded deduplication table of the request reducer.
  std::string Table;
};

struct YieldAck {
  MemberId From;
  SliceRef Slice;
  Fence Number;
};

// A member tells the coordinator its busiest slices and its total load.
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

// A member asks the coordinator for a share of a service's spend.
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
