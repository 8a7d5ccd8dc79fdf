// Tests that hashes are the same in every build, that errors carry their step
// and peer, and that the clock is monotonic.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/base/error.h"
#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor {
namespace {

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(hashDoesNotChangeBetweenReleases);
  CPPUNIT_TEST(errorCarriesStepAndPeer);
  CPPUNIT_TEST(clockIsMonotonic);
  CPPUNIT_TEST_SUITE_END();

public:
  // Nodes route by the hash of the key: a changed hash function would assign
  // almost every key to another owner during an upgrade.
  void hashDoesNotChangeBetweenReleases() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x2d06800538d394c2}, stableHash(""));
    CPPUNIT_ASSERT(sliceOf("font-17", 4096) < 4096);
  }

  void errorCarriesStepAndPeer() {
    absl::Status Error = makeError(absl::StatusCode::kUnavailable, "forward",
                                   "member 7", "no answer");
    CPPUNIT_ASSERT_EQUAL(std::string("forward"), stepOf(Error));
    CPPUNIT_ASSERT_EQUAL(std::string("member 7"), peerOf(Error));
    CPPUNIT_ASSERT(Error.message() == "forward at member 7: no answer");
  }

  void clockIsMonotonic() {
    Instant First = readClock();
    CPPUNIT_ASSERT(readClock() >= First);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

} // namespace
} // namespace orioledoor
