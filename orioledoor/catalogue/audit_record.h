// Audit records: which operator or rule changed what, when, why and with which
// outcome. A record is written to the store under keys::AuditPrefix in the same
// transaction as the change that it describes.
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
  // UTC time in microseconds since the Unix epoch.
  std::int64_t TimeMicros = 0;
  // The name of an operator, or "rule: NAME" for an automatic change.
  std::string Actor;
  std::string Action;
  // What changed: "catalogue", memberSubject() or sliceSubject().
  std::string Subject;
  // The state before and after the change.
  std::string From;
  std::string To;
  std::string Reason;
  std::string Outcome;

  friend bool operator==(const AuditRecord &, const AuditRecord &) = default;
};

// Returns a text such as "member 7". `oriolectl explain` finds the records of a
// slice by searching Subject, From and To for this text.
std::string memberSubject(MemberId Member);

// Returns a text such as "slice consulta/17", which `oriolectl explain`
// searches for in the same way.
std::string sliceSubject(std::string_view Service, std::uint32_t Slice);

// Encodes a record as a JSON object. Bytes that are not valid UTF-8 are
// replaced by U+FFFD.
std::string encodeAuditRecord(const AuditRecord &Record);

// Encodes the records of changes that share a transaction as a JSON array.
std::string encodeAuditRecords(std::span<const AuditRecord> Records);

// Decodes one JSON object or an array of objects. Errors: kDataLoss if Json is
// neither, or if a field is missing or has the wrong type.
absl::StatusOr<std::vector<AuditRecord>>
decodeAuditRecords(std::string_view Json);

// Decodes a value that holds exactly one record. Errors: as for
// decodeAuditRecords(), and kDataLoss if the number of records is not one.
absl::StatusOr<AuditRecord> decodeAuditRecord(std::string_view Json);

// Returns the key of a record: keys::AuditPrefix, the time in 16 digits, '-'
// and Id in 16 hexadecimal digits. Keys sort by time. Id distinguishes records
// of the same microsecond; the writer chooses it at random or from a counter.
std::string auditKey(std::int64_t TimeMicros, std::uint64_t Id);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_AUDIT_RECORD_H
