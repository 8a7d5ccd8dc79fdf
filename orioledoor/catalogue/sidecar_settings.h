// Settings of a node that runs beside a target on the users' platform, read
// from its YAML file at start and when it changes.
//
//   absl::StatusOr<SidecarSettings> Own = parseSidecarSettings(Text, File);
#ifndef ORIOLEDOOR_CATALOGUE_SIDECAR_SETTINGS_H
#define ORIOLEDOOR_CATALOGUE_SIDECAR_SETTINGS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor {

struct SidecarSettings {
  std::string NodeName;
  std::string Region;
  std::string FailureDomain;
  // Callers on this VM and its target connect here.
  Endpoint Outbound;
  // The target on this VM reports here.
  Endpoint Control;
  // The platform asks here whether the node is ready.
  Endpoint Ready;
  // Metrics are served here, under /metrics.
  Endpoint Metrics;
  // Other nodes connect here (nng over TCP).
  Endpoint Peer;
  // The target.
  Endpoint Target;
  // The service of the target, as the platform names it.
  std::string Service;
  // The platform's key-value service.
  Endpoint Store;
  // A leaving target gets no new work this long after it was acknowledged.
  std::chrono::milliseconds DrainTime{2000};
  // From SIGTERM until the process is killed.
  std::chrono::milliseconds StopGrace{6000};
  // The longest hold that a target accepts.
  std::chrono::milliseconds MaxHold{10000};
  // Retries over the whole fleet in one window: this share of the requests plus
  // a constant.
  double RetryRatio = 0.2;
  double RetryExtra = 60;
  std::chrono::milliseconds RetryWindow{10000};
  // The link of this VM, in Mbit/s; 0: not known.
  double LinkMbps = 0;
  // One of debug, info, warn, error.
  std::string LogLevel = "info";
};

// Errors: kInvalidArgument "FILE:LINE: FIELD: WHAT; expected WHAT".
absl::StatusOr<SidecarSettings> parseSidecarSettings(std::string_view Text,
                                                     std::string_view FileName);

// Whether Text is a document for parseSidecarSettings rather than for
// parseSettings.
bool isSidecarDocument(std::string_view Text);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_SIDECAR_SETTINGS_H
