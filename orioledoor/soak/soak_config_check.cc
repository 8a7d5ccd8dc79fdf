// The pace of changes and questions, and which answers count.
#include "orioledoor/soak/soak_config_check.h"

#include "orioledoor/platform/names.h"
#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/soak/soak_judge.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration ChangeInterval = milliseconds(1700);
constexpr Duration AskInterval = milliseconds(250);
// The platform's bounds: a change is in force this long after it was
// acknowledged, at VMs that were undisturbed for ContactTime.
constexpr Duration ConfigurationTime = milliseconds(2000);
constexpr Duration ContactTime = milliseconds(3000);
constexpr milliseconds Deadline(800);

} // namespace

void SoakConfigCheck::step(Instant Now) {
  if (Now >= this->NextChangeAt) {
    this->NextChangeAt = Now + ChangeInterval;
    this->Fleet.configure();
  }
  if (Now < this->NextAskAt)
    return;
  this->NextAskAt = Now + AskInterval;
  std::uint64_t Newest = this->Fleet.versionBefore(Now - ConfigurationTime);
  // A later version that is in force already may have dropped the route.
  if (Newest == 0 || this->Fleet.versionBefore(Now) - Newest > VersionsKept / 2)
    return;
  for (std::size_t I = 0; I < this->Fleet.size(); ++I) {
    const SoakNode &Node = this->Fleet.node(I);
    if (Now - Node.OwnFaultUntil < ContactTime || !Node.Process->running() ||
        Node.Stopping)
      continue;
    this->ask(I, versionPrefix(Newest), true);
    if (Newest > VersionsKept)
      this->ask(I, versionPrefix(Newest - VersionsKept), false);
  }
}

void SoakConfigCheck::ask(std::size_t Index, const std::string &Path,
                          bool Exists) {
  wire::HttpCall Call{.Server = this->Fleet.node(Index).Outbound,
                      .Method = "GET",
                      .Target = Path + "x",
                      .Host = Host,
                      .Timeout = Deadline};
  Call.Headers = {
      {platform::names::AttemptId, "c-" + std::to_string(++this->LastAttempt)},
      {platform::names::DeadlineRemaining, std::to_string(Deadline.count())}};
  this->Fleet.client().call(
      Call, [this, Index, Path, Exists](const wire::HttpResult &Result) {
        if (Result.Failure)
          return;
        ++this->Judged;
        this->Judge.routed(this->Fleet.node(Index).Name, Path, Exists,
                           Result.Answer.Status, readClock());
      });
}

} // namespace orioledoor::soak
