// The gate before the target beside this node. No request reaches the target
// but through here, so its slots, its life and its leaving are known exactly.
//
//   Gate.report(Report, Now, Out);
//   Gate.forward("tcp://10.1.0.9:7620", Forward, KeyHeld, Now, Out);
//   Gate.answered(Call, Answer, Now, Out);
//
// Every forwarded request ends with one ForwardResult to its sender, unless
// the sender cancelled it.
#ifndef ORIOLEDOOR_ROUTING_TARGET_GATE_H
#define ORIOLEDOOR_ROUTING_TARGET_GATE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "orioledoor/routing/admission_queue.h"
#include "orioledoor/routing/body_intake.h"
#include "orioledoor/routing/crash_guard.h"
#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/recent_results.h"

namespace orioledoor::routing {

struct TargetGateOptions {
  // Peer address of this node.
  std::string Node{};
  // A leaving target gets no new work this long after it was acknowledged.
  Duration DrainTime = std::chrono::seconds(2);
  // A target that refused a connection counts as absent if it has not reported
  // for this long: two intervals of its reports.
  Duration SilenceTime = std::chrono::milliseconds(1800);
  // Identifies this process in what it tells other nodes.
  std::uint64_t Process = 0;
  // The link of this VM; 0: not known.
  double LinkBytesPerSecond = 0;
};

enum class ReportVerdict { Current, NewLife, Late };

// How a call of the target ended without a whole answer.
enum class CallFailure {
  // No byte was written.
  NotSent,
  // The connection broke or the answer was not whole.
  Broken,
  // No answer in the time that the target was given.
  TimedOut,
};

// Whether a keyed request's key is held by the target.
enum class KeyState { NotKeyed, Held, NotHeld };

// Not thread-safe; no clock, socket or random source.
class TargetGate {
public:
  explicit TargetGate(TargetGateOptions Options);

  // A heartbeat of the target arrived.
  ReportVerdict report(const TargetReport &Report, Instant Now, Effects &Out);
  // The target announced its end without a report.
  void leave(std::string_view Instance, Instant Now, Effects &Out);

  // From is the peer address of the sender.
  void forward(const std::string &From, Forward Request, KeyState Key,
               Instant Now, Effects &Out);
  // The body that was asked for has come.
  void receiveBody(ForwardBody Received, Instant Now, Effects &Out);
  void cancel(const std::string &From, const CancelForward &Cancelled,
              Instant Now, Effects &Out);
  // The sender's connection broke while the request was open.
  void resume(const std::string &From, const ResumeForward &Resumed,
              Instant Now, Effects &Out);
  void answered(std::uint64_t Call, HttpAnswer Answer, bool NotRun, Instant Now,
                Effects &Out);
  void failed(std::uint64_t Call, CallFailure Failure, std::string_view Detail,
              Instant Now, Effects &Out);
  // Another node saw a crash.
  void noteCrash(const CrashNotice &Notice, Instant Now);
  // Refuses everything new from now on: the process is about to exit.
  void close(Instant Now, Effects &Out);
  // Call every 20 to 100 ms.
  void tick(Instant Now, Effects &Out);

  // As sent to other nodes.
  TargetStatus status(Instant Now) const;
  // The target's life; empty if none reported.
  const TargetRef &target() const { return this->Target; }
  TargetState state() const { return this->State; }
  std::string_view service() const { return this->Report.Service; }
  std::size_t openRequests() const { return this->Calls.size(); }
  const AdmissionQueue &queue() const { return this->Queue; }

private:
  struct Call {
    std::string From;
    Forward Request;
    // When the sender's time is over.
    Instant Deadline;
    std::uint64_t Digest = 0;
    // While the body is withheld; then when it was asked for.
    bool Fetching = false;
    Instant FetchedAt;
    // Its place in the queue, and when starting it is not worth it any more.
    QueueRank Rank;
    Instant StartBy;
    bool Started = false;
    Instant StartedAt;
  };

  // The outcome that refuses Request at once, if any.
  std::optional<Outcome> refusalOf(const Forward &Request, KeyState Key,
                                   std::uint64_t Digest, Instant Now) const;
  void start(std::uint64_t Id, Instant Now, Effects &Out);
  void startWaiting(Instant Now, Effects &Out);
  // Starts a call that is complete, or lets it wait for a slot.
  void admit(std::uint64_t Id, Instant Now, Effects &Out);
  // Asks for bodies that the link has room for.
  void fetchBodies(Instant Now, Effects &Out);
  // Ends calls that waited too long for a slot or for their bodies.
  void endOverdue(Instant Now, Effects &Out);
  // Ends all calls that did not start.
  void refuseWaiting(Instant Now, Effects &Out);
  void end(std::uint64_t Id, ForwardResult Result, Instant Now, Effects &Out);
  void refuse(const std::string &From, const Forward &Request, Outcome Why,
              Duration RetryAfter, Instant Now, Effects &Out);
  void leaveAt(Instant Now, Effects &Out);
  void noteOutcome(bool Failed);
  // How long a request of this work is expected to hold a slot.
  Duration expectedTime(WorkId Work, Instant Now) const;

  TargetGateOptions Options;
  TargetRef Target;
  TargetReport Report;
  TargetState State = TargetState::Absent;
  // When new work ends; only while State is Leaving.
  Instant DrainEnds;
  bool Drained = false;
  Instant LastReport;
  // The newest call could not be sent.
  bool ConnectionRefused = false;
  bool Closed = false;
  AdmissionQueue Queue;
  BodyIntake Intake;
  WorkTimes Times;
  CrashGuard Crashes;
  float FailureShare = 0;
  std::uint64_t NextCall = 1;
  mutable std::uint64_t NextSequence = 1;
  // Invariant: a call is in Intake, in Queue as waiting, or holds a slot.
  std::map<std::uint64_t, Call> Calls;
  std::map<ForwardKey, std::uint64_t> ByForward;
  RecentResults Recent;
  // Requests that their senders were told never came.
  std::map<ForwardKey, Instant> Disowned;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_GATE_H
