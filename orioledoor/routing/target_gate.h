// Admission control for the target beside this node. All requests to the target
// pass through here, so the number of used slots and the state of the target
// are known exactly.
//
//   Gate.handleReport(Report, Now, Out);
//   Gate.handleForward("tcp://10.1.0.9:7620", Forward, KeyHeld, Now, Out);
//   Gate.handleAnswer(Call, Answer, NotRun, Now, Out);
//
// Each forwarded request ends with exactly one ForwardResult to its sender,
// unless the sender cancelled it. A large answer may leave some time after the
// call has ended, when the link has capacity for it.
#ifndef ORIOLEDOOR_ROUTING_TARGET_GATE_H
#define ORIOLEDOOR_ROUTING_TARGET_GATE_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "orioledoor/routing/admission_queue.h"
#include "orioledoor/routing/answer_link.h"
#include "orioledoor/routing/answer_sizes.h"
#include "orioledoor/routing/body_fetch_queue.h"
#include "orioledoor/routing/caller_profile.h"
#include "orioledoor/routing/cold_start_limit.h"
#include "orioledoor/routing/crash_guard.h"
#include "orioledoor/routing/effect.h"
#include "orioledoor/routing/hot_key_meter.h"
#include "orioledoor/routing/location.h"
#include "orioledoor/routing/placement_policy.h"
#include "orioledoor/routing/recent_results.h"
#include "orioledoor/routing/start_pacer.h"
#include "orioledoor/routing/target_departures.h"
#include "orioledoor/routing/target_evacuation.h"
#include "orioledoor/routing/target_signals.h"
#include "orioledoor/routing/target_slowdown.h"

namespace orioledoor::routing {

class RouteTable;

struct TargetGateOptions {
  // Peer address of this node.
  std::string Node{};
  // Time from the announcement that a target is leaving until it gets no new
  // requests.
  Duration DrainTime = std::chrono::seconds(2);
  // A target that refused a connection counts as absent if it has not reported
  // for this long, which is two of its report intervals.
  Duration SilenceTime = std::chrono::milliseconds(1800);
  // Id of this process in messages to other nodes.
  std::uint64_t Process = 0;
  // Link capacity of this VM; 0 if unknown.
  double LinkBytesPerSecond = 0;
  // Bound on the answers that are expected or wait for the link, and on those
  // that are kept in case a connection breaks; 0 if there is none.
  std::uint64_t AnswerMemoryBytes = 0;
  // Region and failure domain of this VM.
  Location Place{};
  // Bound on the requests that reach a cold target in any second: its tolerated
  // rate times ColdOverage, plus ColdSlack. 0 if there is none.
  double ColdOverage = 0;
  double ColdSlack = 0;
  // Time from the announcement of an evacuation until no request reaches the
  // targets; 0 if failure domains are not evacuated.
  Duration EvacuationTime{0};
};

// How a report relates to the reports received before.
enum class ReportVerdict { Current, NewIncarnation, Stale };

// How a call to the target ended without a complete answer.
enum class CallFailure {
  // No byte of the request was written.
  NotSent,
  // The connection broke or the answer was incomplete.
  Broken,
  // The target did not answer before the call's deadline.
  TimedOut,
};

// Whether the target holds the key of a request.
enum class KeyState { NotKeyed, Held, NotHeld };

// A state machine without I/O: it reads no clock, socket or random source, and
// appends its outputs to Out. Not thread-safe.
class TargetGate {
public:
  explicit TargetGate(TargetGateOptions Options);

  // A configuration came into force. Not null.
  void setTable(std::shared_ptr<const RouteTable> Table);
  // Processes a heartbeat report of the target.
  ReportVerdict handleReport(const TargetReport &Report, Instant Now,
                             Effects &Out);
  // A target announced its shutdown without a report, at this time by the clock
  // of its VM, in Unix milliseconds. The incarnation that had started by then
  // is leaving from now on, even if it has not reported to this process yet.
  void handleShutdown(std::string_view Instance, std::int64_t WallTimeMs,
                      Instant Now, Effects &Out);

