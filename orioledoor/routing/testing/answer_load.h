// Requests with large and small answers for one target behind a slow link, in
// virtual time. The link transfers what the gate hands over in order, so a
// small message waits for everything that was handed over before it.
//
//   AnswerLoad Load({.Scale = 1.7});
//   Load.run(std::chrono::seconds(20));
//   Duration Longest = Load.LongestBacklog;
#ifndef ORIOLEDOOR_ROUTING_TESTING_ANSWER_LOAD_H
#define ORIOLEDOOR_ROUTING_TESTING_ANSWER_LOAD_H

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>

#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing::testing {

// One kind of request. Defaults are per target of a service with 11 targets.
struct AnswerKind {
  double PerSecond = 0;
  std::uint64_t Bytes = 0;
  Duration ServiceTime{0};
  Duration LatencyTarget{0};
  Duration TimeLeft{0};
  std::uint8_t Priority = 0;
};

struct AnswerLoadOptions {
  double Scale = 1;
  double LinkBytesPerSecond = 1'250'000;
  std::uint32_t Slots = 12;
  // Large answers have between no bytes and six times the mean.
  bool SizesVary = false;
  // Kind 0: 144 archives/s for 11 targets; kind 1: 353 tariffs/s.
  AnswerKind Kinds[2] = {{.PerSecond = 144.0 / 11,
                          .Bytes = 90'000,
                          .ServiceTime = std::chrono::milliseconds(210),
                          .LatencyTarget = std::chrono::milliseconds(1000),
                          .TimeLeft = std::chrono::milliseconds(2500),
                          .Priority = 1},
                         {.PerSecond = 353.0 / 11,
                          .Bytes = 5'000,
                          .ServiceTime = std::chrono::milliseconds(100),
                          .LatencyTarget = std::chrono::milliseconds(500),
                          .TimeLeft = std::chrono::milliseconds(1200),
                          .Priority = 0}};
};

// Not thread-safe. Deterministic.
class AnswerLoad {
public:
  explicit AnswerLoad(AnswerLoadOptions Options)
      : Options(Options),
        Gate({.Node = "tcp://10.0.0.1:7100",
              .Process = 1,
              .LinkBytesPerSecond = Options.LinkBytesPerSecond}) {
    TargetReport Report;
    Report.Instance = "i-1";
    Report.Service = "plain";
    Report.Slots = this->Options.Slots;
    Report.StartTimeMs = Report.Sequence = 1;
    Effects Out;
    this->Gate.handleReport(Report, this->Now, Out);
  }

  struct Counts {
    std::size_t Sent = 0;
    std::size_t Refused = 0;
    // Answers that arrived within the latency target, or within the deadline.
    std::size_t InTime = 0;
    std::size_t Answered = 0;
  };

