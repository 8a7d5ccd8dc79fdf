// Encodes audit records as JSON and forms their keys in the store.
#include "orioledoor/catalogue/audit_record.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"
#include "orioledoor/base/error.h"
#include "orioledoor/store/keys.h"

namespace orioledoor {
namespace {

using Json = nlohmann::json;

Json toJson(const AuditRecord &Record) {
  return {{"time_us", Record.TimeMicros}, {"actor", Record.Actor},
          {"action", Record.Action},      {"subject", Record.Subject},
          {"from", Record.From},          {"to", Record.To},
          {"reason", Record.Reason},      {"outcome", Record.Outcome}};
}

AuditRecord fromJson(const Json &Object) {
  return {.TimeMicros = Object.at("time_us").get<std::int64_t>(),
          .Actor = Object.at("actor").get<std::string>(),
          .Action = Object.at("action").get<std::string>(),
          .Subject = Object.at("subject").get<std::string>(),
          .From = Object.at("from").get<std::string>(),
          .To = Object.at("to").get<std::string>(),
          .Reason = Object.at("reason").get<std::string>(),
          .Outcome = Object.at("outcome").get<std::string>()};
}

std::string serialize(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string memberSubject(MemberId Member) {
  return absl::StrFormat("member %d", Member.Value);
}

std::string sliceSubject(std::string_view Service, std::uint32_t Slice) {
  return absl::StrFormat("slice %s/%d", toAbsl(Service), Slice);
}

std::string encodeAuditRecord(const AuditRecord &Record) {
  return serialize(toJson(Record));
}

std::string encodeAuditRecords(std::span<const AuditRecord> Records) {
  Json Array = Json::array();
  std::ranges::transform(Records, std::back_inserter(Array), toJson);
  return serialize(Array);
}

absl::StatusOr<std::vector<AuditRecord>>
decodeAuditRecords(std::string_view Text) {
  try {
    Json Parsed = Json::parse(Text);
    std::vector<AuditRecord> Records;
    if (Parsed.is_array())
      std::ranges::transform(Parsed, std::back_inserter(Records), fromJson);
    else
      Records.push_back(fromJson(Parsed));
    return Records;
  } catch (const Json::exception &Error) {
    return makeError(absl::StatusCode::kDataLoss, "decode audit record", "",
                     Error.what());
  }
}

absl::StatusOr<AuditRecord> decodeAuditRecord(std::string_view Text) {
  absl::StatusOr<std::vector<AuditRecord>> Records = decodeAuditRecords(Text);
  if (!Records.ok())
    return Records.status();
  if (Records->size() != 1)
    return makeError(
        absl::StatusCode::kDataLoss, "decode audit record", "",
        absl::StrFormat("found %d records, expected one", Records->size()));
  return std::move(Records->front());
}

std::string auditKey(std::int64_t TimeMicros, std::uint64_t Id) {
  return absl::StrFormat("%s%016d-%016x", keys::AuditPrefix, TimeMicros, Id);
}

} // namespace orioledoor
