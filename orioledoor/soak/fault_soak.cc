// fault_soak: runs real node processes on loopback under random faults, which a
// seed determines, and checks the guarantees of the request path.
//
//   fault_soak --program build/orioledoor/daemon/orioledoor --seed 7
//
// Prints a line of counts and, if a guarantee was violated, the faults and the
// violations. The logs of the nodes remain in --directory. Exit status 1: a
// guarantee was violated.
#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <ranges>
#include <string>

#include "orioledoor/soak/soak_checker.h"
#include "orioledoor/soak/soak_config_probe.h"
#include "orioledoor/soak/soak_faults.h"
#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/soak/soak_load.h"
#include "orioledoor/standins/command_line.h"
#include "orioledoor/standins/loop.h"

namespace po = boost::program_options;
using namespace orioledoor;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration StepInterval = milliseconds(20);
// Maximum time until all nodes are ready and all keys are served at the start.
constexpr Duration StartTimeout = seconds(20);
// Time after the last fault within which the fleet must recover.
constexpr Duration RecoveryTimeout = seconds(15);
// Number of requests whose results are checked after the recovery; each key is
// requested at least twice.
constexpr int CheckedRequests = 450;
// Share of the requests that must be served after the recovery.
constexpr double MinServedShare = 0.95;
// One fault can cause many violations of the same kind; the first ones show the
// cause.
constexpr std::size_t MaxPrintedViolations = 30;

struct SoakOptions {
  soak::SoakFleetOptions Fleet;
  soak::SoakLoadOptions Load;
  double Seconds = 20;
  bool PlannedStops = false;
  bool ServiceChanges = false;
  bool PeerLinks = false;
  bool LateReports = false;

  soak::SoakFaultKinds kinds() const {
    return this->PlannedStops     ? soak::SoakFaultKinds::PlannedStops
           : this->ServiceChanges ? soak::SoakFaultKinds::ServiceChanges
           : this->PeerLinks      ? soak::SoakFaultKinds::PeerLinks
           : this->LateReports    ? soak::SoakFaultKinds::LateReports
                                  : soak::SoakFaultKinds::All;
  }
};

// Adapts the fleet and the load to the kinds of faults.
void applyKinds(SoakOptions &Options) {
  Options.Load.Seed = Options.Fleet.Seed;
  Options.Load.ChecksLost = Options.PlannedStops || Options.PeerLinks;
  // More requests are open at the moment of a stop.
  if (Options.Load.ChecksLost)
    Options.Fleet.RequestsPerLongRequest = 3;
  if (Options.LateReports)
    Options.Fleet.ReportsPerLateReport = 4;
  if (!Options.PeerLinks)
    return;
  // A request is still open when the second of two connections is lost, and has
  // time for its result to be sent again. 8 ms are the way to another region.
  Options.Fleet.PeerDelay = milliseconds(8);
  Options.Fleet.LongRunTime = milliseconds(1000);
  Options.Fleet.RouteTimeout = seconds(6);
  Options.Load.RequestTimeout = milliseconds(5000);
  Options.Load.RequestsPerStep = 1;
}

class Soak {
public:
  explicit Soak(const SoakOptions &Options)
      : Options(Options), Fleet(this->Events, this->Checker, Options.Fleet),
        Load(this->Fleet, this->Checker, Options.Load),
        ConfigProbe(this->Fleet, this->Checker),
        Faults(this->Events, this->Fleet, Options.Fleet.Seed, Options.kinds()) {
  }

  int run() {
    this->Fleet.start();
    this->Events.every(StepInterval, [this] { this->step(); });
    this->Events.every(milliseconds(500),
                       [this] { this->Fleet.probeReadiness(); });
    if (!this->Events.runUntil([this] { return this->servesAllKeys(); },
                               StartTimeout))
      this->Checker.addViolation("START", "not all keys are served",
                                 readClock());
    this->FaultsEnabled = true;
    this->Fleet.setLimitsEnabled(true);
    auto FaultDuration =
        Duration(static_cast<std::int64_t>(this->Options.Seconds * 1e6));
    this->Events.runUntil([] { return false; }, FaultDuration);
    soak::SoakCounts FaultCounts = this->Load.counts();
    this->checkRecovery();
    this->Fleet.killAll();
    this->report(FaultCounts);
    return this->Checker.violations().empty() ? 0 : 1;
  }

private:
  void step() {
    Instant Now = readClock();
    this->Fleet.step(Now);
    this->Load.step(Now);
    if (!this->FaultsEnabled)
      return;
    this->Faults.step(Now);
    this->ConfigProbe.step(Now);
  }

