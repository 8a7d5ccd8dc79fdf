// store_standin: an in-memory store that speaks the JSON gateway of the etcd
// v3 interface on 127.0.0.1, for trials.
//
//   store_standin --port 22000
#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>

#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/store_server.h"

namespace po = boost::program_options;

int main(int Argc, char **Argv) {
  std::uint16_t Port = 0;
  po::options_description Options("store_standin");
  Options.add_options()("help", "shows the options")(
      "port", po::value(&Port)->required(), "port on 127.0.0.1");
  try {
    po::variables_map Given;
    po::store(po::parse_command_line(Argc, Argv, Options), Given);
    if (Given.contains("help")) {
      std::cout << Options;
      return 0;
    }
    po::notify(Given);
  } catch (const po::error &Error) {
    std::cerr << "store_standin: " << Error.what() << '\n' << Options;
    return 2;
  }
  orioledoor::standins::Loop Events;
  orioledoor::standins::StoreServer Store(Events, Port);
  std::cout << "store_standin listens on 127.0.0.1:" << Store.port()
            << std::endl;
  Events.run();
  return 0;
}
