// Generates a load of HTTP requests over persistent connections.
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
  // Entry nodes as "IP:PORT"; the connections are distributed evenly among
  // them.
  std::vector<std::string> Entries;
  std::string Service;
  std::uint32_t Connections = 16;
  // Requests per second; 0: each connection sends its next request as soon as
  // the previous one has been answered.
  double Rate = 0;
  Duration RunTime = std::chrono::seconds(10);
  Duration Timeout = std::chrono::seconds(2);
  // Share of POST requests from 0 to 1; the others are GET.
  double PostShare = 0;
  std::size_t BodyBytes = 100;
  KeyOptions Keys;
  std::uint64_t Seed = 1;
};

// Not thread-safe.
class LoadGenerator {
public:
  // Writes a line "operation key status outcome" for each POST to Operations,
  // unless it is null, for comparison with the logs of the targets.
  LoadGenerator(Loop &Events, const LoadOptions &Options, LoadReport &Report,
                std::ostream *Operations);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  // Starts the load, which stops the loop when its last request has ended.
  void start();

  Duration elapsed() const { return readClock() - this->Start; }

private:
  struct Connection;

  // Returns in which second of the load a request was due.
  std::uint32_t secondOf(Instant Due) const;
  void sendDueRequests();
  void sendNext(Connection &IdleConn);
  void sendRequest(Connection &IdleConn, Instant Due);
  void handleAnswer(Connection &Conn, evhttp_request *Answer);

  Loop &Events;
  LoadOptions Options;
  LoadReport &Report;
  std::ostream *Operations;
  KeyChooser Keys;
  std::mt19937_64 Random;
  std::string Body;
  Instant Start;
  std::vector<std::unique_ptr<Connection>> Connections;
  std::vector<Connection *> IdleConnections;
  // Due times of the requests for which no connection has been free.
  std::deque<Instant> PendingDueTimes;
  std::uint64_t ScheduledRequests = 0;
  std::uint64_t OpenRequests = 0;
  std::uint64_t LastOperationNumber = 0;
  // Expires with the generator; timers check it before they use the generator.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>(true);
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_LOAD_GENERATOR_H
