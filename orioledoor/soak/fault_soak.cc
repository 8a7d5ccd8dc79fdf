// fault_soak: runs real nodes as processes on loopback under faults that are
// drawn from a seed, and checks the promises of the request path meanwhile.
//
//   fault_soak --program build/orioledoor/daemon/orioledoor --seed 7
//
// Prints a line of counts, and the faults and violations if there are any. The
// logs of the nodes stay in --directory. Exit status 1: something was violated.
#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <ranges>
#include <string>

#include "orioledoor/soak/soak_config_check.h"
#include "orioledoor/soak/soak_faults.h"
#include "orioledoor/soak/soak_fleet.h"
#include "orioledoor/soak/soak_judge.h"
#include "orioledoor/soak/soak_load.h"
#include "orioledoor/standins/command_line.h"
#include "orioledoor/standins/loop.h"

namespace po = boost::program_options;
using namespace orioledoor;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration StepInterval = milliseconds(20);
// Until all nodes are ready and all keys are served at the start.
constexpr Duration StartLimit = seconds(20);
// After the last fault, within which service is to recover.
constexpr Duration RecoveryLimit = seconds(15);
// What is judged after the recovery.
constexpr Duration SampleTime = seconds(3);
constexpr double LeastServed = 0.95;
// Violations of one kind follow each other; the first ones tell the cause.
constexpr std::size_t MaxPrinted = 30;

struct SoakOptions {
  soak::SoakFleetOptions Fleet;
  double Seconds = 20;
};

class Soak {
public:
  explicit Soak(const SoakOptions &Options)
      : Options(Options), Fleet(this->Events, this->Judge, Options.Fleet),
        Load(this->Fleet, this->Judge, Options.Fleet.Seed),
        Configs(this->Fleet, this->Judge),
        Faults(this->Events, this->Fleet, Options.Fleet.Seed) {}

  int run() {
    this->Fleet.start();
    this->Events.every(StepInterval, [this] { this->step(); });
    this->Events.every(milliseconds(500), [this] { this->Fleet.probeReady(); });
    if (!this->Events.runUntil([this] { return this->serving(); }, StartLimit))
      this->Judge.note("START", "not all keys are served", readClock());
    this->FaultsOn = true;
    auto Length =
        Duration(static_cast<std::int64_t>(this->Options.Seconds * 1e6));
    this->Events.runUntil([] { return false; }, Length);
    soak::SoakCounts Under = this->Load.counts();
    this->recover();
    this->Fleet.end();
    this->report(Under);
    return this->Judge.violations().empty() ? 0 : 1;
  }

private:
  void step() {
    Instant Now = readClock();
    this->Fleet.step(Now);
    this->Load.step(Now);
    if (!this->FaultsOn)
      return;
    this->Faults.step(Now);
    this->Configs.step(Now);
  }

  bool serving() const {
    return this->Fleet.ready() && this->Load.servedKeys() == soak::Keys;
  }

  void recover() {
    this->FaultsOn = false;
    this->Fleet.heal();
    // Faults that were to end later end now or within this time.
    this->Events.runUntil([] { return false; }, RecoveryLimit);
    this->Fleet.heal();
    this->Load.reset();
    this->Events.runUntil([] { return false; }, SampleTime);
    this->Load.stop();
    this->Events.runUntil([this] { return this->Load.idle(); }, seconds(4));
    const soak::SoakCounts &After = this->Load.counts();
    double Share = static_cast<double>(After.Served) /
                   static_cast<double>(std::max<std::uint64_t>(After.Sent, 1));
    if (Share < LeastServed)
      this->Judge.note("RECOVER",
                       "only " + std::to_string(Share) +
                           " of the requests are served",
                       readClock());
    if (this->Load.servedKeys() < soak::Keys)
      this->Judge.note("RECOVER",
                       std::to_string(soak::Keys - this->Load.servedKeys()) +
                           " keys are not served",
                       readClock());
  }

  void report(const soak::SoakCounts &Under) const {
    std::cout << "seed " << this->Options.Fleet.Seed << ": " << Under.Sent
              << " sent, " << Under.Served << " served, " << Under.Refused
              << " refused, " << Under.Failed << " failed, " << Under.Broken
              << " broken, " << this->Configs.judged() << " routes judged; "
              << this->Faults.history().size() << " faults, "
              << this->Judge.violations().size() << " violations" << std::endl;
    if (this->Judge.violations().empty())
      return;
    for (const std::string &Each : this->Faults.history())
      std::cout << "  fault at " << Each << "\n";
    for (const soak::Violation &Each :
         this->Judge.violations() | std::views::take(MaxPrinted))
      std::cout << "  " << Each.Rule << ": " << Each.Detail << " (clock "
                << Each.At.micros() << ")\n";
  }

  SoakOptions Options;
  standins::Loop Events;
  soak::SoakJudge Judge;
  soak::SoakFleet Fleet;
  soak::SoakLoad Load;
  soak::SoakConfigCheck Configs;
  soak::SoakFaults Faults;
  bool FaultsOn = false;
};

} // namespace

int main(int Argc, char **Argv) {
  SoakOptions Options;
  po::options_description Known("fault_soak");
  Known.add_options()("help", "shows the options")(
      "program", po::value(&Options.Fleet.Program)->required(),
      "the node's program")(
      "directory",
      po::value(&Options.Fleet.Directory)->default_value("out/soak"),
      "for settings and logs")("seed", po::value(&Options.Fleet.Seed),
                               "of faults and load")(
      "nodes", po::value(&Options.Fleet.Nodes),
      "processes")("seconds", po::value(&Options.Seconds), "time with faults")(
      "port", po::value(&Options.Fleet.FirstPort), "first of 8 ports a node");
  if (auto Status = standins::parseCommandLine("fault_soak", Known, Argc, Argv))
    return *Status;
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(Options.Fleet.Directory);
  return Soak(Options).run();
}
