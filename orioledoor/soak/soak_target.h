// A stand-in target of the platform for the soak: reports to the node beside
// it, holds keys under leases and tokens, and runs requests.
//
//   SoakTarget Target(Events, Client, Judge, {.Service = "keyed", ...});
//   Target.start();
//   Target.crash();   // connections end, keys and reports with them
#ifndef ORIOLEDOOR_SOAK_SOAK_TARGET_H
#define ORIOLEDOOR_SOAK_SOAK_TARGET_H

#include <cstdint>
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

class SoakJudge;

struct SoakTargetOptions {
  std::string Name{};
  std::string Service{};
  bool Partitioned = false;
  // Where the node takes reports.
  Endpoint Node{};
  std::uint32_t Slots = 6;
  std::uint64_t Seed = 1;
};

// Not thread-safe.
class SoakTarget {
public:
  SoakTarget(standins::Loop &Events, wire::HttpClient &Client, SoakJudge &Judge,
             SoakTargetOptions Options);

  // Begins a life with a new start time; SameInstance keeps the id.
  void start(bool SameInstance = false);
  // Ends the life at once.
  void crash();
  // Says that it leaves, serves on for a while, deregisters and ends.
  void leave();

  std::uint16_t port() const { return this->Http.port(); }
  bool up() const { return this->Life != nullptr; }
  bool leaving() const { return this->up() && this->Life->Draining; }
  const std::string &name() const { return this->Options.Name; }
  bool partitioned() const { return this->Options.Partitioned; }
  bool holds(std::uint32_t Key, Instant Now) const {
    return this->up() && this->Life->holds(Key, Now);
  }

private:
  using Call = std::shared_ptr<standins::Exchange>;

  void report();
  void answered(const wire::HttpResult &Result);
  void serve(const Call &Request);
  void refuse(const Call &Request, int Status);

  standins::Loop &Events;
  wire::HttpClient &Client;
  SoakJudge &Judge;
  SoakTargetOptions Options;
  std::mt19937_64 Random;
  // Null while it is down. Its number tells late events of an earlier life.
  std::unique_ptr<sidecar::testing::ModelTarget> Life;
  std::uint64_t LifeNumber = 0;
  std::uint64_t InstanceNumber = 0;
  std::int64_t LastBorn = 0;
  std::uint32_t Running = 0;
  // A report is open, or the next one is due then.
  bool Reporting = false;
  Instant ReportAt;
  // Last, so that its connections close before what they refer to.
  standins::HttpServer Http;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_SOAK_TARGET_H
