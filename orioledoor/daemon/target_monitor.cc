// Implements the probes and grants, and the state machine of the target.
#include "orioledoor/daemon/target_monitor.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "orioledoor/catalogue/parse_endpoint.h"
#include "orioledoor/daemon/events.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::daemon {
namespace {

constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
// Delay after a failed probe. Short, so that a target that refuses connections
// is marked lost well before the 2 s within which its keys must be served
// again.
constexpr Duration ProbeRetryInterval = std::chrono::milliseconds(100);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(400);
constexpr Duration GrantTimeout = std::chrono::milliseconds(200);
// Consecutive failed probes that mark a target lost.
constexpr int FailuresToMarkLost = 3;
// Consecutive successful probes after which a lost target is used again without
// a new announcement.
constexpr int SuccessesToRecover = 3;

bool isEqual(const Announcement &A, const Announcement &B) {
  return A.Service == B.Service && A.Address.Host == B.Address.Host &&
         A.Address.Port == B.Address.Port && A.Slots == B.Slots &&
         A.Connections == B.Connections && A.ChecksFence == B.ChecksFence &&
         A.State == B.State && A.HealthPath == B.HealthPath;
}

bool isSuccess(const wire::HttpResult &Result) {
  return !Result.Failure && Result.Answer.Status >= 200 &&
         Result.Answer.Status < 300;
}

} // namespace

TargetMonitor::TargetMonitor(wire::HttpClient &Client,
                             TargetMonitorCallbacks Callbacks)
    : Client(Client), Callbacks(std::move(Callbacks)) {}

void TargetMonitor::notifyChange(TargetChange Change) const {
  this->Callbacks.OnChange(Change, *this->LastAnnouncement);
}

void TargetMonitor::onAnnouncement(const Announcement &Announced, Instant Now) {
  if (this->LastAnnouncement && isEqual(*this->LastAnnouncement, Announced))
    return;
  bool AddressChanged = this->LastAnnouncement &&
                        formatEndpoint(this->LastAnnouncement->Address) !=
                            formatEndpoint(Announced.Address);
  // A target that is starting or has a new address is a new process.
  if (this->Up && (AddressChanged || Announced.State == TargetState::Starting))
    this->markLost(Now);
  if (AddressChanged || Announced.State == TargetState::Starting)
    this->WasLost = false;
  this->LastAnnouncement = Announced;
  this->Callbacks.Log(
      {&TargetAnnounced,
       {{"service", Announced.Service},
        {"address", formatEndpoint(Announced.Address)},
        {"state", std::string(targetStateName(Announced.State))}}});
  this->ConsecutiveFailures = 0;
  this->ConsecutiveSuccesses = 0;
  this->NextProbeAt = Now + ProbeInterval;
  if (Announced.State == TargetState::Ready) {
    // Probe results take precedence over announcements: after a loss, one probe
    // must succeed before the target is used again.
    if (this->WasLost) {
      this->ConsecutiveSuccesses = SuccessesToRecover - 1;
      this->NextProbeAt = Now;
      return;
    }
    this->Up = true;
    this->notifyChange(TargetChange::Ready);
  } else if (Announced.State == TargetState::Leaving && this->Up) {
    this->notifyChange(TargetChange::Leaving);
  }
}

void TargetMonitor::markLost(Instant Now) {
  this->Up = false;
  this->WasLost = true;
  this->ConsecutiveSuccesses = 0;
  this->NextProbeAt = Now + ProbeInterval;
  this->GrantExpiresAt = Now;
  this->Client.closeIdleConnections(this->LastAnnouncement->Address);
  this->notifyChange(TargetChange::Lost);
}

void TargetMonitor::tick(Instant Now, const ServingPermission &Permission) {
  if (!this->LastAnnouncement ||
      this->LastAnnouncement->State == TargetState::Starting)
    return;
  if (!this->ProbePending && Now >= this->NextProbeAt)
    this->sendProbe(Now);
  if (this->Up && this->LastAnnouncement->ChecksFence && Permission.Member &&
      !this->GrantPending && Permission.ExpiresAt > this->GrantExpiresAt &&
      Permission.ExpiresAt > Now)
    this->sendGrant(Now, Permission);
}

