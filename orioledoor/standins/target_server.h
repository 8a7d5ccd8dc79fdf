// The stand-in target: a server that keeps a value per key, runs beside a node
// and shows the habits and faults of real targets.
//
// Operations are METHOD /<service>/<key>[/<rest>]. PUT and POST set the key's
// value to the body, DELETE removes it, GET reads it. An operation takes the
// service time and has its effect at the end; one that is cancelled, refused or
// past its deadline has no effect. Answers are JSON with key, value, operation,
// target and the number of writes that the key has seen.
//
// POST /oriole/grant     {"member","fence","valid_ms"}
// GET  /oriole/health    200 or 503
// GET  /oriole/load      slots and connections with their use
// GET  /standin/log      the operations, also of their refusal; ?from=N skips N
// GET  /standin/counters operations by outcome
// POST /standin/faults   any of
//   stall         true: operations wait until false is set
//   truncate      the next N answers are cut in half; negative: all
//   crash_marker  a request whose body contains this text ends the process
//   slow_ms       added to the service time
//   refuse        true: connections that bring an operation are closed
//   health        "truth", "ok", "bad" or "hang"
//   load_lag_ms   the load endpoint shows the load of this long ago
//   load_lie      the number of used slots to report; negative: the true one
//   state         "starting", "ready" or "leaving", as announced
//   ignore_cancel true: operations run on after their connection was closed
#ifndef ORIOLEDOOR_STANDINS_TARGET_SERVER_H
#define ORIOLEDOOR_STANDINS_TARGET_SERVER_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "orioledoor/base/instant.h"
#include "orioledoor/standins/http_server.h"
#include "orioledoor/standins/json_poster.h"

namespace orioledoor::standins {

struct TargetOptions {
  // 0 means any free port.
  std::uint16_t Port = 0;
  // "IP:PORT" of the node's HTTP endpoint; empty: no announcements.
  std::string Node;
  // The announced port, for a relay in front of the target; 0: the own port.
  std::uint16_t AnnouncedPort = 0;
  std::string Service;
  std::string Name = "target";
  std::uint32_t Slots = 20;
  std::uint32_t Connections = 130;
  bool ChecksFence = false;
  Duration ServiceTime = std::chrono::milliseconds(2);
  // Announced as starting for this long.
  Duration Starting{0};
  // After it is ready, operations take ColdFactor times as long for this long.
  Duration ColdStart{0};
  double ColdFactor = 10;
  // The longest time from stop() to the end.
  Duration Drain = std::chrono::seconds(5);
};

// One line of the operation log. Times are microseconds of CLOCK_BOOTTIME, so
// logs of several targets on one VM compare.
struct OperationRecord {
  std::string Key;
  std::string Method;
  // The Idempotency-Key; empty if there was none.
  std::string Operation;
  std::uint32_t Fence = 0;
  Instant Start;
  Instant End;
  // executed, cancelled, deadline, shed, fence, no-grant.
  std::string Outcome;
};

// Not thread-safe.
class TargetServer {
public:
  TargetServer(Loop &Events, TargetOptions Options);

  std::uint16_t port() const { return this->Http.port(); }
  const std::vector<OperationRecord> &log() const { return this->Log; }
  void setFaults(const nlohmann::json &Faults);

  // Announces that the target is leaving, lets work end and stops the loop
  // after a second without operations or after Options.Drain.
  void stop();

private:
  using Call = std::shared_ptr<Exchange>;
  struct Operation;
  using OperationPtr = std::shared_ptr<Operation>;

  struct KeyState {
    std::string Value;
    std::uint64_t Writes = 0;
    std::uint32_t HighestFence = 0;
  };

  struct LoadSample {
    Instant At;
    std::uint32_t UsedSlots = 0;
    std::size_t OpenConnections = 0;
  };

  void announce();
  void serve(const Call &Request);
  // Whether the request was one of those that are not operations.
  bool serveControl(const Call &Request);
  void grant(const Call &Request);
  void showLoad(const Call &Request);
  void showLog(const Call &Request);
  void admit(const Call &Request);
  void start(const OperationPtr &Work);
  void finish(const OperationPtr &Work);
  // Ends Work without effect. Code 0 means that there is nobody to answer.
  void refuse(Operation &Work, std::string_view Outcome, int Code);
  // Empty if the fence and the grant allow Work now, else the outcome.
  std::string_view fenceProblem(const Operation &Work);
  void answer(Operation &Work);
  void record(Operation &Work, std::string_view Outcome);
  bool isCold() const;

  Loop &Events;
  TargetOptions Options;
  std::string State = "starting";
  Instant ReadyAt;
  Instant LastOperation;
  std::uint32_t UsedSlots = 0;
  std::unordered_map<std::string, KeyState> Keys;
  std::vector<OperationRecord> Log;
  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::deque<LoadSample> Samples;
  // The newest grant.
  std::uint32_t GrantMember = 0;
  std::uint32_t GrantFence = 0;
  Instant GrantEnd;
  // Faults, as documented above.
  bool Stall = false;
  std::vector<OperationPtr> Stalled;
  std::int64_t Truncate = 0;
  std::string CrashMarker;
  Duration Slow{0};
  bool Refuse = false;
  std::string Health = "truth";
  std::vector<Call> HungHealth;
  Duration LoadLag{0};
  std::int64_t LoadLie = -1;
  bool IgnoreCancel = false;
  JsonPoster Poster;
  // Last, so that its connections close before what they refer to.
  HttpServer Http;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_TARGET_SERVER_H
