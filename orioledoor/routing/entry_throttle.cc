// Refusals at the entry node for want of room: throttled services, callers that
// repeat before their Retry-After is over, and the Retry-After itself.
#include <algorithm>
#include <string>

#include "orioledoor/base/ids.h"
#include "orioledoor/routing/entry.h"
#include "orioledoor/routing/events.h"

namespace orioledoor::routing {
namespace {

// Below this probability, requests of priority 0 are not throttled: targets
// start them first and refuse others instead.
constexpr double UrgentExemption = 0.9;
// Minimum Retry-After while a service is short of room; the same as that of a
// busy target.
constexpr Duration ShortRetryAfter = std::chrono::seconds(1);
// The demand for a hot key changes within seconds.
constexpr Duration HotKeyRetryAfter = std::chrono::seconds(1);
constexpr Duration ThrottleLogInterval = std::chrono::seconds(10);

// Maps a hash or random number to [0, 1).
double fraction(std::uint64_t Hash) {
  return static_cast<double>(Hash >> 11) * 0x1p-53;
}

// The body tells callers of a route without variable path apart.
std::uint64_t repeatHash(std::string_view Service, std::int32_t Key,
                         const RequestContent &Content) {
  std::string Name(Service);
  Name.append(1, '\0').append(Content.Method);
  Name.append(1, '\0').append(Content.Target);
  Name.append(1, '\0').append(std::to_string(Key));
  return stableHash(Name, stableHash(Content.Body));
}

} // namespace

EntryReducer::ServiceRoom *EntryReducer::roomOf(const PendingRequest &Pending) {
  // Each key has its own owner, so refusals of one say nothing about others.
  if (Pending.Partitioned)
    return nullptr;
  int Priority = Pending.MatchedRoute->Priority;
  return &this->Rooms
              .try_emplace({Pending.Service, Priority},
                           ServiceRoom{AdaptiveThrottle(
                               Priority <= 0 ? UrgentExemption : 0.0)})
              .first->second;
}

bool EntryReducer::refuseEarly(PendingRequest &Pending, Instant Now,
                               Effects &Out) {
  ServiceRoom *Room = this->roomOf(Pending);
  Pending.AcceptedAt = Now;
  Pending.RepeatHash = repeatHash(Pending.Service, Pending.Request.Key,
                                  *Pending.Request.Content);
  if (const auto *Earlier = this->Refused.find(Pending.RepeatHash, Now)) {
    bool Short = Room ? Room->Throttle.isShort(Now)
                      : Now - Earlier->RefusedAt < AdaptiveThrottle::ShortTime;
    if (Short) {
      // Neither a new request of the window nor a new refusal: a caller that
      // repeats does not change what others get.
      ++this->EarlyRepeats;
      this->refuse(Pending, "repeated before its Retry-After was over",
                   Earlier->Until - Now, Now, Out);
      return true;
    }
  }
  if (!Room)
    return false;
  double Probability = Room->Throttle.refusalProbability(Now);
  if (!Room->Throttle.shouldRefuse(fraction(this->Random()), Now)) {
    Room->Throttle.noteSent(Now);
    return false;
  }
  ++this->ThrottledRequests;
  if (!Room->LoggedAt || Now - *Room->LoggedAt >= ThrottleLogInterval) {
    Room->LoggedAt = Now;
    Out.push_back(LogRecord{
        &events::ServiceThrottled,
        {{"service", Pending.Service},
         {"priority", std::to_string(Pending.MatchedRoute->Priority)},
         {"percent", std::to_string(static_cast<int>(Probability * 100))}}});
  }
  this->refuseForRoom(Pending, "the service refuses most requests",
                      Room->Throttle.statedWait(), Now, Out);
  return true;
}

bool EntryReducer::refuseHotKey(PendingRequest &Pending, Instant Now,
                                Effects &Out) {
  // Further tries of a request that has passed pass as well.
  if (!Pending.TriedNodes.empty() ||
      this->HotKeys.allow(Pending.Service, Pending.Request.Key, Now))
    return false;
  this->refuseForRoom(Pending,
                      "the key gets more requests than its target can serve",
                      HotKeyRetryAfter, Now, Out);
  return true;
}

void EntryReducer::noteRefusedByTargets(const PendingRequest &Pending,
                                        Instant Now) {
  if (ServiceRoom *Room = this->roomOf(Pending))
    Room->Throttle.noteRefused(Pending.AcceptedAt, Pending.RetryAfter, Now);
}

void EntryReducer::noteAccepted(const PendingRequest &Pending) {
  if (ServiceRoom *Room = this->roomOf(Pending))
    Room->Throttle.noteAccepted(Pending.AcceptedAt);
}

void EntryReducer::refuseForRoom(PendingRequest &Pending,
                                 std::string_view Reason, Duration RetryAfter,
                                 Instant Now, Effects &Out) {
  // The spread keeps callers that were refused together from returning
  // together. It only lengthens the time, so none returns before there is room.
  Duration Base = std::max(RetryAfter, ShortRetryAfter);
  double Spread = fraction(stableHash(Pending.Request.AttemptId)) / 2;
  Duration Stated = Base + Duration(static_cast<std::int64_t>(
                               static_cast<double>(Base.count()) * Spread));
  if (!Pending.MayHaveRun)
    this->Refused.add(Pending.RepeatHash, Now + Stated, Now);
  this->refuse(Pending, Reason, Stated, Now, Out);
}

} // namespace orioledoor::routing