  // From is the peer address of the sender. Delay: how much later than normal
  // the message arrived, which is an estimate.
  void handleForward(const std::string &From, Forward Request, KeyState Key,
                     Instant Now, Effects &Out, Duration Delay = Duration(0));
  // Processes a body that was requested with FetchBody.
  void handleBody(ForwardBody Received, Instant Now, Effects &Out,
                  Duration Delay = Duration(0));
  // The sender of a request confirms that the caller still waits.
  void handleConfirmed(const ForwardConfirmed &Confirmed, Instant Now,
                       Effects &Out);
  // The process stood still, so cancellations may be waiting unread. Has the
  // requests that wait for a slot confirmed before they start.
  void handleStandstill(Instant Now, Effects &Out);
  // Ends a request without a result; a call to the target is cancelled.
  void handleCancel(const std::string &From, const CancelForward &Cancelled,
                    Instant Now, Effects &Out);
  // The sender's connection broke while the request was open.
  void handleResume(const std::string &From, const ResumeForward &Resumed,
                    Instant Now, Effects &Out);
  // Processes what the target signals about itself in the answer to a call.
  // Call this before handleAnswer.
  void handleSignals(std::uint64_t CallId, const TargetSignals &Signals,
                     Instant Now, Effects &Out);
  // The target answered a call. NotRun: it stated that it did not run the
  // request.
  void handleAnswer(std::uint64_t CallId, HttpAnswer Answer, bool NotRun,
                    Instant Now, Effects &Out);
  // A call ended without a complete answer; Detail is for logs and the sender.
  void handleCallFailure(std::uint64_t CallId, CallFailure Failure,
                         std::string_view Detail, Instant Now, Effects &Out);
  // The node From observed a crash.
  void handleCrashNotice(const std::string &From, const CrashNotice &Notice,
                         Instant Now, Effects &Out);
  // A target of another node has answered a request that was suspected.
  void handleCrashCleared(const CrashCleared &Cleared, Effects &Out);
  // Another node states that a target of this node announced its end, to an
  // earlier process of this node. It may not have reported to this one yet.
  void handleLeavingNotice(const TargetLeavingNotice &Notice, Instant Now,
                           Effects &Out);
  // The routes of Table are in force. Requests of classes whose routes do not
  // allow the region of this node are refused from now on; a class that Table
  // does not have is accepted. Linear in the number of routes.
  void setRoutes(const RouteTable &Table, Instant Now, Effects &Out);
  // Processes what the store says about the failure domain of this node. Has no
  // effect without an EvacuationTime.
  void handleEvacuation(const EvacuationNews &News, Instant Now, Effects &Out);
  // Refuses all new and waiting requests; called before the process exits.
  void close(Instant Now, Effects &Out);
  // Sends the answers that wait for the link at once, and later ones as well;
  // called when the process is about to exit.
  void flushAnswers(Instant Now, Effects &Out);
  // Drives timeouts, paced starts and waiting answers. Call every 20 to 100 ms.
  void tick(Instant Now, Effects &Out);

