// Settings of a sidecar: a node that runs beside one target on the users'
// platform. Read from its YAML file at startup and when the file changes.
//
//   absl::StatusOr<SidecarSettings> Parsed = parseSidecarSettings(Text, File);
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
  // Listener for callers on this VM, including the target.
  Endpoint Outbound;
  // Listener for the reports of the target on this VM.
  Endpoint Control;
  // Listener for the platform's readiness checks.
  Endpoint Ready;
  // Listener that serves the metrics under /metrics.
  Endpoint Metrics;
  // Address under which other nodes reach this one (nng over TCP).
  Endpoint Peer;
  // Listener for other nodes; Peer unless a relay stands in front of it.
  Endpoint PeerListen;
  // The address of the target.
  Endpoint Target;
  // The name that the platform uses for the target's service.
  std::string Service;
  // The platform's key-value store.
  Endpoint Store;
  // A target that leaves may receive requests until this long after the node
  // has acknowledged that it leaves.
  std::chrono::milliseconds DrainTime{2000};
  // Time from SIGTERM until the platform kills the process.
  std::chrono::milliseconds StopGrace{6000};
  // The longest time for which a target may hold keys after its last
  // acknowledged report.
  std::chrono::milliseconds MaxHoldTime{10000};
  // Retry budget of the whole fleet: in each RetryWindow, the number of retries
  // is at most RetryRatio times the number of requests, plus RetryExtra.
  double RetryRatio = 0.2;
  double RetryExtra = 60;
  std::chrono::milliseconds RetryWindow{10000};
  // A cold target gets at most the rate that it tolerates times ColdOverage,
  // plus ColdSlack requests, in any second. 0: cold targets are not limited.
  double ColdOverage = 0;
  double ColdSlack = 0;
  // Time from the announcement of an evacuation until no request reaches the
  // targets of the failure domain; 0: failure domains are not evacuated.
  std::chrono::milliseconds EvacuationTime{0};
  // Bandwidth of this VM's network link in Mbit/s; 0 means unknown.
  double LinkMbps = 0;
  // Memory of the process in MB, above which the platform ends it. The default
  // is that of the smallest VMs.
  double MemoryMb = 160;
  // One of debug, info, warn, error.
  std::string LogLevel = "info";
};

// Parses Text; FileName is for error messages only. Errors: kInvalidArgument
// with a message of the form "FILE:LINE: FIELD: FOUND; expected EXPECTED".
absl::StatusOr<SidecarSettings> parseSidecarSettings(std::string_view Text,
                                                     std::string_view FileName);

// Returns whether Text is a document for parseSidecarSettings() rather than for
// parseSettings().
bool isSidecarDocument(std::string_view Text);

} // namespace orioledoor

#endif // ORIOLEDOOR_CATALOGUE_SIDECAR_SETTINGS_H
