// target_standin: a target on 127.0.0.1 that announces itself to the node
// beside it, for tests. SIGTERM starts a graceful stop; a second one ends the
// process at once.
//
//   target_standin --port 22201 --node 127.0.0.1:22101 --service consulta
#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>

#include "orioledoor/standins/command_line.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/target_server.h"

namespace po = boost::program_options;
using orioledoor::standins::TargetOptions;
using Milliseconds = std::chrono::milliseconds;

int main(int Argc, char **Argv) {
  TargetOptions Target;
  double ServiceMs = 2;
  std::int64_t StartingMs = 0;
  std::int64_t ColdMs = 0;
  std::int64_t DrainMs = 5000;
  po::options_description Options("target_standin");
  Options.add_options()("help", "shows the options")(
      "port", po::value(&Target.Port)->required(), "port on 127.0.0.1")(
      "node", po::value(&Target.Node), "IP:PORT of the node's HTTP endpoint")(
      "announce-port", po::value(&Target.AnnouncedPort),
      "port to announce, if a relay stands in front")(
      "service", po::value(&Target.Service)->required(),
      "service name")("name", po::value(&Target.Name), "name in answers")(
      "slots", po::value(&Target.Slots), "operations at once")(
      "connections", po::value(&Target.Connections), "connections at once")(
      "checks-fence", po::bool_switch(&Target.ChecksFence),
      "requires grants and checks fencing numbers")(
      "service-ms", po::value(&ServiceMs), "time of an operation")(
      "starting-ms", po::value(&StartingMs), "time announced as starting")(
      "cold-ms", po::value(&ColdMs), "slow time after that")(
      "cold-factor", po::value(&Target.ColdFactor), "how slow")(
      "drain-ms", po::value(&DrainMs), "longest time from SIGTERM to the end");
  if (auto Status = orioledoor::standins::parseCommandLine("target_standin",
                                                           Options, Argc, Argv))
    return *Status;
  Target.ServiceTime = std::chrono::duration_cast<orioledoor::Duration>(
      std::chrono::duration<double, std::milli>(ServiceMs));
  Target.StartupTime = Milliseconds(StartingMs);
  Target.ColdTime = Milliseconds(ColdMs);
  Target.DrainTimeout = Milliseconds(DrainMs);
  orioledoor::standins::Loop Events;
  orioledoor::standins::TargetServer Server(Events, Target);
  Events.onSignal([&Server] { Server.stop(); });
  std::cout << "target_standin listens on 127.0.0.1:" << Server.port()
            << std::endl;
  Events.run();
  return 0;
}