  // Returns the status to send to other nodes, with a new sequence number.
  TargetStatus status(Instant Now) const;
  // Current incarnation of the target; empty if none has reported.
  const TargetRef &target() const { return this->Target; }
  TargetState state() const {
    return this->State == TargetState::Ready && this->Evacuation.isActive()
               ? TargetState::Evacuated
               : this->State;
  }
  // True from the end of an evacuation until a report of the target that was
  // received later: the target was without requests, or has started again.
  bool isSuspectedCold() const { return this->Evacuation.isSuspectedCold(); }
  std::string_view service() const { return this->Report.Service; }
  // Requests without a result, and those whose answers wait for the link.
  std::size_t openRequests() const { return this->Calls.size(); }
  // Keys whose demand exceeds what the target can serve.
  const HotKeyMeter &hotKeys() const { return this->HotKeys; }
  const AnswerLink &answerLink() const { return this->Link; }
  // Bytes that the link was committed to at the last tick.
  std::uint64_t committedAnswerBytes() const { return this->CommittedBytes; }
  const AdmissionQueue &queue() const { return this->Queue; }
  // Requests per second that the target accepts; empty if it names no limit.
  std::optional<double> rateLimit() const { return this->RateLimit; }
  // Estimate of the requests per second that the target can serve: what its
  // slots allow, or its limit or the pace of a cold target if that is lower.
  // Above 0.
  double capacity() const;
  // Whether the target counted as cold at the last report, failed call or tick.
  bool isCold() const { return this->Cold; }
  // Requests per second that may be started while the target is cold; 0 if
  // cold targets of its service are not limited.
  double coldPace() const { return this->ColdStarts.rate(); }
  // How long work takes at the target, in percent of its usual time, as it
  // last stated; 0 if it states nothing.
  std::uint32_t slowdownPercent() const {
    return this->Slowdown.latestPercent();
  }
  // States whether requests that are repeats may start. Their calls count
  // against the retry budgets of other services.
  void setRepeatsAllowed(bool Allowed) { this->RepeatsAllowed = Allowed; }
  // Number of repeats that were refused for that.
  std::uint64_t refusedRepeats() const { return this->RefusedRepeats; }
  // Share of the running calls that are repeats, 0 to 1.
  double repeatShare() const {
    return this->Queue.running() == 0
               ? 0.0
               : std::min(1.0, this->RunningRepeatPercent /
                                   (100.0 * this->Queue.running()));
  }
  // Number of calls to targets that were started.
  std::uint64_t startedCalls() const { return this->StartedCalls; }
  // Number of requests that their senders cancelled before they had ended.
  std::uint64_t withdrawnCalls() const { return this->WithdrawnCalls; }
  // Number of requests that had to be confirmed by their senders.
  std::uint64_t unconfirmedCalls() const { return this->UnconfirmedCalls; }
  // Number of requests that were refused because their answers would have
  // waited too long for the link.
  std::uint64_t refusedForLink() const { return this->RefusedForLink; }
  // Number of requests that were refused because there was no memory for their
  // answers.
  std::uint64_t refusedForMemory() const { return this->RefusedForMemory; }
  // Number of answers that waited for the link until their time was over.
  std::uint64_t droppedAnswers() const { return this->DroppedAnswers; }
  // Number of requests that were refused because their routes do not allow this
  // region, or because the target is evacuated.
  std::uint64_t regionRefusals() const { return this->RegionRefusals; }
  std::uint64_t evacuationRefusals() const { return this->EvacuationRefusals; }

private:
  struct ForwardedCall {
    std::string From;
    Forward Request;
    // The sender no longer waits for the result after this time.
    Instant Deadline;
    Instant ReceivedAt;
    std::uint64_t Digest = 0;
    // Set while the body is withheld. FetchedAt is the time of the FetchBody.
    bool Fetching = false;
    Instant FetchedAt;
    // Position in the queue, and the latest time to start the call.
    QueueRank Rank;
    Instant StartBy;
    bool Started = false;
    Instant StartedAt;
    // Incarnation of the target that the call was sent to.
    std::uint32_t Incarnation = 0;
    // Set while the answer waits for the link; the slot is free again.
    std::optional<ForwardResult> Finished;
  };

