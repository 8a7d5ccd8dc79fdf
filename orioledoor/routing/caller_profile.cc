// Runs of requests with the same caller service, by request class.
#include "orioledoor/routing/caller_profile.h"

#include <algorithm>

#include "orioledoor/base/ids.h"

namespace orioledoor::routing {
namespace {

// A service has two to four routes with traffic.
constexpr std::size_t MaxClasses = 16;
// Length of a run after which a class has one caller service. If the VMs of the
// largest service are 54 % of all, 50 requests of a class that callers of all
// VMs send come from that service alone with a probability of 4e-14.
constexpr std::uint32_t MinRun = 50;

} // namespace

bool CallerProfile::hasOneCaller(const Caller &Entry) {
  return Entry.Run >= MinRun;
}

bool CallerProfile::hasSeveralCallers(const Caller &Entry) {
  return Entry.SeveralSeen && Entry.Run < MinRun;
}

void CallerProfile::note(RequestClassId RequestClass,
                         std::string_view CallerService) {
  std::uint64_t Service = stableHash(CallerService);
  auto Found =
      std::ranges::find(this->Callers, RequestClass, &Caller::RequestClass);
  if (Found == this->Callers.end()) {
    if (this->Callers.size() >= MaxClasses)
      this->Callers.erase(this->Callers.begin());
    this->Callers.push_back({RequestClass, Service});
  } else {
    std::rotate(Found, Found + 1, this->Callers.end());
  }
  Caller &Entry = this->Callers.back();
  if (Entry.Service != Service) {
    Entry.Service = Service;
    Entry.Run = 0;
    Entry.SeveralSeen = true;
  }
  if (Entry.Run < MinRun)
    ++Entry.Run;
}

bool CallerProfile::isCallOfRunningWork(RequestClassId RequestClass) const {
  auto Found =
      std::ranges::find(this->Callers, RequestClass, &Caller::RequestClass);
  return Found != this->Callers.end() && hasOneCaller(*Found) &&
         std::ranges::any_of(this->Callers, hasSeveralCallers);
}

} // namespace orioledoor::routing
