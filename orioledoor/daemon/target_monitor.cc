// Probes, grants and the state of the target.
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
// Pause after a failed probe, so that a target that refuses connections counts
// as lost well before the 2 s within which its keys are served again.
constexpr Duration RetryInterval = std::chrono::milliseconds(100);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(400);
constexpr Duration GrantTimeout = std::chrono::milliseconds(200);
constexpr int ProbesToLose = 3;
// A target that was lost is used again without a new announcement after this
// many good probes in a row.
constexpr int ProbesToReturn = 3;

bool isSame(const Announcement &A, const Announcement &B) {
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

void TargetMonitor::report(TargetChange Change) const {
  this->Callbacks.Changed(Change, *this->Known);
}

void TargetMonitor::announce(const Announcement &Announced, Instant Now) {
  if (this->Known && isSame(*this->Known, Announced))
    return;
  bool Moved = this->Known && formatEndpoint(this->Known->Address) !=
                                  formatEndpoint(Announced.Address);
  // A target that starts, or that has another address, is another process.
  if (this->Up && (Moved || Announced.State == TargetState::Starting))
    this->lose(Now);
  if (Moved || Announced.State == TargetState::Starting)
    this->WasLost = false;
  this->Known = Announced;
  this->Callbacks.Log({&TargetAnnounced,
                       {{"service", Announced.Service},
                        {"address", formatEndpoint(Announced.Address)},
                        {"state", std::string(nameOf(Announced.State))}}});
  this->Failures = 0;
  this->Successes = 0;
  this->NextProbe = Now + ProbeInterval;
  if (Announced.State == TargetState::Ready) {
    // What the node measured takes precedence over what the target says: after
    // a loss one probe must succeed first.
    if (this->WasLost) {
      this->Successes = ProbesToReturn - 1;
      this->NextProbe = Now;
      return;
    }
    this->Up = true;
    this->report(TargetChange::Ready);
  } else if (Announced.State == TargetState::Leaving && this->Up) {
    this->report(TargetChange::Leaving);
  }
}

void TargetMonitor::lose(Instant Now) {
  this->Up = false;
  this->WasLost = true;
  this->Successes = 0;
  this->NextProbe = Now + ProbeInterval;
  this->GrantedUntil = Now;
  this->Client.closeIdleConnections(this->Known->Address);
  this->report(TargetChange::Lost);
}

void TargetMonitor::tick(Instant Now, const WorkPermit &Permit) {
  if (!this->Known || this->Known->State == TargetState::Starting)
    return;
  if (!this->ProbeOpen && Now >= this->NextProbe)
    this->probe(Now);
  if (this->Up && this->Known->ChecksFence && Permit.Member &&
      !this->GrantOpen && Permit.Until > this->GrantedUntil &&
      Permit.Until > Now)
    this->grant(Now, Permit);
}

void TargetMonitor::noteBrokenConnection(Instant Now) {
  // Without the pause three probes would fail within one short disturbance.
  this->NextProbe =
      std::min(this->NextProbe, std::max(Now, this->LastProbe + RetryInterval));
}

void TargetMonitor::probe(Instant Now) {
  this->ProbeOpen = true;
  this->LastProbe = Now;
  this->NextProbe = Now + ProbeInterval;
  this->Client.call({.Server = this->Known->Address,
                     .Method = "GET",
                     .Target = this->Known->HealthPath,
                     .Headers = {},
                     .Body = {},
                     .Timeout = ProbeTimeout,
                     .NotAfter = {},
                     .FreshConnection = true},
                    [this](const wire::HttpResult &Result) { // NOLINT
                      this->probed(Result);
                    });
}

void TargetMonitor::probed(const wire::HttpResult &Result) {
  this->ProbeOpen = false;
  Instant Now = readClock();
  // The status is the target's opinion of itself and may mislead; that an
  // answer came on a fresh connection is what the node measured.
  if (Result.Failure) {
    this->probeFailed(Now);
    return;
  }
  this->Failures = 0;
  if (this->Up || this->Known->State != TargetState::Ready ||
      ++this->Successes < ProbesToReturn)
    return;
  this->Up = true;
  this->WasLost = false;
  this->Callbacks.Log(
      {&TargetBack, {{"address", formatEndpoint(this->Known->Address)}}});
  this->report(TargetChange::Ready);
}

void TargetMonitor::probeFailed(Instant Now) {
  this->Successes = 0;
  if (!this->Up)
    return;
  if (this->Failures++ == 0)
    this->FirstFailure = Now;
  // An answer proves that the target works, whatever its probes say.
  if (this->LastAnswer > this->FirstFailure) {
    this->Failures = 1;
    this->FirstFailure = Now;
  }
  this->NextProbe = Now + RetryInterval;
  if (this->Failures < ProbesToLose)
    return;
  this->Callbacks.Log(
      {&TargetDown, {{"address", formatEndpoint(this->Known->Address)}}});
  this->lose(Now);
}

void TargetMonitor::grant(Instant Now, const WorkPermit &Permit) {
  auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Permit.Until - Now);
  if (Left.count() <= 0)
    return;
  // The target runs on the same VM, so it may compare valid_until_us with its
  // own CLOCK_BOOTTIME. valid_ms alone would count from the time of reading,
  // which a frozen target delays.
  std::string Body = nlohmann::json{{"member", Permit.Member.Value},
                                    {"fence", Permit.Number.Value},
                                    {"valid_ms", Left.count()},
                                    {"valid_until_us", Permit.Until.micros()}}
                         .dump();
  this->GrantOpen = true;
  this->GrantedUntil = Permit.Until;
  this->Client.call({.Server = this->Known->Address,
                     .Method = "POST",
                     .Target = "/oriole/grant",
                     .Headers = {{"Content-Type", "application/json"}},
                     .Body = Body,
                     .Timeout = std::min<Duration>(GrantTimeout, Left),
                     .NotAfter = Permit.Until,
                     .FreshConnection = false},
                    [this](const wire::HttpResult &Result) { // NOLINT
                      this->GrantOpen = false;
                      bool Failed = !isSuccess(Result);
                      if (Failed && !this->GrantFailed)
                        this->Callbacks.Log(
                            {&GrantRefused,
                             {{"status", std::to_string(Result.Answer.Status)},
                              {"detail", Result.Detail}}});
                      this->GrantFailed = Failed;
                    });
}

} // namespace orioledoor::daemon