  bool servesAllKeys() const {
    return this->Fleet.ready() && this->Load.servedKeys() == soak::KeyCount;
  }

  void checkRecovery() {
    this->FaultsEnabled = false;
    this->Fleet.setLimitsEnabled(false);
    this->Fleet.clearFaults();
    // Faults whose scheduled end is later are reverted above or end within this
    // time.
    this->Events.runUntil([] { return false; }, RecoveryTimeout);
    this->Fleet.clearFaults();
    this->Load.resetCounts();
    this->Events.runUntil(
        [] { return false; },
        StepInterval * (CheckedRequests / this->Options.Load.RequestsPerStep));
    this->Load.stop();
    this->Events.runUntil([this] { return this->Load.idle(); },
                          this->Options.Load.RequestTimeout + seconds(3));
    const soak::SoakCounts &RecoveryCounts = this->Load.counts();
    double ServedShare = static_cast<double>(RecoveryCounts.Served) /
                         static_cast<double>(std::max<std::uint64_t>(
                             RecoveryCounts.Sent - RecoveryCounts.Left, 1));
    if (ServedShare < MinServedShare)
      this->Checker.addViolation("RECOVER",
                                 "only " + std::to_string(ServedShare) +
                                     " of the requests are served",
                                 readClock());
    if (this->Load.servedKeys() < soak::KeyCount)
      this->Checker.addViolation(
          "RECOVER",
          std::to_string(soak::KeyCount - this->Load.servedKeys()) +
              " keys are not served",
          readClock());
  }

  void report(const soak::SoakCounts &FaultCounts) const {
    std::cout << "seed " << this->Options.Fleet.Seed << ": " << FaultCounts.Sent
              << " sent, " << FaultCounts.Served << " served, "
              << FaultCounts.Refused << " refused, " << FaultCounts.Failed
              << " failed, " << FaultCounts.Broken << " broken, "
              << FaultCounts.Left << " left, "
              << this->ConfigProbe.checkedAnswers() << " routes checked; "
              << this->Faults.history().size() << " faults, "
              << this->Checker.violations().size() << " violations"
              << std::endl;
    if (this->Checker.violations().empty())
      return;
    for (const std::string &Entry : this->Faults.history())
      std::cout << "  fault at " << Entry << "\n";
    for (const soak::Violation &Entry :
         this->Checker.violations() | std::views::take(MaxPrintedViolations))
      std::cout << "  " << Entry.Rule << ": " << Entry.Detail << " (clock "
                << Entry.At.micros() << ")\n";
  }

  SoakOptions Options;
  standins::Loop Events;
  soak::SoakChecker Checker;
  soak::SoakFleet Fleet;
  soak::SoakLoad Load;
  soak::SoakConfigProbe ConfigProbe;
  soak::SoakFaults Faults;
  bool FaultsEnabled = false;
};

} // namespace

int main(int Argc, char **Argv) {
  SoakOptions Options;
  po::options_description Description("fault_soak");
  Description.add_options()("help", "shows the options")(
      "program", po::value(&Options.Fleet.Program)->required(),
      "the node's program")(
      "directory",
      po::value(&Options.Fleet.Directory)->default_value("out/soak"),
      "directory for settings and logs")("seed", po::value(&Options.Fleet.Seed),
                                         "seed of the faults and the load")(
      "nodes", po::value(&Options.Fleet.Nodes),
      "processes")("seconds", po::value(&Options.Seconds),
                   "duration of the faults in seconds")(
      "planned-stops", po::bool_switch(&Options.PlannedStops),
      "only stops of several nodes at once, changes of the configuration, and "
      "a store that is down, slow or loses answers; no request may be cut off")(
      "service-changes", po::bool_switch(&Options.ServiceChanges),
      "only VMs that change their service, beside crashes of targets and "
      "faults "
      "of the store")("peer-links", po::bool_switch(&Options.PeerLinks),
                      "stops of several nodes at once, while connections "
                      "between nodes fall silent, break or stand still; no "
                      "request may be cut off")(
      "late-reports", po::bool_switch(&Options.LateReports),
      "only nodes that are killed beside targets that leave, while reports are "
      "seconds late; keys have one holder, and departures count")(
      "port", po::value(&Options.Fleet.FirstPort),
      "first port; each node uses 9");
  if (auto Status =
          standins::parseCommandLine("fault_soak", Description, Argc, Argv))
    return *Status;
  applyKinds(Options);
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(Options.Fleet.Directory);
  return Soak(Options).run();
}
