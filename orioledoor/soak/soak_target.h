// A stand-in target of the platform for the soak: reports to its node, holds
// keys with leases and fencing tokens, and runs requests.
//
//   SoakTarget Target(Events, Client, Checker, {.Service = "keyed", ...});
//   Target.start();
//   Target.crash();   // loses its keys, reports and running requests
#ifndef ORIOLEDOOR_SOAK_SOAK_TARGET_H
#define ORIOLEDOOR_SOAK_SOAK_TARGET_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "orioledoor/catalogue/settings.h"
#include "orioledoor/sidecar/testing/model_target.h"
#include "orioledoor/standins/exchange.h"
#include "orioledoor/standins/http_server.h"
#include "orioledoor/wire/http_client.h"

namespace orioledoor::standins {
class Loop;
} // namespace orioledoor::standins

namespace orioledoor::soak {

class SoakChecker;

struct SoakTargetOptions {
  std::string Name{};
  std::string Service{};
  bool Partitioned = false;
  // Endpoint of the node that receives reports.
  Endpoint Node{};
  // Maximum number of requests that run concurrently.
  std::uint32_t Slots = 6;
  // One in this many requests runs for LongRunTime.
  std::size_t RequestsPerLongRequest = 50;
  Duration LongRunTime = std::chrono::milliseconds(300);
  // One in this many reports is seconds late; 0 if none is.
  std::size_t ReportsPerLateReport = 0;
  std::uint64_t Seed = 1;
};

// Not thread-safe.
class SoakTarget {
public:
  SoakTarget(standins::Loop &Events, wire::HttpClient &Client,
             SoakChecker &Checker, SoakTargetOptions Options);

  // Sets the address that reports state, which the settings of the node name.
  // To be called before start().
  void setReportedAddress(std::string Address) {
    this->ReportedAddress = std::move(Address);
  }
  const std::string &service() const { return this->Options.Service; }
  // Sets the service of the next incarnation. To be called while it is down.
  void setService(std::string Service, bool Partitioned) {
    this->Options.Service = std::move(Service);
    this->Options.Partitioned = Partitioned;
  }
  // Starts a new incarnation with a new start time. SameInstance: keeps the
  // instance ID.
  void start(bool SameInstance = false);
  // Ends the incarnation at once.
  void crash();
  // States a random limit on its request rate from time to time.
  void setLimitsEnabled(bool Enabled);
  // The link to the target is disturbed, so requests may arrive in bursts that
  // the node did not cause.
  void excuseArrivalsUntil(Instant Until);
  // Announces that it is leaving, continues to serve for a while, then
  // deregisters and ends the incarnation.
  void leave();
  // Deregisters without announcing it, continues to serve for a while without
  // any report, and ends the incarnation.
  void leaveByDeregistration();

  std::uint16_t port() const { return this->Http.port(); }
  bool isUp() const { return this->Model != nullptr; }
  bool isLeaving() const { return this->isUp() && this->Model->Draining; }
  // Name of the node beside this target, for the checker.
  void setNodeName(std::string Name) { this->NodeName = std::move(Name); }
  const std::string &name() const { return this->Options.Name; }
  bool isPartitioned() const { return this->Options.Partitioned; }
  bool holds(std::uint32_t Key, Instant Now) const {
    return this->isUp() && this->Model->holds(Key, Now);
  }

private:
  using ExchangePtr = std::shared_ptr<standins::Exchange>;

  // Identifies the incarnation to the checker.
  std::string identity() const;
  void changeLimit(Instant Now);
  // Headers of each answer, except for the attempt ID.
  standins::HeaderList answerHeaders() const;
  void sendReport();
  // Sends a report some seconds late; the target does not wait for the answer.
  void sendLate(const routing::TargetReport &Report);
  // Deregisters and calls OnDone with whether that was acknowledged.
  void deregister(std::function<void(bool)> OnDone);
  // Records that the node acknowledged that this incarnation is leaving.
  void recordLeavingAcknowledged();
  // Sends what another writer may report at the address of the node: another
  // service or another address, from a later start than this target's.
  void sendForeignReport();
  // Sends a report to the node beside this target.
  void send(const routing::TargetReport &Report,
            wire::HttpClient::Callback OnDone);
  void onReportAnswer(const wire::HttpResult &Result);
  void handleRequest(const ExchangePtr &Request);
  void reject(const ExchangePtr &Request, int Status);

  standins::Loop &Events;
  wire::HttpClient &Client;
  SoakChecker &Checker;
  SoakTargetOptions Options;
  std::mt19937_64 Random;
  // Separate, so that limits do not change the other decisions of a seed.
  std::mt19937_64 LimitRandom;
  bool LimitsEnabled = false;
  // Requests per second.
  std::optional<double> Limit;
  Instant NextLimitChangeAt;
  Instant ArrivalsExcusedUntil;
  // Null while the target is down. IncarnationNumber identifies late events of
  // an earlier incarnation.
  std::unique_ptr<sidecar::testing::ModelTarget> Model;
  std::uint64_t IncarnationNumber = 0;
  std::uint64_t InstanceNumber = 0;
  std::int64_t LastStartMillis = 0;
  std::uint32_t RunningRequests = 0;
  std::string ReportedAddress;
  std::string NodeName;
  // The incarnation has deregistered and reports no more.
  bool Deregistered = false;
  // Whether its last report stated that it is leaving.
  bool ReportedLeaving = false;
  Instant NextForeignReportAt;
  std::uint64_t ForeignReports = 0;
  // Whether a report is in flight; if not, the next one is due at NextReportAt.
  bool ReportPending = false;
  Instant NextReportAt;
  // Last, so that its connections are closed before the members that their
  // handlers use are destroyed.
  standins::HttpServer Http;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_TARGET_H
