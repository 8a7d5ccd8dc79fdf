// Audit records: who or which rule changed what, when, why and with which
// outcome. They are kept in the store under keys::AuditPrefix, in the same
// transaction as the change that they describe.
//
//   AuditRecord Record{.TimeMicros = WallMicros,
//                      .Actor = "rule: member lost",
//                      .Action = "take over slices",
//                      .Subject = memberSubject(Lost),
//                      .From = "owner of 139 slices",
//                      .To = "member 9, member 12",
//                      .Reason = "released by both guardians",
//                      .Outcome = "recorded in assignment version 41"};
//   Txn.Puts.push_back({auditKey(WallMicros, Id), encodeAuditRecord(Record)});
#ifndef ORIOLEDOOR_CATALOGUE_AUDIT_RECORD_H
#define ORIOLEDOOR_CATALOGUE_AUDIT_RECORD_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "orioledoor/base/ids.h"

namespace orioledoor {

struct AuditRecord {
  // UTC, microseconds since 1970.
  std::int64_t TimeMicros = 0;
  // An operator's name, or "rule: NAME" for a change that no person made.
  std::string Actor;
  std::string Action;
  // What changed: "catalogue", memberSubject() or sliceSubject().
  std::string Subject;
  std::string From;
  std::string To;
  std::string Reason;
  std::string Outcome;

  friend bool operator==(const AuditRecord &, const AuditRecord &) = default;
};

// "member 7". `oriolectl explain` finds the records of a slice by this text in
// Subject, From or To.
std::string memberSubject(MemberId Member);

// "slice consulta/17"; found by `oriolectl explain` in the same way.
std::string sliceSubject(std::string_view Service, std::uint32_t Slice);

// A JSON object. Bytes that are not UTF-8 are replaced by U+FFFD.
std::string encodeAuditRecord(const AuditRecord &Record);

// A JSON array, for changes that share one transaction.
std::string encodeAuditRecords(std::span<const AuditRecord> Records);

// Reads one object or an array of them. Errors: kDataLoss if Json is neither
// or a field is missing.
absl::StatusOr<std::vector<AuditRecord>>
decodeAuditRecords(std::string_view Json);

// Reads exactly one record. Errors: kDataLoss.
absl::StatusOr<AuditRecord> decodeAuditRecord(std::string_view Json);

// The key of a record: keys::AuditPrefix, the time in 16 digits, '-' and Id in
// 16 hexadecimal digits. Keys sort by time. Id keeps records of the same
// microsecond apart; the writer chooses it at random or from a counter.
std::string auditKey(std::int64_t TimeMicros, std::uint64_t Id);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_AUDIT_RECORD_H
