// relay: relays TCP between ports of 127.0.0.1, for tests with network
// faults. POST /standin/faults to the control port sets the faults of all
// links, or only of the link that listens on "port"; GET /standin/counters
// shows the open connections by port.
//
//   relay --control 22900 --link 22010:22020 --link 22011:22021
#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "orioledoor/standins/command_line.h"
#include "orioledoor/standins/http_server.h"
#include "orioledoor/standins/json_poster.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/relay_link.h"

namespace po = boost::program_options;
using namespace orioledoor::standins;
using Json = nlohmann::json;

namespace {

void serve(std::list<RelayLink> &Links, Exchange &Request) {
  if (Request.path() == "/standin/counters") {
    Json Answer = Json::object();
    for (const RelayLink &Link : Links)
      Answer[std::to_string(Link.port())] = Link.openConnections();
    return Request.reply(200, Answer.dump());
  }
  if (Request.path() != "/standin/faults")
    return Request.reply(404, "{}");
  try {
    Json Faults = Json::parse(Request.body());
    bool Found = false;
    for (RelayLink &Link : Links)
      if (!Faults.contains("port") || Faults.at("port") == Link.port()) {
        Link.setFaults(Faults);
        Found = true;
      }
    Request.reply(Found ? 200 : 404, "{}");
  } catch (const Json::exception &Error) {
    Request.reply(400, Json{{"error", Error.what()}}.dump());
  }
}

} // namespace

int main(int Argc, char **Argv) {
  std::uint16_t ControlPort = 0;
  std::vector<std::string> LinkArguments;
  po::options_description Options("relay");
  Options.add_options()("help", "shows the options")(
      "control", po::value(&ControlPort)->required(),
      "port for faults")("link", po::value(&LinkArguments)->required(),
                         "LISTEN:TARGET, ports of 127.0.0.1; may be repeated");
  if (auto Status = parseCommandLine("relay", Options, Argc, Argv))
    return *Status;
  Loop Events;
  std::list<RelayLink> Links;
  for (const std::string &Text : LinkArguments) {
    std::uint16_t ListenPort =
        splitPeer("127.0.0.1:" + Text.substr(0, Text.find(':'))).second;
    std::uint16_t TargetPort = splitPeer(Text).second;
    if (ListenPort == 0 || TargetPort == 0) {
      std::cerr << "relay: link " << Text << " is not LISTEN:TARGET\n";
      return 2;
    }
    Links.emplace_back(Events, ListenPort,
                       "127.0.0.1:" + std::to_string(TargetPort));
  }
  HttpServer Server(Events, ControlPort,
                    [&Links](const std::shared_ptr<Exchange> &Request) {
                      serve(Links, *Request);
                    });
  std::cout << "relay is controlled at 127.0.0.1:" << Server.port()
            << std::endl;
  Events.run();
  return 0;
}
