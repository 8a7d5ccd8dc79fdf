// Tracks the state of the target on the node's VM from its announcements and
// health probes, and sends grants to a target that checks fencing numbers. See
// docs/design.md, section 5.
//
//   TargetMonitor Target(Client, Callbacks);
//   Target.onAnnouncement(Announced, Now);
//   Target.tick(Now, {.Member = Id,
//                     .HighestFence = Fence,
//                     .ExpiresAt = PermissionEnd});
#ifndef ORIOLEDOOR_DAEMON_TARGET_MONITOR_H
#define ORIOLEDOOR_DAEMON_TARGET_MONITOR_H

#include <cstdint>
#include <functional>
#include <optional>

#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"
#include "orioledoor/daemon/announcement.h"
#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::wire {
class HttpClient;
struct HttpResult;
} // namespace orioledoor::wire

namespace orioledoor::daemon {

// The node's permission to serve. Sent as a grant to targets that check fencing
// numbers.
struct ServingPermission {
  // 0 if the node is not a member.
  MemberId Member;
  // The highest fencing number under which the node serves a slice.
  Fence HighestFence;
  Instant ExpiresAt;
};

enum class TargetChange {
  // Announced, changed or recovered: requests may be sent to it.
  Ready,
  // Announced that it is leaving.
  Leaving,
  // Its probes failed or it restarted: requests in flight are lost.
  Lost
};

struct TargetMonitorCallbacks {
  std::function<void(TargetChange Change, const Announcement &Target)> OnChange;
  std::function<void(const LogRecord &Record)> Log;
};

// Not thread-safe.
class TargetMonitor {
public:
  TargetMonitor(wire::HttpClient &Client, TargetMonitorCallbacks Callbacks);

  // Applies an announcement. Ignores one that equals the last one.
  void onAnnouncement(const Announcement &Announced, Instant Now);

  // Sends the probes and grants that are due. Call every 20 ms.
  void tick(Instant Now, const ServingPermission &Permission);

  // Records that the target answered a request.
  void recordAnswer(Instant Now) { this->LastAnswerAt = Now; }
  // Brings the next probe forward after a connection to the target broke.
  void onConnectionBroken(Instant Now);

  // Returns the last announcement, if any.
  const std::optional<Announcement> &lastAnnouncement() const {
    return this->LastAnnouncement;
  }
  // Returns whether requests may be sent to the target.
  bool isUp() const { return this->Up; }

private:
  void sendProbe(Instant Now);
  void onProbeResult(const wire::HttpResult &Result);
  void onProbeFailure(Instant Now);
  void sendGrant(Instant Now, const ServingPermission &Permission);
  void markLost(Instant Now);
  void notifyChange(TargetChange Change) const;

  wire::HttpClient &Client;
  TargetMonitorCallbacks Callbacks;
  std::optional<Announcement> LastAnnouncement;
  bool Up = false;
  // Whether the target was lost and has not recovered, restarted or moved
  // since.
  bool WasLost = false;
  bool ProbePending = false;
  Instant LastProbeAt;
  Instant NextProbeAt;
  Instant LastAnswerAt;
  Instant FirstFailureAt;
  // Consecutive failed probes, and consecutive successful ones after a loss.
  int ConsecutiveFailures = 0;
  int ConsecutiveSuccesses = 0;
  bool GrantPending = false;
  bool LastGrantFailed = false;
  Instant GrantExpiresAt;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_TARGET_MONITOR_H
