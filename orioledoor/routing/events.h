// Log events of the request path.
#ifndef ORIOLEDOOR_ROUTING_EVENTS_H
#define ORIOLEDOOR_ROUTING_EVENTS_H

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor::routing::events {

inline constexpr EventDefinition RequestAnswered{
    2201, Severity::Info, "REQUEST_ANSWERED",
    "the target's answer was sent to the caller"};
inline constexpr EventDefinition RequestRefused{
    2202, Severity::Info, "REQUEST_REFUSED",
    "the entry node refused a request that no target has run"};
inline constexpr EventDefinition RequestFailed{
    2203, Severity::Warn, "REQUEST_FAILED",
    "the entry node failed a request that a target may have run"};
inline constexpr EventDefinition RequestRetried{
    2204, Severity::Info, "REQUEST_RETRIED",
    "the entry node retries a request at another target"};
inline constexpr EventDefinition RequestParked{
    2205, Severity::Info, "REQUEST_PARKED",
    "a keyed request waits until its key has a new owner"};
inline constexpr EventDefinition CallerLeft{
    2206, Severity::Info, "CALLER_LEFT",
    "the caller closed its connection before the answer"};
inline constexpr EventDefinition CallRefused{
    2211, Severity::Info, "CALL_REFUSED",
    "the node beside the target did not start a forwarded request"};
inline constexpr EventDefinition CallFailed{
    2212, Severity::Warn, "CALL_FAILED",
    "the target did not return a complete answer"};
inline constexpr EventDefinition CallWithdrawn{
    2213, Severity::Info, "CALL_WITHDRAWN",
    "the entry node cancelled a forwarded request"};
inline constexpr EventDefinition CallUnconfirmed{
    2214, Severity::Info, "CALL_UNCONFIRMED",
    "a request waits until its entry node confirms that its caller is still "
    "there"};
inline constexpr EventDefinition TargetReady{
    2221, Severity::Info, "TARGET_READY",
    "a new incarnation of the target reported"};
inline constexpr EventDefinition TargetLeaving{
    2222, Severity::Info, "TARGET_LEAVING",
    "the target announced that it is shutting down"};
inline constexpr EventDefinition TargetDrained{
    2223, Severity::Info, "TARGET_DRAINED",
    "the drain time of a target that is shutting down has ended"};
inline constexpr EventDefinition ReportIgnored{
    2224, Severity::Warn, "REPORT_IGNORED",
    "a report is stale or from an earlier incarnation of the target"};
inline constexpr EventDefinition TargetSilent{
    2225, Severity::Warn, "TARGET_SILENT", "the target stopped reporting"};
inline constexpr EventDefinition RequestQuarantined{
    2226, Severity::Warn, "REQUEST_QUARANTINED",
    "a request is suspected of having crashed the target that ran it"};
inline constexpr EventDefinition ForwardNotSent{
    2227, Severity::Warn, "FORWARD_NOT_SENT",
    "a request could not be sent to the node beside its target"};

inline constexpr EventDefinition TargetLimitChanged{
    2228, Severity::Info, "TARGET_LIMIT_CHANGED",
    "the target changed the rate of requests that it accepts"};
inline constexpr EventDefinition TargetLimitUnreadable{
    2229, Severity::Warn, "TARGET_LIMIT_UNREADABLE",
    "the target stated a rate limit that is not a number"};

inline constexpr EventDefinition SuspicionCleared{
    2230, Severity::Info, "SUSPICION_CLEARED",
    "another target answered a request that was suspected of a crash"};

inline constexpr EventDefinition TargetDeregistered{
    2231, Severity::Info, "TARGET_DEREGISTERED",
    "a target deregistered before its end"};
inline constexpr EventDefinition AnswerDropped{
    2255, Severity::Warn, "ANSWER_DROPPED",
    "an answer waited for the link until the time of its caller was over"};
inline constexpr EventDefinition ServiceThrottled{
    2256, Severity::Info, "SERVICE_THROTTLED",
    "the entry node refuses part of the requests for a service that refused "
    "most of the recent ones"};
inline constexpr EventDefinition CallsRecognized{
    2257, Severity::Info, "CALLS_RECOGNIZED",
    "whether only targets of one service send a class of requests has changed"};
inline constexpr EventDefinition TargetCold{
    2245, Severity::Info, "TARGET_COLD",
    "the target counts as cold; requests to it are started at a limited pace"};
inline constexpr EventDefinition TargetWarm{
    2246, Severity::Info, "TARGET_WARM", "the target no longer counts as cold"};
inline constexpr EventDefinition ColdTimeExcessive{
    2247, Severity::Warn, "COLD_TIME_EXCESSIVE",
    "a report states a longer cold time than the configuration"};
inline constexpr EventDefinition TargetLoadUnreadable{
    2248, Severity::Warn, "TARGET_LOAD_UNREADABLE",
    "the target stated a load that is malformed or out of range"};
inline constexpr EventDefinition SpillStarted{
    2250, Severity::Info, "SPILL_STARTED",
    "requests of a class begin to leave the failure domain or the region"};
inline constexpr EventDefinition SpillEnded{
    2251, Severity::Info, "SPILL_ENDED",
    "requests of a class stay in the failure domain or the region again"};
inline constexpr EventDefinition CallMisplaced{
    2240, Severity::Warn, "CALL_MISPLACED",
    "a request came to a region that its route does not allow"};
inline constexpr EventDefinition TargetEvacuated{
    2241, Severity::Info, "TARGET_EVACUATED",
    "the failure domain of the target is evacuated"};
inline constexpr EventDefinition EvacuationGraceEnded{
    2242, Severity::Info, "EVACUATION_GRACE_ENDED",
    "the target gets no requests at all until the evacuation ends"};
inline constexpr EventDefinition EvacuationEnded{
    2243, Severity::Info, "EVACUATION_ENDED",
    "the target may get requests again"};
inline constexpr EventDefinition RetryBudgetUsed{
    2258, Severity::Info, "RETRY_BUDGET_USED",
    "retries for a service, and those that its budget did not allow"};

inline constexpr EventDefinition KeysHot{
    2263, Severity::Info, "KEYS_HOT",
    "a key gets more requests than its target can serve; entry nodes send a "
    "share of them"};
inline constexpr EventDefinition KeysNotHot{
    2264, Severity::Info, "KEYS_NOT_HOT",
    "no key gets more requests than its target can serve"};

} // namespace orioledoor::routing::events

#endif // ORIOLEDOOR_ROUTING_EVENTS_H
