// Collects the counts and latencies of a load.
//
//   LoadReport Report;
//   Report.add({.Second = 3, .Latency = 900us, .Status = 200});
//   Report.print(std::cout);
#ifndef ORIOLEDOOR_STANDINS_LOAD_REPORT_H
#define ORIOLEDOOR_STANDINS_LOAD_REPORT_H

#include <cstdint>
#include <iosfwd>
#include <map>
#include <span>
#include <vector>

#include "orioledoor/base/instant.h"

namespace orioledoor::standins {

// The result of one request.
struct LoadSample {
  // In which second of the load the request was due.
  std::uint32_t Second = 0;
  // Time since the request was due, including the wait for a free connection.
  Duration Latency{0};
  // The HTTP status; 0: no connection, -1: the connection failed or the
  // answer was late or truncated, -2: not sent, since no connection was free
  // before the deadline.
  int Status = 0;
  // The answer belongs to another key or operation.
  bool Misrouted = false;
};

// Not thread-safe. Stores 4 bytes per request.
class LoadReport {
public:
  void add(const LoadSample &Sample);

  std::uint64_t misrouted() const { return this->Misrouted; }

  // Prints the requests by status and the latency quantiles of the answers with
  // a status below 500.
  void print(std::ostream &Out, Duration Elapsed) const;
  // Prints one line per second: second, requests, answers below 500, errors,
  // p50, p99 and p999 in microseconds, misrouted.
  void printCsv(std::ostream &Out) const;

private:
  struct Second {
    std::uint64_t Requests = 0;
    std::uint64_t Misrouted = 0;
    // Latencies of the answers below 500, in microseconds.
    std::vector<std::uint32_t> Latencies;
  };

  std::map<std::uint32_t, Second> Seconds;
  std::map<int, std::uint64_t> ByStatus;
  std::uint64_t Misrouted = 0;
};

} // namespace orioledoor::standins

#endif // ORIOLEDOOR_STANDINS_LOAD_REPORT_H
