// Tests of the estimate of how late messages arrive.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "orioledoor/routing/transit_delays.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char Node[] = "tcp://10.0.0.2:7100";
// The clock of the sender began an hour before that of the receiver.
constexpr Duration ClockOffset = std::chrono::hours(1);
constexpr Duration Transit = milliseconds(10);

class TransitDelaysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransitDelaysTest);
  CPPUNIT_TEST(firstMessageHasNoDelay);
  CPPUNIT_TEST(measuresWhatExceedsTheFastestMessage);
  CPPUNIT_TEST(followsADriftingClock);
  CPPUNIT_TEST(beginsAnewWithTheClockOfTheSender);
  CPPUNIT_TEST_SUITE_END();

public:
  void firstMessageHasNoDelay() {
    CPPUNIT_ASSERT(!this->noteAfter(Transit));
    CPPUNIT_ASSERT(this->noteAfter(Transit));
    this->Delays.remove(Node);
    CPPUNIT_ASSERT(!this->noteAfter(Transit));
  }

  // Guards against taking a request of a second ago for a new one, since the
  // clocks of two VMs cannot be compared.
  void measuresWhatExceedsTheFastestMessage() {
    this->noteAfter(Transit + milliseconds(40));
    CPPUNIT_ASSERT(this->noteAfter(Transit) == Duration(0));
    CPPUNIT_ASSERT(this->noteAfter(Transit + milliseconds(990)) ==
                   milliseconds(990));
    CPPUNIT_ASSERT(this->noteAfter(Transit) == Duration(0));
  }

  // Guards against delays that grow with the time since the fastest message: a
  // clock that is 500 ppm slow loses 300 ms in ten minutes.
  void followsADriftingClock() {
    Duration Longest(0);
    for (int Second = 0; Second < 600; ++Second) {
      this->Now = this->Now + seconds(1);
      Duration Lost(Second * 500);
      Longest = std::max(Longest,
                         this->noteAfter(Transit + Lost).value_or(Duration(0)));
    }
    CPPUNIT_ASSERT(Longest <= milliseconds(60));
  }

  // Guards against treating every message of a VM as late for minutes after it
  // was replaced at the same address.
  void beginsAnewWithTheClockOfTheSender() {
    this->noteAfter(Transit);
    CPPUNIT_ASSERT(!this->noteAfter(Transit + ClockOffset));
    CPPUNIT_ASSERT(this->noteAfter(Transit + ClockOffset) == Duration(0));
    CPPUNIT_ASSERT(this->noteAfter(Transit) == Duration(0));
  }

private:
  // Records a message that is read now and was this long on its way.
  std::optional<Duration> noteAfter(Duration Time) {
    return this->Delays.note(Node, this->Now - Time + ClockOffset, this->Now);
  }

  TransitDelays Delays;
  Instant Now{std::int64_t{7'200'000'000}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransitDelaysTest);

} // namespace
} // namespace orioledoor::routing