  // Returns the outcome if Request must be refused at once.
  std::optional<Outcome> checkAdmission(const Forward &Request, KeyState Key,
                                        std::uint64_t Digest,
                                        Instant Now) const;
  // Returns whether the target accepts another request now, slots aside.
  bool mayStart(Instant Now) const;
  // Calls that may run at once while the limit of the target is not known.
  std::uint32_t allowedProbes(Instant Now) const;
  // Records the sender of a request. Returns whether its class is only called
  // on behalf of requests that run elsewhere.
  bool noteCaller(const Forward &Request, Effects &Out);
  // Returns whether the request may start at this place.
  PlacementVerdict checkPlacement(const Forward &Request, Instant Now) const;
  // Counts and logs the refusal of a request if it is due to its placement.
  void notePlacementRefusal(const std::string &From, const Forward &Request,
                            Instant Now, Effects &Out);
  // Ends the calls that have not started and may not start at this place.
  void refuseMisplacedCalls(Instant Now, Effects &Out);
  // Ends all calls that have not started once the grace of an evacuation is
  // over.
  void endEvacuationGrace(Instant Now, Effects &Out);
  // Counts a request for a key, and logs when the first key becomes hot and the
  // last one is hot no more.
  void noteKeyDemand(const Forward &Request, bool Refused, Instant Now,
                     Effects &Out);
  // Estimated time that a new request of this rank waits until it may start.
  Duration expectedWait(const QueueRank &Rank, Instant Now) const;
  void startCall(std::uint64_t Id, Instant Now, Effects &Out);
  void startQueuedCalls(Instant Now, Effects &Out);
  // Starts a call whose body is complete, or queues it for a slot.
  void admit(std::uint64_t Id, Instant Now, Effects &Out);
  // Asks for the withheld body of a call when the link has capacity.
  void awaitBody(std::uint64_t Id, Instant Now, Effects &Out);
  // Time by which the target must answer, for a caller with this time left.
  static Instant deadlineFor(Duration TimeLeft, Instant Now);
  // Admits a call some time after its arrival, if that is still possible.
  void admitLate(std::uint64_t Id, Instant Now, Effects &Out);
  // Returns whether the caller of a request with this delay may have left
  // unnoticed for too long.
  static bool needsConfirmation(Duration Delay);
  // Holds a call back until its sender confirms that the caller still waits.
  void confirm(std::uint64_t Id, Instant Now, Effects &Out);
  // Ends the calls whose senders did not answer in time.
  void endConfirmations(Instant Now, Effects &Out);
  // Requests bodies that the link has capacity for.
  void fetchBodies(Instant Now, Effects &Out);
  // Ends calls that waited too long for a slot or a body.
  void refuseOverdueCalls(Instant Now, Effects &Out);
  // Ends all calls that have not started.
  void refuseUnstartedCalls(Instant Now, Effects &Out);
  // Ends a call. Its answer may have to wait for the link.
  void finishCall(std::uint64_t Id, ForwardResult Result, Instant Now,
                  Effects &Out);
  // Removes a call and sends its result.
  void sendResult(std::uint64_t Id, ForwardResult Result, Instant Now,
                  Effects &Out);
  // Bytes that the answer of a request is expected to take of the link.
  std::uint64_t expectedAnswerBytes(const std::string &From,
                                    const Forward &Request) const;
  // Returns whether there is memory for another answer of this expected size.
  bool hasMemoryFor(std::uint64_t AnswerBytes) const;
  // Sends the waiting answers that the link has capacity for.
  void sendAnswers(Instant Now, Effects &Out);
  // Ends the calls whose callers left while the answer waited for the link.
  void dropLateAnswers(Instant Now, Effects &Out);
  // Detail is for the log.
  void refuse(const std::string &From, const Forward &Request, Outcome Reason,
              Duration RetryAfter, Instant Now, Effects &Out,
              std::string_view Detail = {});
  // Gives the target no new requests once the drain time since Since is over.
  // AnnouncedBy: how the target said that it is leaving, for the log.
  void startDraining(std::string_view AnnouncedBy, Instant Since, Instant Now,
                     Effects &Out);
  // Ends all calls that have not started if the drain time is over.
  void endDrainTime(Instant Now, Effects &Out);
  void setRateLimit(std::optional<double> RequestsPerSecond, Effects &Out);
  // Time until a request may start that has Ahead others before it, slots
  // aside: by the stated limit or the pace of a cold target, if that is longer.
  Duration waitForPace(std::size_t Ahead, Instant Now) const;
  // Whether the target counts as cold and its starts are therefore limited.
  bool countsAsCold(Instant Now) const;
  // Looks the cold limit of the target's service up in Table.
  void updateColdPolicy();
  // Takes over the cold time of Report.
  void noteColdTime(Instant Now, Effects &Out);
  // Logs changes of Cold.
  void updateCold(Instant Now, Effects &Out);
  // Means by request class for other nodes, at the mean slowdown.
  std::vector<ClassServiceTime> statedTimes(Instant Now) const;
  // Updates the failure share with the result of a call.
  void noteOutcome(bool Failed);
  // Expected time that a request of this class holds a slot.
  Duration expectedServiceTime(RequestClassId RequestClass, Instant Now) const;

