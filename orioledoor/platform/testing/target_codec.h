// Test codec for the other side of the messages of report_codec.h and
// config_codec.h: what targets and the operator write.
//
//   Post(reportPath("i-1"), encodeReport(Report));
//   absl::StatusOr<routing::ReportAnswer> Answer = decodeReportAnswer(Body);
#ifndef ORIOLEDOOR_PLATFORM_TESTING_TARGET_CODEC_H
#define ORIOLEDOOR_PLATFORM_TESTING_TARGET_CODEC_H

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/target_report.h"

namespace orioledoor::platform::testing {

std::string reportPath(std::string_view Instance);
std::string deregisterPath(std::string_view Instance);
std::string encodeReport(const routing::TargetReport &Report);
// Errors: kInvalidArgument for a malformed response.
absl::StatusOr<routing::ReportAnswer> decodeReportAnswer(std::string_view Body);

// Encodes a configuration. A route with several services becomes a traffic
// split.
std::string encodeConfig(const routing::RouteTable &Table);

} // namespace orioledoor::platform::testing

#endif // ORIOLEDOOR_PLATFORM_TESTING_TARGET_CODEC_H
