// Accounts of requests, runs and answers.
#include "orioledoor/sidecar/testing/model_traffic.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace orioledoor::sidecar::testing {
namespace {

using std::chrono::milliseconds;

constexpr char Host[] = "model";
constexpr char ReadPath[] = "/read/";
constexpr char WritePath[] = "/write/";
// Time that callers wait, and the part of it in which an answer without a
// target's answer may end a request: its deadline is near.
constexpr Duration TimeLeft = milliseconds(2000);
constexpr Duration DeadlineMargin = milliseconds(200);
// Time for an answer to reach the caller after a silent connection was noticed
// twice.
constexpr Duration MaxDeliveryTime = milliseconds(1200);
// The platform's bound on requests that reach a target after their caller left.
constexpr Duration MaxRunAfterLeave = milliseconds(500);

routing::Route makeRoute(const char *Prefix, bool Idempotent) {
  routing::Route Route{.Name = Prefix, .Host = Host, .Prefix = Prefix};
  Route.Services = {{TrafficService, 1}};
  Route.Idempotent = Idempotent;
  Route.Timeout = TimeLeft;
  Route.TargetLatency = milliseconds(1500);
  Route.Attempts = 2;
  return Route;
}

} // namespace

routing::SharedRouteTable trafficTable(std::uint64_t Version) {
  auto Table = std::make_shared<routing::RouteTable>();
  Table->Version = Version;
  Table->Services[TrafficService] = {TrafficService, "/health", 130, false};
  Table->add(makeRoute(ReadPath, true));
  Table->add(makeRoute(WritePath, false));
  Table->finish();
  return Table;
}

CallerRequestReceived ModelTraffic::addRequest(std::uint64_t Process,
                                               bool Idempotent, Instant Now) {
  std::uint64_t Caller = this->NextCaller++;
  Request &Added = this->Requests[Caller];
  Added.Process = Process;
  Added.Idempotent = Idempotent;
  Added.SentAt = Now;
  auto Content = std::make_shared<routing::RequestContent>();
  Content->Host = Host;
  Content->Target =
      std::string(Idempotent ? ReadPath : WritePath) + std::to_string(Caller);
  return {{.Caller = Caller,
           .AttemptId = std::to_string(Caller),
           .TimeLeft = TimeLeft,
           .FirstByteAt = Now,
           .Content = std::move(Content)}};
}

void ModelTraffic::recordStart(std::string_view AttemptId, int Vm,
                               Instant Now) {
  std::uint64_t Caller = 0;
  std::from_chars(AttemptId.data(), AttemptId.data() + AttemptId.size(),
                  Caller);
  auto Found = this->Requests.find(Caller);
  std::string Problem;
  if (Found == this->Requests.end()) {
    Problem = "after its end";
  } else {
    Request &Started = Found->second;
    Started.RunAt.push_back(Vm);
    if (Started.RunAt.size() > 1 && !Started.Idempotent)
      Problem = "twice";
    if (Started.LeftAt && !Started.VmLost &&
        Now - *Started.LeftAt > MaxRunAfterLeave)
      Problem = "after its caller has left";
  }
  if (!Problem.empty())
    this->Failure = "request " + std::string(AttemptId) + " runs " + Problem +
                    ", at " + std::to_string(Now.micros() / 1000) + " ms";
}

void ModelTraffic::recordRunEnd(std::string_view AttemptId, Instant EndsAt) {
  std::uint64_t Caller = 0;
  std::from_chars(AttemptId.data(), AttemptId.data() + AttemptId.size(),
                  Caller);
  auto Found = this->Requests.find(Caller);
  if (Found != this->Requests.end() && !Found->second.RunEndsAt)
    Found->second.RunEndsAt = EndsAt;
}

void ModelTraffic::recordLoss(int Vm, std::uint64_t Process) {
  for (auto &[Caller, Request] : this->Requests)
    if (Request.Process == Process ||
        std::ranges::find(Request.RunAt, Vm) != Request.RunAt.end())
      Request.VmLost = true;
}

bool ModelTraffic::leave(std::uint64_t Caller, Instant Now) {
  auto Found = this->Requests.find(Caller);
  if (Found == this->Requests.end() || Found->second.LeftAt)
    return false;
  Found->second.LeftAt = Now;
  return true;
}

void ModelTraffic::checkLost(std::uint64_t Caller, const Request &Ended,
                             const std::string &How, Instant Now) {
  if (Ended.VmLost || Ended.LeftAt)
    return;
  if (Ended.RunEndsAt && !this->LateAnswersAllowed &&
      Now - *Ended.RunEndsAt > MaxDeliveryTime)
    this->Failure = "request " + std::to_string(Caller) + " ended with " + How +
                    " although its target had answered, at " +
                    std::to_string(Now.micros() / 1000) + " ms";
  if (!Ended.RunAt.empty() && Now - Ended.SentAt < TimeLeft - DeadlineMargin)
    this->Failure = "request " + std::to_string(Caller) + " ended with " + How +
                    " while a target ran it, at " +
                    std::to_string(Now.micros() / 1000) + " ms";
}

void ModelTraffic::recordReply(std::uint64_t Caller, int Status, Instant Now) {
  auto Ended = this->Requests.extract(Caller);
  if (Ended.empty()) {
    this->Failure = "caller " + std::to_string(Caller) + " got two answers";
    return;
  }
  if (Status == 200)
    ++this->Answered;
  else
    this->checkLost(Caller, Ended.mapped(), std::to_string(Status), Now);
}

void ModelTraffic::recordExit(std::uint64_t Process, Instant Now) {
  for (const auto &[Caller, Request] : this->Requests)
    if (Request.Process == Process)
      this->checkLost(Caller, Request, "its connection", Now);
  std::erase_if(this->Requests, [Process](const auto &Entry) {
    return Entry.second.Process == Process;
  });
}

std::size_t ModelTraffic::openAt(std::uint64_t Process) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Requests, [Process](const auto &Entry) {
        return Entry.second.Process == Process && !Entry.second.LeftAt;
      }));
}

} // namespace orioledoor::sidecar::testing
