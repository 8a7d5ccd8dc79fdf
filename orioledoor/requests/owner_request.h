// Records of the owner side of the request reducer.
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
  // Admission is not decided yet.
  Arrived,
  // Waits for a slot of the target.
  Queued,
  // The call to the target is in progress.
  Running,
  // The connection to the target broke; waits until probes show whether the
  // target was lost.
  AwaitingProbe,
  // Waits for the answer of another request with the same operation.
  Coalesced,
  // Waits until the move of the slice is complete.
  Parked,
};

// A Forward that this node has received as owner and not answered yet.
struct OwnerRequest {
  Forward Received;
  Instant Deadline;
  OwnerRequestState State = OwnerRequestState::Arrived;
  ServiceClass Class = ServiceClass::Standard;
  bool Idempotent = false;
  // Any member of the service may serve it.
  bool AnyMember = false;
  // This record added its operation to the table of the slice and owns the
  // entry.
  bool InOperationTable = false;
  // The record holds one unit of the spend of SpendDay.
  bool SpendReserved = false;
  std::uint32_t SpendDay = 0;
  // Set when the call starts.
  Instant StartedAt;
  Fence FencingNumber;
  // Requests in state Coalesced that wait for this one.
  std::vector<std::uint64_t> Waiters;
};

// A slice that this node owns.
struct OwnedSlice {
  OperationTable Table;
  // Records whose calls are running.
  std::set<std::uint64_t> Running;
  // In order of arrival; may contain records that have ended.
  std::vector<std::uint64_t> Parked;
  // While Draining, no new call starts. Drained is set when SliceDrained was
  // emitted.
  bool Draining = false;
  bool Drained = false;
};

} // namespace orioledoor::requests

#endif // ORIOLEDOOR_REQUESTS_OWNER_REQUEST_H
