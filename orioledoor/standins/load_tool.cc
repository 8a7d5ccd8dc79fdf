// load_tool: sends a load of HTTP requests to one or more entry nodes and
// prints the request count, statuses, latencies and its own CPU time. The exit
// status is 3 if an answer belonged to another request.
//
//   load_tool --entry 127.0.0.1:22100 --service consulta --rate 2000
#include <boost/program_options.hpp>

#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>

#include "orioledoor/standins/command_line.h"
#include "orioledoor/standins/json_poster.h"
#include "orioledoor/standins/load_generator.h"
#include "orioledoor/standins/loop.h"

namespace po = boost::program_options;
using namespace orioledoor::standins;

namespace {

orioledoor::Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<orioledoor::Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

int main(int Argc, char **Argv) {
  LoadOptions Load;
  double RunTime = 10;
  double Timeout = 2;
  double HotShiftPeriod = 0;
  std::string CsvFile;
  std::string OperationsFile;
  po::options_description Options("load_tool");
  Options.add_options()("help", "shows the options")(
      "entry", po::value(&Load.Entries)->required(),
      "IP:PORT of an entry node; may be repeated")(
      "service", po::value(&Load.Service)->required(), "service name")(
      "connections", po::value(&Load.Connections), "kept-alive connections")(
      "rate", po::value(&Load.Rate),
      "requests a second; 0: each connection sends without pause")(
      "duration", po::value(&RunTime), "seconds")(
      "timeout", po::value(&Timeout), "deadline of a request in seconds")(
      "post", po::value(&Load.PostShare), "share of POST, 0 to 1")(
      "body", po::value(&Load.BodyBytes), "bytes of a POST body")(
      "keys", po::value(&Load.Keys.Keys), "number of keys")(
      "skew", po::value(&Load.Keys.Skew), "Zipf exponent; 0: uniform")(
      "hot-share", po::value(&Load.Keys.HotShare), "share for the hot keys")(
      "hot-keys", po::value(&Load.Keys.HotKeys),
      "number of hot keys")("hot-shift", po::value(&HotShiftPeriod),
                            "seconds after which other keys are hot; 0: never")(
      "seed", po::value(&Load.Seed), "of keys and operation identifiers")(
      "csv", po::value(&CsvFile), "file for one line a second")(
      "operations", po::value(&OperationsFile),
      "file for one line a POST: operation, key, status, outcome");
  if (auto Status = parseCommandLine("load_tool", Options, Argc, Argv))
    return *Status;
  for (const std::string &Entry : Load.Entries)
    if (splitPeer(Entry).second == 0) {
      std::cerr << "load_tool: entry " << Entry << " is not IP:PORT\n";
      return 2;
    }
  if (Load.Connections == 0 || Load.Keys.Keys == 0 || Load.Keys.HotKeys == 0) {
    std::cerr << "load_tool: connections, keys and hot-keys must be above 0\n";
    return 2;
  }
  Load.RunTime = toDuration(RunTime);
  Load.Timeout = toDuration(Timeout);
  Load.Keys.HotShiftPeriod = toDuration(HotShiftPeriod);
  std::ofstream Operations;
  if (!OperationsFile.empty())
    Operations.open(OperationsFile);
  Loop Events;
  LoadReport Report;
  LoadGenerator Generator(Events, Load, Report,
                          OperationsFile.empty() ? nullptr : &Operations);
  Generator.start();
  Events.run();
  Report.print(std::cout, Generator.elapsed());
  if (!CsvFile.empty()) {
    std::ofstream Csv(CsvFile);
    Report.printCsv(Csv);
  }
  return Report.misrouted() == 0 ? 0 : 3;
}
