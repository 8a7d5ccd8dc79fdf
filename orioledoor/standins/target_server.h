// The stand-in target: a server that stores one value per key, runs beside a
// node and reproduces the behavior and the faults of real targets.
//
// Operations are METHOD /<service>/<key>[/<rest>]. PUT and POST set the key's
// value to the body, DELETE removes it, GET reads it. An operation takes the
// service time and takes effect at its end; one that is canceled, rejected or
// past its deadline has no effect. Answers are JSON with key, value, operation,
// target and the number of writes to the key.
//
// POST /oriole/grant     {"member","fence","valid_ms"}
// GET  /oriole/health    200 or 503
// GET  /oriole/load      limits and current use of slots and connections
// GET  /standin/log      all operations, also rejected ones; ?from=N skips N
// GET  /standin/counters operations by outcome
// POST /standin/faults   any of
//   stall         true: operations wait until false is set
//   truncate      only half of the body is sent in the next N answers;
//                 negative: in all
//   crash_marker  a request whose body contains this text ends the process
//   slow_ms       added to the service time
//   refuse        true: closes connections on which an operation arrives
//   health        "truth", "ok", "bad" or "hang"
//   load_lag_ms   age of the load that the load endpoint reports
//   load_lie      the number of used slots to report; negative: the true one
//   state         "starting", "ready" or "leaving", as announced
//   ignore_cancel true: operations continue after their connection closes
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
  // How long the target announces itself as starting.
  Duration StartupTime{0};
  // How long after becoming ready operations take ColdFactor times as long.
  Duration ColdTime{0};
  double ColdFactor = 10;
  // The longest time from stop() until the loop is stopped.
  Duration DrainTimeout = std::chrono::seconds(5);
};

// One line of the operation log. Times are microseconds of CLOCK_BOOTTIME, so
// that the logs of several targets on one VM can be compared.
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

  // Announces that the target is leaving, lets operations end and stops the
  // loop after a second without operations or after Options.Drain.
  void stop();

private:
  using ExchangePtr = std::shared_ptr<Exchange>;
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
  void serve(const ExchangePtr &Request);
  // Serves a request that is not an operation; returns false if it is one.
  bool serveControlRequest(const ExchangePtr &Request);
  void handleGrant(const ExchangePtr &Request);
  void replyLoad(const ExchangePtr &Request);
  void replyLog(const ExchangePtr &Request);
  void admit(const ExchangePtr &Request);
  void startOperation(const OperationPtr &Op);
  void finishOperation(const OperationPtr &Op);
  // Ends Op without effect. Code 0 sends no answer: the caller disconnected.
  void rejectOperation(Operation &Op, std::string_view Outcome, int Code);
  // Returns an empty view if the fence and the grant allow Op now, else the
  // outcome of its rejection.
  std::string_view checkFence(const Operation &Op);
  void executeOperation(Operation &Op);
  void recordOutcome(Operation &Op, std::string_view Outcome);
  bool isCold() const;

  Loop &Events;
  TargetOptions Options;
  std::string State = "starting";
  Instant ReadyAt;
  Instant LastActivity;
  std::uint32_t UsedSlots = 0;
  std::unordered_map<std::string, KeyState> Keys;
  std::vector<OperationRecord> Log;
  std::map<std::string, std::uint64_t, std::less<>> Counters;
  std::deque<LoadSample> LoadSamples;
  // The latest accepted grant.
  std::uint32_t GrantMember = 0;
  std::uint32_t GrantFence = 0;
  Instant GrantExpiry;
  // Injected faults, described at the head of this file.
  bool Stall = false;
  std::vector<OperationPtr> StalledOperations;
  std::int64_t AnswersToTruncate = 0;
  std::string CrashMarker;
  Duration AddedServiceTime{0};
  bool RefuseOperations = false;
  std::string HealthMode = "truth";
  std::vector<ExchangePtr> HeldHealthChecks;
  Duration LoadReportDelay{0};
  std::int64_t ReportedUsedSlots = -1;
  bool IgnoreCancel = false;
  JsonPoster Poster;
  // Declared last, so that its connections close before the members that their
  // callbacks use are destroyed.
  HttpServer Http;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_TARGET_SERVER_H
