// Watches the target beside the node: its announcements, its probes, and the
// grants to a target that checks fencing numbers. See docs/design.md,
// section 5.
//
//   TargetMonitor Target(Client, Callbacks);
//   Target.announce(Announced);
//   Target.tick(Now, {.Member = Id, .Until = PermissionEnd});
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

// The node's right to work, which a target that checks is told.
struct WorkPermit {
  // 0: the node is not a member.
  MemberId Member;
  // The highest number under which the node serves a slice.
  Fence Number;
  Instant Until;
};

enum class TargetChange {
  // Announced, changed or came back: work may be sent to it.
  Ready,
  Leaving,
  // Its probes failed, or it started anew: work in flight is lost.
  Lost
};

struct TargetMonitorCallbacks {
  std::function<void(TargetChange Change, const Announcement &Target)> Changed;
  std::function<void(const LogRecord &Record)> Log;
};

// Not thread-safe.
class TargetMonitor {
public:
  TargetMonitor(wire::HttpClient &Client, TargetMonitorCallbacks Callbacks);

  // Takes a new state over; repeating one changes nothing.
  void announce(const Announcement &Announced, Instant Now);

  // Probes and grants what is due. Call every 20 ms.
  void tick(Instant Now, const WorkPermit &Permit);

  // The target answered a request.
  void noteAnswer(Instant Now) { this->LastAnswer = Now; }
  // A connection to the target broke; it is probed soon.
  void noteBrokenConnection(Instant Now);

  // The last announcement, if any.
  const std::optional<Announcement> &known() const { return this->Known; }
  // Work may be sent to it.
  bool isUp() const { return this->Up; }

private:
  void probe(Instant Now);
  void probed(const wire::HttpResult &Result);
  void probeFailed(Instant Now);
  void grant(Instant Now, const WorkPermit &Permit);
  void lose(Instant Now);
  void report(TargetChange Change) const;

  wire::HttpClient &Client;
  TargetMonitorCallbacks Callbacks;
  std::optional<Announcement> Known;
  bool Up = false;
  // Its probes failed since it was last announced by another state or address.
  bool WasLost = false;
  bool ProbeOpen = false;
  Instant LastProbe;
  Instant NextProbe;
  Instant LastAnswer;
  Instant FirstFailure;
  // Probes in a row that failed, or that succeeded after a loss.
  int Failures = 0;
  int Successes = 0;
  bool GrantOpen = false;
  bool GrantFailed = false;
  Instant GrantedUntil;
};

} // namespace orioledoor::daemon

#endif // ORIOLEDOOR_DAEMON_TARGET_MONITOR_H
