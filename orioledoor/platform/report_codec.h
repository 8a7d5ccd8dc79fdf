// Codec for the reports of targets, which the platform calls heartbeats, and
// for the responses to them.
//
//   absl::StatusOr<routing::TargetReport> Report =
//       decodeReport("/Instances.Heartbeat/i-7f3a91c2", Body);
#ifndef ORIOLEDOOR_PLATFORM_REPORT_CODEC_H
#define ORIOLEDOOR_PLATFORM_REPORT_CODEC_H

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/routing/target_report.h"

namespace orioledoor::platform {

// Decodes a report. The path contains the instance.
//
// Errors: kInvalidArgument if a field is missing, has another type or is out of
// range; such a report must not be used in part.
absl::StatusOr<routing::TargetReport> decodeReport(std::string_view Path,
                                                   std::string_view Body);

// Encodes the response to a report. A response without a hold time renews no
// grants.
std::string encodeReportAnswer(const routing::ReportAnswer &Answer);

// Returns the instance that deregisters, or nullopt if Path is another call.
std::optional<std::string> decodeDeregisterPath(std::string_view Path);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_REPORT_CODEC_H
