// Reports of targets (the platform calls them heartbeats) and their answers.
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

// Errors: kInvalidArgument for a report with a field that is missing, of
// another type or out of range; it names no target to use.
absl::StatusOr<routing::TargetReport> decodeReport(std::string_view Path,
                                                   std::string_view Body);

// An answer without grants renews nothing.
std::string encodeReportAnswer(const routing::ReportAnswer &Answer);

// The instance that announces its end; empty if Path is another call.
std::optional<std::string> decodeDeregisterPath(std::string_view Path);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_REPORT_CODEC_H
