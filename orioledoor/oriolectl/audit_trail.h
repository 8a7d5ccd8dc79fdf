// Reads audit records from the store, filters them by subject and prints them.
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
  // Whether the store may hold earlier records: the limit was reached.
  bool Truncated = false;
};

// Returns the records of the latest Limit writes; one write may contain several
// records. A value that cannot be decoded is represented by a record whose
// Outcome is the decoding error. Errors: kUnavailable.
absl::StatusOr<AuditTrail> readAuditTrail(StoreSession &Store,
                                          std::uint64_t Limit);

// Returns whether Subject, as memberSubject() or sliceSubject() format it,
// occurs as whole words in Record.Subject, Record.From or Record.To: "member 7"
// does not occur in "member 71".
bool mentionsSubject(const AuditRecord &Record, std::string_view Subject);

// Returns whether the record covers a group of slices that may include slices
// of Service, that is, its subject is "N slices" or "N slices of SERVICE".
bool coversSlicesOf(const AuditRecord &Record, std::string_view Service);

nlohmann::json auditJson(const std::vector<AuditRecord> &Records);

void printAudit(const Console &Terminal,
                const std::vector<AuditRecord> &Records);

} // namespace orioledoor::ctl

#endif // ORIOLEDOOR_ORIOLECTL_AUDIT_TRAIL_H
