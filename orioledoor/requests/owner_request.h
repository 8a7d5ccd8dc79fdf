// Records of the owner side.
#ifndef ORIOLEDOOR_REQUESTS_OWNER_REQUEST_H
#define ORIOLEDOOR_REQUESTS_OWNER_REQUEST_H

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/requests/message.h"
#include "orioledoor/requests/operation_table.h"

namespace orioledoor::requests {

enum class OwnerRequestState {
  // Being decided on.
  Arrived,
  // Waits for a slot of the target.
  Queued,
  // Runs at the target.
  Running,
  // Its connection broke; waits until it is known whether the target was lost.
  AwaitingProbe,
  // Waits for the answer of another request with the same operation.
  Coalesced,
  // Waits until the slice has moved.
  Parked,
};

// One Forward that this node, as an owner, has not answered yet.
struct OwnerRequest {
  Forward Received;
  Instant Deadline;
  OwnerRequestState State = OwnerRequestState::Arrived;
  ServiceClass Class = ServiceClass::Standard;
  bool Idempotent = false;
  // Any member of the service may serve it.
  bool AnyMember = false;
  // The operation table of its slice names this record.
  bool InOperationTable = false;
  // A unit of spend of SpendDay was taken for it.
  bool SpendReserved = false;
  std::uint32_t SpendDay = 0;
  // Set when the call starts.
  Instant StartedAt;
  Fence Number;
  // Requests in state Joined that wait for this one.
  std::vector<std::uint64_t> Waiters;
};

// A slice that this node owns.
struct OwnedSlice {
  OperationTable Table;
  // Calls that run for the slice.
  std::set<std::uint64_t> Running;
  // In order of arrival; may name records that have ended.
  std::vector<std::uint64_t> Parked;
  // No new work starts. Drained: SliceDrained was reported.
  bool Draining = false;
  bool Drained = false;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_OWNER_REQUEST_H
