// Results by request, reduced and evicted in order of age.
#include "orioledoor/routing/recent_results.h"

namespace orioledoor::routing {
namespace {

using std::chrono::seconds;

// Senders detect a broken connection within 4 s, also over a slow link, and
// then send ResumeForward over a new connection.
constexpr Duration WholeTime = seconds(4);
// Limits the memory for kept answers to 8 MB at 30 KB per answer.
constexpr std::size_t MaxWhole = 256;
// Longer than VouchTime by the time that a ResumeForward may be in flight.
constexpr Duration KnownTime = seconds(12);
constexpr Duration VouchTime = seconds(8);
// A result takes about 100 bytes. A target with 18 slots and 40 ms per request
// completes 5,400 requests within KnownTime.
constexpr std::size_t MaxKnown = 8192;

} // namespace

void RecentResults::add(ForwardKey Key, const ForwardResult &Result,
                        Instant Now) {
  if (this->Known.size() >= MaxKnown) {
    this->Results.erase(this->Known.front().second);
    this->Known.pop_front();
    this->ForgotAt = Now;
    this->Forgot = true;
  }
  this->Results[Key] = Result;
  this->Known.emplace_back(Now, Key);
  this->Whole.emplace_back(Now, Key);
  if (this->Whole.size() > MaxWhole) {
    this->shorten(this->Whole.front().second);
    this->Whole.pop_front();
  }
}

void RecentResults::shorten(ForwardKey Key) {
  auto Found = this->Results.find(Key);
  if (Found == this->Results.end() || Found->second.Ended != Outcome::Answered)
    return;
  ForwardResult Short{.Id = Found->second.Id,
                      .Ended = Outcome::Lost,
                      .Detail = "the answer is not kept any more"};
  Short.Status = Found->second.Status;
  Found->second = std::move(Short);
}

const ForwardResult *RecentResults::find(ForwardKey Key) const {
  auto Found = this->Results.find(Key);
  return Found == this->Results.end() ? nullptr : &Found->second;
}

bool RecentResults::vouches(Duration SentAgo, Instant Now) const {
  return SentAgo <= VouchTime &&
         (!this->Forgot || Now - this->ForgotAt > KnownTime);
}

void RecentResults::tick(Instant Now) {
  while (!this->Whole.empty() && Now - this->Whole.front().first > WholeTime) {
    this->shorten(this->Whole.front().second);
    this->Whole.pop_front();
  }
  while (!this->Known.empty() && Now - this->Known.front().first > KnownTime) {
    this->Results.erase(this->Known.front().second);
    this->Known.pop_front();
  }
}

} // namespace orioledoor::routing
