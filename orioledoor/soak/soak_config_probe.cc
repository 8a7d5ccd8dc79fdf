// Schedules changes and requests, and selects the answers to check.
#include "orioledoor/soak/soak_config_probe.h"

#include "orioledoor/platform/names.h"
#include "orioledoor/soak/soak_checker.h"
#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration ChangeInterval = milliseconds(1700);
constexpr Duration RequestInterval = milliseconds(250);
// The platform's guarantee: a change is in force within ConfigurationTime after
// the store acknowledged it, on VMs without a fault for ContactTime.
constexpr Duration ConfigurationTime = milliseconds(2000);
constexpr Duration ContactTime = milliseconds(3000);
constexpr milliseconds RequestTimeout(800);

} // namespace

void SoakConfigProbe::step(Instant Now) {
  if (Now >= this->NextChangeAt) {
    this->NextChangeAt = Now + ChangeInterval;
    this->Fleet.writeConfiguration();
  }
  if (Now < this->NextRequestAt)
    return;
  this->NextRequestAt = Now + RequestInterval;
  std::uint64_t Newest = this->Fleet.versionBefore(Now - ConfigurationTime);
  // Skips the check if many versions followed, since a later version that is
  // already in force may have dropped the route.
  if (Newest == 0 || this->Fleet.versionBefore(Now) - Newest > VersionsKept / 2)
    return;
  for (std::size_t I = 0; I < this->Fleet.size(); ++I) {
    const SoakNode &Node = this->Fleet.node(I);
    if (Now - Node.LocalFaultUntil < ContactTime || !Node.Process->running() ||
        Node.Stopping)
      continue;
    this->sendRequest(I, versionPrefix(Newest), true);
    if (Newest > VersionsKept)
      this->sendRequest(I, versionPrefix(Newest - VersionsKept), false);
  }
}

void SoakConfigProbe::sendRequest(std::size_t NodeIndex,
                                  const std::string &Path, bool Exists) {
  wire::HttpCall Call{.Server = this->Fleet.node(NodeIndex).Outbound,
                      .Method = "GET",
                      .Target = Path + "x",
                      .Host = Host,
                      .Timeout = RequestTimeout};
  Call.Headers = {
      {platform::names::AttemptId, "c-" + std::to_string(++this->LastAttempt)},
      {platform::names::DeadlineRemaining,
       std::to_string(RequestTimeout.count())}};
  const SoakNode &Node = this->Fleet.node(NodeIndex);
  this->Checker.recordSent(Node.Name, Call.Headers.front().Value,
                           {.Method = Call.Method,
                            .Target = Call.Target,
                            .CallerService = Node.Target->service()},
                           readClock());
  this->Fleet.client().call(
      Call, [this, NodeIndex, Path, Exists](const wire::HttpResult &Result) {
        if (Result.Failure)
          return;
        ++this->CheckedAnswers;
        this->Checker.checkRoute(this->Fleet.node(NodeIndex).Name, Path, Exists,
                                 Result.Answer.Status, readClock());
      });
}

} // namespace orioledoor::soak
