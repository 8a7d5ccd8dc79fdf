// Messages between nodes on the request path, as data.
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

// A caller's request without its routing data; shared by all tries.
struct RequestContent {
  std::string Method{};
  // Path and query as the caller sent them.
  std::string Target{};
  std::string Host{};
  // End-to-end headers, without those that the router sets itself.
  std::vector<Header> Headers{};
  std::string Body{};
};
using SharedContent = std::shared_ptr<const RequestContent>;

inline constexpr std::int32_t NoKey = -1;

// Asks the node beside a target to run a request there.
struct Forward {
  // Unique among the requests of the sending process.
  std::uint64_t Id = 0;
  // Identifies the sending process.
  std::uint64_t Process = 0;
  std::string Service{};
  std::string AttemptId{};
  // The service on the VM where the request began.
  std::string CallerService{};
  // What is left of the caller's time when the message is sent.
  Duration TimeLeft{0};
  // What is left of the route's target latency; may be negative.
  Duration LatencyLeft{0};
  std::int32_t Key = NoKey;
  std::uint8_t Priority = 0;
  bool Idempotent = false;
  // No other target is known to have room: queue the request if it can still
  // be served in time.
  bool LastChoice = false;
  // Otherwise, how long it may wait here before another target is better.
  Duration WorthwhileWait{0};
  WorkId Work = 0;
  // Not 0: Content has no body; one of this size follows when it is asked for.
  std::uint64_t WithheldBytes = 0;
  // The configuration in force at the sender; 0: none.
  std::uint64_t ConfigVersion = 0;
  // Never null.
  SharedContent Content{};
};

// Why a request was not run, or what became of it.
enum class Outcome : std::uint8_t {
  // The target's answer follows.
  Answered,
  // No byte reached the target: it has no room for the request in time.
  Busy,
  // No byte reached the target: it leaves, is absent or runs another service.
  NoTarget,
  // No byte reached the target: it does not hold the key.
  NotOwner,
  // The target says that it did not run the request.
  Refused,
  // No byte reached the target: the request's time is over.
  Expired,
  // No byte reached the target: the request crashed targets before.
  Quarantined,
  // The request may have run: no whole answer came.
  Lost,
};

// The end of a forwarded request.
struct ForwardResult {
  std::uint64_t Id = 0;
  Outcome Ended = Outcome::Answered;
  // For Lost: what happened.
  std::string Detail{};
  // For Busy: when there may be room again; 0: unknown.
  Duration RetryAfter{0};
  HttpAnswer Answer{};
  TargetStatus Status{};
  // The configuration in force at the sender; 0: none.
  std::uint64_t ConfigVersion = 0;
};

// The caller left; its request is not needed any more.
struct CancelForward {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
};

// The connection broke while a request was open. The node beside the target
// sends the result again if it ended and is silent while it runs. Otherwise it
// says NoTarget, as the request never came, or Lost if it is not the process
// that the request was sent to.
struct ResumeForward {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
  // The process that the request was sent to; 0: not known.
  std::uint64_t Receiver = 0;
  // How long ago the request was sent.
  Duration SentAgo{0};
};

// The gate has room for a request whose body was withheld.
struct FetchBody {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
};

// The body that was withheld.
struct ForwardBody {
  std::uint64_t Id = 0;
  std::uint64_t Process = 0;
  std::string Body{};
};

// The target's state changed.
struct StatusNotice {
  TargetStatus Status{};
};

// A target ended while it ran the request with this digest.
struct CrashNotice {
  std::uint64_t Digest = 0;
  std::uint32_t Crashes = 0;
};

// Demand for the keys of one target, sent to the planner.
struct KeyLoadNotice {
  std::string Service{};
  TargetRef Target{};
  // Requests a second for all its keys.
  double Rate = 0;
  // Requests a second that the target can serve.
  double Capacity = 0;
  // Keys that part the demand into equal shares, ascending.
  std::vector<std::uint32_t> Quantiles{};
};

// The owners of a service's keys as the store has them.
struct KeyMapNotice {
  // Store revision of the map.
  std::int64_t Revision = 0;
  // As encoded for the store.
  std::string Map{};
};

// Asks a node for its configuration, if it has a newer one than Known.
struct FetchConfig {
  std::uint64_t Known = 0;
};

// The configuration in force at the sender, as the operator wrote it.
struct ConfigNotice {
  std::string Document{};
};

using Message =
    std::variant<Forward, ForwardResult, CancelForward, StatusNotice,
                 CrashNotice, KeyLoadNotice, KeyMapNotice, ResumeForward,
                 FetchBody, ForwardBody, FetchConfig, ConfigNotice>;

} // namespace orioledoor::routing

#endif // ORIOLEDOOR_ROUTING_MESSAGE_H
