// Decoder of the configuration that the operator writes to the store.
//
//   absl::StatusOr<routing::RouteTable> Table = decodeConfig(Item.Value);
#ifndef ORIOLEDOOR_PLATFORM_CONFIG_CODEC_H
#define ORIOLEDOOR_PLATFORM_CONFIG_CODEC_H

#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/routing/route_table.h"

namespace orioledoor::platform {

// Decodes a configuration document.
//
// Errors: kInvalidArgument with the location of the fault. The caller must then
// keep the table that is in force.
absl::StatusOr<routing::RouteTable> decodeConfig(std::string_view Text);

} // namespace orioledoor::platform

#endif // ORIOLEDOOR_PLATFORM_CONFIG_CODEC_H
