// The operator's configuration as it lies in the store.
//
//   absl::StatusOr<routing::RouteTable> Table = decodeConfig(Item.Value);
#ifndef ORIOLEDOOR_PLATFORM_CONFIG_CODEC_H
#define ORIOLEDOOR_PLATFORM_CONFIG_CODEC_H

#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/routing/route_table.h"

namespace orioledoor::platform {

// Errors: kInvalidArgument with the place of the fault; the table in force is
// to be kept.
absl::StatusOr<routing::RouteTable> decodeConfig(std::string_view Text);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_CONFIG_CODEC_H