void TargetMonitor::onConnectionBroken(Instant Now) {
  // Without the minimum interval, three probes could fail within one short
  // disturbance.
  this->NextProbeAt = std::min(
      this->NextProbeAt, std::max(Now, this->LastProbeAt + ProbeRetryInterval));
}

void TargetMonitor::sendProbe(Instant Now) {
  this->ProbePending = true;
  this->LastProbeAt = Now;
  this->NextProbeAt = Now + ProbeInterval;
  this->Client.call({.Server = this->LastAnnouncement->Address,
                     .Method = "GET",
                     .Target = this->LastAnnouncement->HealthPath,
                     .Headers = {},
                     .Body = {},
                     .Timeout = ProbeTimeout,
                     .NotAfter = {},
                     .FreshConnection = true},
                    [this](const wire::HttpResult &Result) { // NOLINT
                      this->onProbeResult(Result);
                    });
}

void TargetMonitor::onProbeResult(const wire::HttpResult &Result) {
  this->ProbePending = false;
  Instant Now = readClock();
  // Only the arrival of an answer on a fresh connection counts. The HTTP status
  // is ignored, since the target's view of its own health may be wrong.
  if (Result.Failure) {
    this->onProbeFailure(Now);
    return;
  }
  this->ConsecutiveFailures = 0;
  if (this->Up || this->LastAnnouncement->State != TargetState::Ready ||
      ++this->ConsecutiveSuccesses < SuccessesToRecover)
    return;
  this->Up = true;
  this->WasLost = false;
  this->Callbacks.Log(
      {&TargetBack,
       {{"address", formatEndpoint(this->LastAnnouncement->Address)}}});
  this->notifyChange(TargetChange::Ready);
}

void TargetMonitor::onProbeFailure(Instant Now) {
  this->ConsecutiveSuccesses = 0;
  if (!this->Up)
    return;
  if (this->ConsecutiveFailures++ == 0)
    this->FirstFailureAt = Now;
  // An answered request shows that the target works even if its probes fail.
  if (this->LastAnswerAt > this->FirstFailureAt) {
    this->ConsecutiveFailures = 1;
    this->FirstFailureAt = Now;
  }
  this->NextProbeAt = Now + ProbeRetryInterval;
  if (this->ConsecutiveFailures < FailuresToMarkLost)
    return;
  this->Callbacks.Log(
      {&TargetDown,
       {{"address", formatEndpoint(this->LastAnnouncement->Address)}}});
  this->markLost(Now);
}

void TargetMonitor::sendGrant(Instant Now,
                              const ServingPermission &Permission) {
  auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Permission.ExpiresAt - Now);
  if (Remaining.count() <= 0)
    return;
  // The target runs on the same VM, so it may compare valid_until_us with its
  // own CLOCK_BOOTTIME. valid_ms alone would count from the time when the
  // target reads the grant, which is late if the target was suspended.
  std::string Body =
      nlohmann::json{{"member", Permission.Member.Value},
                     {"fence", Permission.HighestFence.Value},
                     {"valid_ms", Remaining.count()},
                     {"valid_until_us", Permission.ExpiresAt.micros()}}
          .dump();
  this->GrantPending = true;
  this->GrantExpiresAt = Permission.ExpiresAt;
  this->Client.call({.Server = this->LastAnnouncement->Address,
                     .Method = "POST",
                     .Target = "/oriole/grant",
                     .Headers = {{"Content-Type", "application/json"}},
                     .Body = Body,
                     .Timeout = std::min<Duration>(GrantTimeout, Remaining),
                     .NotAfter = Permission.ExpiresAt,
                     .FreshConnection = false},
                    [this](const wire::HttpResult &Result) { // NOLINT
                      this->GrantPending = false;
                      bool Failed = !isSuccess(Result);
                      if (Failed && !this->LastGrantFailed)
                        this->Callbacks.Log(
                            {&GrantRefused,
                             {{"status", std::to_string(Result.Answer.Status)},
                              {"detail", Result.Detail}}});
                      this->LastGrantFailed = Failed;
                    });
}

} // namespace orioledoor::daemon
