// store_standin: an in-memory store that speaks the protocol of the platform's
// store on 127.0.0.1, for tests.
//
//   store_standin --port 22000
#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>

#include "orioledoor/standins/command_line.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/store_server.h"

namespace po = boost::program_options;

int main(int Argc, char **Argv) {
  std::uint16_t Port = 0;
  po::options_description Options("store_standin");
  Options.add_options()("help", "shows the options")(
      "port", po::value(&Port)->required(), "port on 127.0.0.1");
  if (auto Status = orioledoor::standins::parseCommandLine("store_standin",
                                                           Options, Argc, Argv))
    return *Status;
  orioledoor::standins::Loop Events;
  orioledoor::standins::StoreServer Store(Events, Port);
  std::cout << "store_standin listens on 127.0.0.1:" << Store.port()
            << std::endl;
  Events.run();
  return 0;
}