  void run(Duration Time) {
    constexpr Duration Step = std::chrono::milliseconds(1);
    for (Instant End = this->Now + Time; this->Now < End;) {
      this->Now = this->Now + Step;
      this->Backlog = std::max(
          0.0, this->Backlog - this->Options.LinkBytesPerSecond * 1e-3);
      this->answerEndedCalls();
      for (int Kind = 0; Kind < 2; ++Kind) {
        this->Due[Kind] +=
            this->Options.Kinds[Kind].PerSecond * this->Options.Scale * 1e-3;
        for (; this->Due[Kind] >= 1; this->Due[Kind] -= 1)
          this->sendRequest(Kind);
      }
      Effects Out;
      if (this->Now.micros() % 20'000 == 0)
        this->Gate.tick(this->Now, Out);
      this->execute(Out);
      this->LongestBacklog =
          std::max(this->LongestBacklog, this->transferTime(this->Backlog));
    }
  }

  Instant Now{std::int64_t{1'000'000}};
  Counts Results[2];
  // Longest time that a message would have waited in the transport.
  Duration LongestBacklog{0};

private:
  struct Request {
    int Kind = 0;
    Instant SentAt;
  };

  Duration transferTime(double Bytes) const {
    return Duration(static_cast<std::int64_t>(
        Bytes * 1e6 / this->Options.LinkBytesPerSecond));
  }

  void sendRequest(int Kind) {
    const AnswerKind &Sent = this->Options.Kinds[Kind];
    auto Content = std::make_shared<RequestContent>();
    Content->Target = std::to_string(this->NextRequest);
    std::uint64_t Id = this->NextRequest++;
    this->Open[Id] = {Kind, this->Now};
    ++this->Results[Kind].Sent;
    Effects Out;
    this->Gate.handleForward(
        "tcp://10.0.0.2:7100",
        {.Id = Id,
         .Process = 9,
         .Service = "plain",
         .AttemptId = std::to_string(Id),
         .TimeLeft = Sent.TimeLeft,
         .LatencyLeft = Sent.LatencyTarget,
         .Priority = Sent.Priority,
         .LastChoice = true,
         .RequestClass = static_cast<RequestClassId>(Kind + 1),
         .Content = Content},
        KeyState::NotKeyed, this->Now, Out);
    this->execute(Out);
  }

  std::size_t sizeOf(int Kind) {
    auto Mean = static_cast<double>(this->Options.Kinds[Kind].Bytes);
    if (!this->Options.SizesVary || this->Options.Kinds[Kind].Bytes < 8192)
      return static_cast<std::size_t>(Mean);
    return static_cast<std::size_t>(std::min(
        6 * Mean, std::exponential_distribution<>(1 / Mean)(this->Random)));
  }

  void answerEndedCalls() {
    while (!this->Ends.empty() && this->Ends.begin()->first <= this->Now) {
      auto [Call, Kind] = this->Ends.begin()->second;
      this->Ends.erase(this->Ends.begin());
      Effects Out;
      this->Gate.handleSignals(Call, {}, this->Now, Out);
      this->Gate.handleAnswer(Call,
                              {200, {}, std::string(this->sizeOf(Kind), 'x')},
                              false, this->Now, Out);
      this->execute(Out);
    }
  }

  void execute(const Effects &Out) {
    for (const Effect &Output : Out) {
      if (const auto *Call = std::get_if<StartCall>(&Output)) {
        int Kind = this->Open.at(std::stoull(Call->AttemptId)).Kind;
        this->Ends.emplace(this->Now + this->Options.Kinds[Kind].ServiceTime,
                           std::pair(Call->CallId, Kind));
      }
      const auto *Message = std::get_if<SendMessage>(&Output);
      const auto *Result =
          Message ? std::get_if<ForwardResult>(&Message->Body) : nullptr;
      if (!Result)
        continue;
      Request Ended = this->Open.at(Result->Id);
      this->Open.erase(Result->Id);
      Counts &Kind = this->Results[Ended.Kind];
      if (Result->Code != Outcome::Answered) {
        ++Kind.Refused;
        continue;
      }
      this->Backlog += static_cast<double>(Result->Answer.Body.size());
      Duration Took =
          this->Now - Ended.SentAt + this->transferTime(this->Backlog);
      const AnswerKind &Spec = this->Options.Kinds[Ended.Kind];
      Kind.InTime += Took <= Spec.LatencyTarget;
      Kind.Answered += Took <= Spec.TimeLeft;
    }
  }

  AnswerLoadOptions Options;
  TargetGate Gate;
  std::minstd_rand Random{1};
  // Fraction of the next request of each kind that is due.
  double Due[2] = {0, 0};
  // Bytes that were handed to the transport and have not left.
  double Backlog = 0;
  std::uint64_t NextRequest = 1;
  std::unordered_map<std::uint64_t, Request> Open;
  // Calls in progress, with their kinds, by the time at which they end.
  std::multimap<Instant, std::pair<std::uint64_t, int>> Ends;
};

} // namespace orioledoor::routing::testing

#endif // ORIOLEDOOR_ROUTING_TESTING_ANSWER_LOAD_H
