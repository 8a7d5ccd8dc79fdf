// Keyed requests at a constant rate for one target, in virtual time. The target
// can limit its request rate, be cold or leave, and the node beside it can be
// restarted.
//
//   TargetLoad Load({.RequestsPerSecond = 110});
//   Load.setLimit(35);
//   Load.run(std::chrono::seconds(10));
//   std::size_t Most = Load.mostStartsIn(std::chrono::seconds(4), From);
#ifndef ORIOLEDOOR_ROUTING_TESTING_TARGET_LOAD_H
#define ORIOLEDOOR_ROUTING_TESTING_TARGET_LOAD_H

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing::testing {

struct TargetLoadOptions {
  double RequestsPerSecond = 110;
  std::uint32_t Slots = 13;
  Duration ServiceTime = std::chrono::milliseconds(70);
  Duration LatencyTarget = std::chrono::milliseconds(250);
  Duration TimeLeft = std::chrono::seconds(1);
  // Requests per second that a cold target tolerates; 0 if it is not limited.
  double ColdPerSecond = 0;
  double ColdOverage = 0;
  double ColdSlack = 0;
  // Time for which the target is cold after its start.
  Duration ColdTime = std::chrono::seconds(3);
};

// Not thread-safe. Deterministic.
class TargetLoad {
public:
  explicit TargetLoad(TargetLoadOptions Options) : Options(Options) {
    this->restartNode();
  }

  // Limit that the target states in its answers from now on.
  void setLimit(std::optional<double> RequestsPerSecond) {
    this->Limit = RequestsPerSecond;
  }

  // States in the target's answers from now on whether it is leaving.
  void setLeaving(bool Leaves) { this->Leaving = Leaves; }

  // Replaces the process beside the target; calls in progress are lost.
  void restartNode() {
    this->Ends.clear();
    this->Gate = std::make_unique<TargetGate>(
        TargetGateOptions{.Node = "tcp://10.0.0.1:7100",
                          .Process = ++this->Process,
                          .ColdOverage = this->Options.ColdOverage,
                          .ColdSlack = this->Options.ColdSlack});
    auto Table = std::make_shared<RouteTable>();
    Table->Services["keyed"] = {.Name = "keyed",
                                .Partitioned = true,
                                .ColdRequestsPerSecond =
                                    this->Options.ColdPerSecond,
                                .ColdTime = this->Options.ColdTime};
    this->Gate->setTable(std::move(Table));
    this->report(this->ColdRemaining);
  }

  // Reports the remaining cold time to the node, and for later restarts of it.
  void report(Duration Remaining) {
    this->ColdRemaining = Remaining;
    TargetReport Report;
    Report.Instance = "i-1";
    Report.Service = "keyed";
    Report.Slots = this->Options.Slots;
    Report.StartTimeMs = this->StartTimeMs;
    Report.ColdRemaining = Remaining;
    Report.Sequence = ++this->ReportSequence;
    Effects Out;
    this->Gate->handleReport(Report, this->Now, Out);
    this->execute(Out);
  }

  // The target restarts and reports the remaining cold time. The connections of
  // its calls break before or after the report.
  void restartTarget(Duration Remaining, bool BreaksFirst) {
    ++this->StartTimeMs;
    if (!BreaksFirst)
      this->report(Remaining);
    this->failCalls(CallFailure::Broken);
    if (BreaksFirst)
      this->report(Remaining);
  }

  // Ends all calls without an answer.
  void failCalls(CallFailure Failure) {
    for (const auto &[End, Call] : std::exchange(this->Ends, {})) {
      Effects Out;
      this->Gate->handleCallFailure(Call, Failure, "", this->Now, Out);
      this->execute(Out);
    }
  }

  const TargetGate &gate() const { return *this->Gate; }

  void run(Duration Time) {
    constexpr Duration Step = std::chrono::milliseconds(1);
    constexpr Duration TickInterval = std::chrono::milliseconds(20);
    for (Instant End = this->Now + Time; this->Now < End;) {
      this->Now = this->Now + Step;
      this->answerEndedCalls();
      this->Due += this->Options.RequestsPerSecond * Step.count() / 1e6;
      for (; this->Due >= 1; this->Due -= 1)
        this->sendRequest();
      if (this->Now.micros() % TickInterval.count() == 0) {
        Effects Out;
        this->Gate->tick(this->Now, Out);
        this->execute(Out);
      }
    }
  }

  // Highest number of requests that the target got in any Window that begins
  // at From or later.
  std::size_t mostStartsIn(Duration Window, Instant From) const {
    std::size_t Most = 0;
    auto First = std::ranges::lower_bound(this->Starts, From);
    for (auto Begin = First; Begin != this->Starts.end(); ++Begin)
      Most =
          std::max(Most, static_cast<std::size_t>(
                             std::ranges::lower_bound(Begin, this->Starts.end(),
                                                      *Begin + Window) -
                             Begin));
    return Most;
  }
  // Number of requests that the target got from From on.
  std::size_t startsFrom(Instant From) const {
    return static_cast<std::size_t>(
        this->Starts.end() - std::ranges::lower_bound(this->Starts, From));
  }

  Instant Now{std::int64_t{1'000'000}};
  // Requests that were refused without reaching the target.
  std::size_t Refused = 0;
  Duration LongestWaitOfRefused{0};
  Duration ShortestRetryAfter = std::chrono::hours(1);

private:
  void sendRequest() {
    auto Content = std::make_shared<RequestContent>();
    Content->Target = "/x/" + std::to_string(this->NextRequest);
    std::uint64_t Id = this->NextRequest++;
    this->SentAt[Id] = this->Now;
    Effects Out;
    this->Gate->handleForward("tcp://10.0.0.2:7100",
                              {.Id = Id,
                               .Process = 9,
                               .Service = "keyed",
                               .AttemptId = std::to_string(Id),
                               .TimeLeft = this->Options.TimeLeft,
                               .LatencyLeft = this->Options.LatencyTarget,
                               .Key = 1,
                               .Priority = 1,
                               .Idempotent = true,
                               .LastChoice = true,
                               .Content = Content},
                              KeyState::Held, this->Now, Out);
    this->execute(Out);
  }

  void answerEndedCalls() {
    while (!this->Ends.empty() && this->Ends.begin()->first <= this->Now) {
      std::uint64_t Call = this->Ends.begin()->second;
      this->Ends.erase(this->Ends.begin());
      Effects Out;
      this->Gate->handleSignals(
          Call, {.Leaving = this->Leaving, .RateLimit = this->Limit}, this->Now,
          Out);
      this->Gate->handleAnswer(Call, {200, {}, ""}, false, this->Now, Out);
      this->execute(Out);
    }
  }

  void execute(const Effects &Out) {
    for (const Effect &Output : Out) {
      if (const auto *Call = std::get_if<StartCall>(&Output)) {
        this->Starts.push_back(this->Now);
        this->Ends.emplace(this->Now + this->Options.ServiceTime, Call->CallId);
      }
      const auto *Message = std::get_if<SendMessage>(&Output);
      const auto *Result =
          Message ? std::get_if<ForwardResult>(&Message->Body) : nullptr;
      if (!Result || Result->Code == Outcome::Answered)
        continue;
      ++this->Refused;
      this->LongestWaitOfRefused = std::max(
          this->LongestWaitOfRefused, this->Now - this->SentAt.at(Result->Id));
      this->ShortestRetryAfter =
          std::min(this->ShortestRetryAfter, Result->RetryAfter);
    }
  }

  TargetLoadOptions Options;
  std::optional<double> Limit;
  bool Leaving = false;
  Duration ColdRemaining{0};
  std::int64_t StartTimeMs = 1;
  std::uint64_t Process = 0;
  std::int64_t ReportSequence = 0;
  std::unique_ptr<TargetGate> Gate;
  // Fraction of the next request that is due.
  double Due = 0;
  std::uint64_t NextRequest = 1;
  std::map<std::uint64_t, Instant> SentAt;
  // Calls in progress by the time at which the target answers them.
  std::multimap<Instant, std::uint64_t> Ends;
  std::vector<Instant> Starts;
};

} // namespace orioledoor::routing::testing

#endif // ORIOLEDOOR_ROUTING_TESTING_TARGET_LOAD_H
