// A gate with a target of two slots, for tests.
#ifndef ORIOLEDOOR_ROUTING_TESTING_GATE_FIXTURE_H
#define ORIOLEDOOR_ROUTING_TESTING_GATE_FIXTURE_H

#include <cstdint>
#include <memory>
#include <string>

#include "orioledoor/routing/target_gate.h"

namespace orioledoor::routing::testing {

// Node that sends the requests.
inline constexpr char Peer[] = "tcp://10.0.0.2:7100";
inline constexpr std::uint64_t BodyBytes = 60'000;

// The gate, its clock, and the effects of the last call.
class GateFixture {
public:
  // At 1.25 MB/s the link transfers a body of 60 KB in 48 ms.
  explicit GateFixture(double LinkBytesPerSecond = 0,
                       std::uint64_t AnswerMemoryBytes = 0)
      : Gate({.Node = "tcp://10.0.0.1:7100",
              .Process = 1,
              .LinkBytesPerSecond = LinkBytesPerSecond,
              .AnswerMemoryBytes = AnswerMemoryBytes}) {
    this->report(1);
  }

  TargetReport reportOf(std::int64_t Sequence,
                        std::int64_t StartTimeMs = 1) const {
    TargetReport Report;
    Report.Instance = "i-1";
    Report.Service = "plain";
    Report.Slots = 2;
    Report.StartTimeMs = StartTimeMs;
    Report.Sequence = Sequence;
    return Report;
  }
  ReportVerdict report(std::int64_t Sequence, std::int64_t StartTimeMs = 1,
                       bool Draining = false) {
    TargetReport Report = this->reportOf(Sequence, StartTimeMs);
    Report.Draining = Draining;
    this->Out.clear();
    return this->Gate.handleReport(Report, this->Now, this->Out);
  }
  void forward(std::uint64_t Id, std::uint8_t Priority = 1,
               bool LastChoice = true,
               Duration LatencyLeft = std::chrono::milliseconds(400),
               KeyState Key = KeyState::NotKeyed,
               RequestClassId RequestClass = 0, Duration Delay = Duration(0)) {
    auto Content = std::make_shared<RequestContent>();
    Content->Target = "/x/" + std::to_string(this->Path);
    this->Out.clear();
    this->Gate.handleForward(Peer,
                             {.Id = Id,
                              .Process = 9,
                              .Service = "plain",
                              .AttemptId = "a" + std::to_string(Id),
                              .TimeLeft = std::chrono::milliseconds(2000),
                              .LatencyLeft = LatencyLeft,
                              .Priority = Priority,
                              .LastChoice = LastChoice,
                              .RequestClass = RequestClass,
                              .RepeatPercent = this->RepeatPercent,
                              .Content = Content},
                             Key, this->Now, this->Out, Delay);
  }
  // Forwards a request that arrives late.
  void forwardLate(std::uint64_t Id, Duration Delay) {
    this->forward(Id, 1, true, std::chrono::milliseconds(1500),
                  KeyState::NotKeyed, 0, Delay);
  }
  // Forwards a request whose body is withheld by its sender.
  void forwardWithheld(std::uint64_t Id, Duration Delay = Duration(0)) {
    auto Content = std::make_shared<RequestContent>();
    this->Out.clear();
    this->Gate.handleForward(Peer,
                             {.Id = Id,
                              .Process = 9,
                              .Service = "plain",
                              .AttemptId = "a" + std::to_string(Id),
                              .TimeLeft = std::chrono::milliseconds(2000),
                              .LatencyLeft = std::chrono::milliseconds(400),
                              .LastChoice = true,
                              .WithheldBytes = BodyBytes,
                              .Content = Content},
                             KeyState::NotKeyed, this->Now, this->Out, Delay);
  }
  void receiveBody(std::uint64_t Id, Duration Delay = Duration(0)) {
    this->Out.clear();
    this->Gate.handleBody(
        {.Id = Id, .Process = 9, .Body = std::string(BodyBytes, 'x')},
        this->Now, this->Out, Delay);
  }
  void cancel(std::uint64_t Id) {
    this->Out.clear();
    this->Gate.handleCancel(Peer, {.Id = Id, .Process = 9}, this->Now,
                            this->Out);
  }
  void confirm(std::uint64_t Id,
               Duration TimeLeft = std::chrono::milliseconds(1500)) {
    this->Out.clear();
    this->Gate.handleConfirmed({.Id = Id, .Process = 9, .TimeLeft = TimeLeft},
                               this->Now, this->Out);
  }
  // Returns the request whose body was requested; 0 if there is none.
  std::uint64_t fetchedId() const {
    for (const Effect &Output : this->Out)
      if (const auto *Message = std::get_if<SendMessage>(&Output))
        if (const auto *Found = std::get_if<FetchBody>(&Message->Body))
          return Found->Id;
    return 0;
  }
  std::uint64_t startedCallId() const {
    for (const Effect &Output : this->Out)
      if (const auto *Found = std::get_if<StartCall>(&Output))
        return Found->CallId;
    return 0;
  }
  Duration startedTimeLeft() const {
    for (const Effect &Output : this->Out)
      if (const auto *Found = std::get_if<StartCall>(&Output))
        return Found->TimeLeft;
    return Duration(0);
  }
  std::string startedAttempt() const {
    for (const Effect &Output : this->Out)
      if (const auto *Found = std::get_if<StartCall>(&Output))
        return Found->AttemptId;
    return {};
  }
  const ForwardResult *result() const {
    for (const Effect &Output : this->Out)
      if (const auto *Message = std::get_if<SendMessage>(&Output))
        if (const auto *Found = std::get_if<ForwardResult>(&Message->Body))
          return Found;
    return nullptr;
  }
  bool endedWith(Outcome Code) const {
    return this->result() && this->result()->Code == Code;
  }
  void answer(std::uint64_t CallId,
              Duration ServiceTime = std::chrono::milliseconds(100)) {
    this->Now = this->Now + ServiceTime;
    this->Out.clear();
    this->Gate.handleAnswer(CallId, {200, {}, ""}, false, this->Now, this->Out);
  }
  void advance(Duration Time) {
    this->Now = this->Now + Time;
    this->Out.clear();
    this->Gate.tick(this->Now, this->Out);
  }

  Instant Now{std::int64_t{1'000'000}};
  TargetGate Gate;
  Effects Out;
  // As in Forward, for the next requests.
  std::uint8_t RepeatPercent = 0;
  int Path = 0;
};

// Returns the first message of this type.
template <typename T> const T *findMessage(const Effects &Out) {
  for (const Effect &Output : Out)
    if (const auto *Message = std::get_if<SendMessage>(&Output))
      if (const auto *Found = std::get_if<T>(&Message->Body))
        return Found;
  return nullptr;
}

} // namespace orioledoor::routing::testing

#endif // ORIOLEDOOR_ROUTING_TESTING_GATE_FIXTURE_H