  TargetGateOptions Options;
  // Null until a configuration came into force.
  std::shared_ptr<const RouteTable> Table;
  TargetRef Target;
  TargetReport Report;
  // Counts the incarnations of the target that reported to this process.
  std::uint32_t Incarnation = 0;
  // Never Evacuated: see state().
  TargetState State = TargetState::Absent;
  TargetEvacuation Evacuation;
  // The end of the grace of the present evacuation is known to the waiting
  // calls.
  bool GraceEndHandled = true;
  // Classes of requests whose routes do not allow the region of this node.
  std::unordered_set<RequestClassId> ForbiddenClasses;
  // No new requests are started after this time; only used while State is
  // Leaving.
  Instant DrainDeadline;
  bool Drained = false;
  TargetDepartures Departures;
  Instant LastReportAt;
  // The most recent call could not be sent.
  bool ConnectionRefused = false;
  bool Closed = false;
  std::optional<double> RateLimit;
  // Time of the last answer that stated a limit.
  Instant LimitStatedAt;
  std::uint64_t StartedCalls = 0;
  // Invariant: sum of RepeatPercent over the calls that hold a slot.
  std::uint32_t RunningRepeatPercent = 0;
  bool RepeatsAllowed = true;
  std::uint64_t RefusedRepeats = 0;
  std::uint64_t WithdrawnCalls = 0;
  std::uint64_t UnconfirmedCalls = 0;
  std::uint64_t CommittedBytes = 0;
  std::uint64_t RefusedForLink = 0;
  std::uint64_t RefusedForMemory = 0;
  std::uint64_t DroppedAnswers = 0;
  std::uint64_t RegionRefusals = 0;
  std::uint64_t EvacuationRefusals = 0;
  StartPacer Pacer;
  ColdStartLimit ColdStarts;
  bool Cold = false;
  // Until the current incarnation has answered this process, its limit is
  // unknown and few calls run at once.
  bool SignalsKnown = false;
  // Time of the first call to the current incarnation.
  std::optional<Instant> ProbingSince;
  AdmissionQueue Queue;
  BodyFetchQueue BodyFetches;
  AnswerSizes Sizes;
  CallerProfile Profile;
  // Invariant: has a commitment for each call of another node.
  AnswerLink Link;
  TargetSlowdown Slowdown;
  // Times at a slowdown of 100 percent.
  ClassServiceTimes ServiceTimes;
  CrashGuard Crashes;
  HotKeyMeter HotKeys;
  float FailureShare = 0;
  std::uint64_t NextCallId = 1;
  mutable std::uint64_t NextSequence = 1;
  // Invariant: each call is in BodyFetches or Confirmations, waits in Queue,
  // holds a slot, or its answer waits in Link.
  std::map<std::uint64_t, ForwardedCall> Calls;
  std::map<ForwardKey, std::uint64_t> CallIdByForward;
  // Calls that wait for a confirmation, with the time of the question.
  std::map<std::uint64_t, Instant> Confirmations;
  RecentResults Results;
  // Requests that were reported to their senders as never received, or
  // cancelled by them, before they arrived. They are dropped if they do arrive.
  std::map<ForwardKey, Instant> DroppedOnArrival;
};

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_TARGET_GATE_H
