// Messages between nodes on the request path.
//
//   Message Sent = Forward{.Id = 7, .Service = "consulta", ...};
//   Transport.send(Peer, Channel::Requests, encodeMessage(Sent));
#ifndef ORIOLEDOOR_ROUTING_MESSAGE_H
#define ORIOLEDOOR_ROUTING_MESSAGE_H

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/requests/http_types.h"
#include "orioledoor/routing/target_report.h"
#include "orioledoor/routing/target_status.h"

namespace orioledoor::routing {

using requests::Header;
using requests::HttpAnswer;

// Content of a caller's request without routing data; shared by all attempts.
struct RequestContent {
  std::string Method{};
  // Path and query as sent by the caller.
  std::string Target{};
  std::string Host{};
  // End-to-end headers, except those that the router sets itself.
  std::vector<Header> Headers{};
  std::string Body{};
};
using SharedContent = std::shared_ptr<const RequestContent>;

inline constexpr std::int32_t NoKey = -1;
// RepeatPercent of a request that a target may have received before.
inline constexpr std::uint8_t SurelyRepeated = 100;

// Asks the node beside a target to run a request there.
struct Forward {
  // Unique among the requests of the sending process.
  std::uint64_t Id = 0;
  // Id of the sending process.
  std::uint64_t Process = 0;
  std::string Service{};
  std::string AttemptId{};
  // Service of the target on the VM where the request entered.
  std::string CallerService{};
  // Remaining time of the caller when the message is sent.
  Duration TimeLeft{0};
  // Remaining time until the route's latency target; may be negative.
  Duration LatencyLeft{0};
  std::int32_t Key = NoKey;
  // Store revision of the key map that named the receiver as the owner of the
  // key; 0 if unknown.
  std::int64_t KeyMapRevision = 0;
  std::uint8_t Priority = 0;
  bool Idempotent = false;
  // No other target is known to have capacity: queue the request if it can
  // still be answered within TimeLeft.
  bool LastChoice = false;
  // If LastChoice is not set: how long the request may wait here before another
  // target is the better choice.
  Duration MaxUsefulWait{0};
  RequestClassId RequestClass = 0;
  // If not 0, Content has no body, and the receiver requests a body of this
  // size with FetchBody.
  std::uint64_t WithheldBytes = 0;
  // Version of the configuration in force at the sender; 0 if none.
  std::uint64_t ConfigVersion = 0;
  // Time of the sender's clock when the message was sent, in whole
  // milliseconds; see transit_delays.h. Instant() if it is not known.
  Instant SentAt{};
  // Probability in percent that this is a repeat: 100 if a target may have
  // received the request before; for the call of a target, the share of its
  // runs that are repeats.
  std::uint8_t RepeatPercent = 0;
  // For keyed requests: the number of requests for the key for which this one
  // stands, those included that the sender has refused; see HotKeyMeter.
  std::uint32_t KeyDemand = 1;
  // Never null.
  SharedContent Content{};
};

// How a forwarded request ended.
enum class Outcome : std::uint8_t {
  // The target answered; the answer is in the result.
  Answered,
  // Not sent to the target: it has no capacity for the request in time.
  Busy,
  // Not sent to the target: it is leaving, absent or runs another service.
  NoTarget,
  // Not sent to the target: it does not hold the key.
  NotOwner,
  // The target states that it did not run the request.
  Refused,
  // Not sent to the target: the request's time has run out.
  Expired,
  // Not sent to the target: the request has crashed targets before.
  Quarantined,
  // No complete answer was received; the request may have run.
  Lost,
  // Not sent to the target: it is a repeat, and its calls would exceed the
  // retry budget of another service. Earlier releases never get this, as they
  // do not state that a request is a repeat.
  CallsOverBudget,
};

// Result of a forwarded request.
struct ForwardResult {
  std::uint64_t Id = 0;
  // Process that sent the Forward; 0 if unknown. A new process at its address
  // uses the same ids again.
  std::uint64_t Process = 0;
  Outcome Code = Outcome::Answered;
  // For Lost: the cause.
  std::string Detail{};
  // For Busy: estimated time until there is capacity; 0 if unknown.
  Duration RetryAfter{0};
  HttpAnswer Answer{};
  TargetStatus Status{};
  // Version of the configuration in force at the sender; 0 if none.
  std::uint64_t ConfigVersion = 0;
  // As in Forward.
  Instant SentAt{};
  // For keyed requests: the share of the requests for this key that its target
  // can serve, 0 to 1. Entry nodes refuse the others at once.
  float KeyShare = 1;
  // Requests of this class are calls that targets make on behalf of requests
  // that they run.
  bool OfRunningWork = false;
};

// The caller has disconnected and the request is to be cancelled.
struct CancelForward {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
};

// Asks for the state of an open request after the connection broke. The
// receiver sends the result again if the request has ended, and sends nothing
// while it is still running. If the request is unknown it answers NoTarget if
// the request certainly never arrived, and Lost otherwise, for example because
// the request was sent to an earlier process.
struct ResumeForward {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
  // Process id that the request was sent to; 0 if unknown.
  std::uint64_t ReceiverProcess = 0;
  // Time since the request was sent.
  Duration SentAgo{0};
};

// Requests a body that was withheld; the receiver's link has capacity for it.
struct FetchBody {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
};

// The withheld body of a request.
struct ForwardBody {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
  std::string Body{};
  // As in Forward.
  Instant SentAt{};
};

// Asks whether the caller of a request still waits, before the request goes to
// the target. The receiver answers ForwardConfirmed or CancelForward.
struct ConfirmForward {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
};

// The caller of a request still waits for it.
struct ForwardConfirmed {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
  // Remaining time of the caller when the message is sent.
  Duration TimeLeft{0};
};

// Announces a changed state of the sender's target.
struct StatusNotice {
  TargetStatus Status{};
  // As in Forward.
  Instant SentAt{};
};

// A target ended while it ran the request with this digest.
struct CrashNotice {
  std::uint64_t Digest = 0;
  std::uint32_t Crashes = 0;
};

// Answers a CrashNotice: a target has answered the request, so it is not the
// cause of crashes.
struct CrashCleared {
  std::uint64_t Digest = 0;
};

// Load on the keys of one target; sent to the node that plans key ownership.
struct KeyLoadNotice {
  std::string Service{};
  TargetRef Target{};
  // Requests per second over all keys of the target.
  double Rate = 0;
  // Requests per second that the target can serve.
  double Capacity = 0;
  // Keys that divide the load into equal parts, in ascending order.
  std::vector<std::uint32_t> Quantiles{};
};

// Current owners of a service's keys.
struct KeyMapNotice {
  // Revision of the map in the store.
  std::int64_t Revision = 0;
  // Key map in the encoding of the store.
  std::string Map{};
};

// Change of a service's key map that the sender wrote to the store.
struct KeyMapChangeNotice {
  // Revisions of the map in the store before and after the change.
  std::int64_t BaseRevision = 0;
  std::int64_t Revision = 0;
  // Checksum of the map after the change.
  std::uint64_t Checksum = 0;
  // The changed rows, in the encoding of the store.
  std::string Change{};
};

// The sender's entry, as it has just written it to the store.
struct NodeNotice {
  // Store revision of the entry.
  std::int64_t Revision = 0;
  // The entry in the encoding of the store.
  std::string Entry{};
};

// Requests the receiver's configuration if it is newer than KnownVersion.
struct FetchConfig {
  std::uint64_t KnownVersion = 0;
};

// Configuration in force at the sender, as written by the operator.
struct ConfigNotice {
  std::string Document{};
};

// Tells the other nodes that a target has deregistered, or reminds a restarted
// node that its target is leaving, which it does not know.
struct TargetLeavingNotice {
  // If the target has not reported to the node beside it, StartTimeMs is the
  // latest time at which it can have started.
  TargetRef Target{};
  // How long ago the sender learned of it.
  Duration KnownFor{0};
};

using Message =
    std::variant<Forward, ForwardResult, CancelForward, StatusNotice,
                 CrashNotice, KeyLoadNotice, KeyMapNotice, ResumeForward,
                 FetchBody, ForwardBody, FetchConfig, ConfigNotice,
                 KeyMapChangeNotice, NodeNotice, CrashCleared, ConfirmForward,
                 ForwardConfirmed, TargetLeavingNotice>;

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_MESSAGE_H
