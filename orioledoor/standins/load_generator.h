// Sends a load of HTTP requests over kept-alive connections.
//
//   LoadGenerator Load(Events, Options, Report);
//   Load.start();
//   Events.run(); // until the load stops the loop
#ifndef ORIOLEDOOR_STANDINS_LOAD_GENERATOR_H
#define ORIOLEDOOR_STANDINS_LOAD_GENERATOR_H

#include <cstdint>
#include <deque>
#include <iosfwd>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "orioledoor/standins/key_chooser.h"
#include "orioledoor/standins/load_report.h"

struct evhttp_request;

namespace orioledoor::standins {

class Loop;

struct LoadOptions {
  // "IP:PORT"; the connections are divided evenly among them.
  std::vector<std::string> Entries;
  std::string Service;
  std::uint32_t Connections = 16;
  // Requests a second; 0: each connection sends its next request at once.
  double Rate = 0;
  Duration Length = std::chrono::seconds(10);
  Duration Timeout = std::chrono::seconds(2);
  // The share of POST requests; the others are GET.
  double PostShare = 0;
  std::size_t BodyBytes = 100;
  KeyOptions Keys;
  std::uint64_t Seed = 1;
};

// Not thread-safe.
class LoadGenerator {
public:
  // Operations, if not null, gets a line "operation key status outcome" for
  // each POST, to be compared with the logs of the targets.
  LoadGenerator(Loop &Events, const LoadOptions &Options, LoadReport &Report,
                std::ostream *Operations);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  // Stops the loop when the last request of the load has ended.
  void start();

  Duration elapsed() const { return readClock() - this->Start; }

private:
  struct Connection;

  // In which second of the load a request was due.
  std::uint32_t secondOf(Instant Due) const;
  void tick();
  void next(Connection &Free);
  void send(Connection &Free, Instant Due);
  void ended(Connection &Used, evhttp_request *Answer);

  Loop &Events;
  LoadOptions Options;
  LoadReport &Report;
  std::ostream *Operations;
  KeyChooser Keys;
  std::mt19937_64 Random;
  std::string Body;
  Instant Start;
  std::vector<std::unique_ptr<Connection>> Connections;
  std::vector<Connection *> Idle;
  // Due requests for which no connection was free.
  std::deque<Instant> Waiting;
  std::uint64_t Scheduled = 0;
  std::uint64_t Open = 0;
  std::uint64_t LastOperation = 0;
  // Expires with the generator; timers check it first.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_LOAD_GENERATOR_H
