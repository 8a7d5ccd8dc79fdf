// Reads audit records from the store.
//
//   absl::StatusOr<AuditTrail> Trail = readAuditTrail(Store, 100);
#ifndef ORIOLEDOOR_ORIOLECTL_AUDIT_TRAIL_H
#define ORIOLEDOOR_ORIOLECTL_AUDIT_TRAIL_H

#include <cstdint>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "absl/status/statusor.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/oriolectl/console.h"

namespace orioledoor::ctl {

class StoreSession;

struct AuditTrail {
  // Latest first.
  std::vector<AuditRecord> Records;
  // The store holds earlier ones.
  bool Truncated = false;
};

// The records of the latest Limit writes; a write may hold several. A value
// that cannot be read appears as a record that says so. Errors: kUnavailable.
absl::StatusOr<AuditTrail> readAuditTrail(StoreSession &Store,
                                          std::uint64_t Limit);

// Whether Subject (as memberSubject() or sliceSubject()) appears in the
// record's subject, from or to; "member 7" does not appear in "member 71".
bool mentions(const AuditRecord &Record, std::string_view Subject);

// Whether the record is about several slices at once that may include one of
// Service: its subject is "N slices" or "N slices of SERVICE".
bool concernsSlices(const AuditRecord &Record, std::string_view Service);

nlohmann::json auditJson(const std::vector<AuditRecord> &Records);

void printAudit(const Console &To, const std::vector<AuditRecord> &Records);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_AUDIT_TRAIL_H
