// Tests how the watches of a fleet are spread over time, for all sizes from a
// single node to hundreds.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "orioledoor/sidecar/watch_schedule.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<std::size_t, 7> FleetSizes = {1, 2, 6, 18, 75, 295, 1000};
constexpr Duration Observed = seconds(60);

// Returns when the requests of a node end that opens its watch at 0 and sees
// no change.
std::vector<Duration> requestEnds(const WatchSchedule &Schedule) {
  std::vector<Duration> Ends;
  for (Duration End = Schedule.First; End <= Observed; End += Schedule.Interval)
    Ends.push_back(End);
  return Ends;
}

class WatchScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchScheduleTest);
  CPPUNIT_TEST(someWatchEndsSoonAfterAllWereOpenedAtOnce);
  CPPUNIT_TEST(requestsStayRare);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a fleet that misses a change for 10 s: after an outage of
  // the store all nodes opened their watches at once, the store then lost all
  // of them, and no node asked again before its own watch was over.
  void someWatchEndsSoonAfterAllWereOpenedAtOnce() {
    for (std::size_t Nodes : FleetSizes) {
      std::vector<Duration> Ends{Duration(0)};
      for (std::size_t Rank = 0; Rank < Nodes; ++Rank)
        std::ranges::copy(requestEnds(scheduleConfigWatch(Rank, Nodes)),
                          std::back_inserter(Ends));
      std::ranges::sort(Ends);
      for (std::size_t I = 1; I < Ends.size(); ++I)
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Nodes) + " nodes",
                               Ends[I] - Ends[I - 1] <= seconds(1));
    }
  }

  // Guards against watches that cost more reads than the store allows or the
  // fleet should pay for.
  void requestsStayRare() {
    for (std::size_t Nodes : FleetSizes) {
      std::size_t Requests = 0;
      for (std::size_t Rank = 0; Rank < Nodes; ++Rank)
        Requests += requestEnds(scheduleConfigWatch(Rank, Nodes)).size();
      // Two per second, or one per node in 10 s; the first one is additional.
      std::size_t Allowed = std::max<std::size_t>(120, Nodes * 6) + Nodes;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Nodes) + " nodes",
                             Requests <= Allowed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchScheduleTest);

} // namespace
} // namespace orioledoor::sidecar
