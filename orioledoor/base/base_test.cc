// Guards the stability of hashes across builds and the payloads of errors.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/base/error.h"
#include "orioledoor/base/ids.h"
#include "orioledoor/base/instant.h"

namespace orioledoor {
namespace {

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(hashIsStable);
  CPPUNIT_TEST(errorCarriesStepAndPeer);
  CPPUNIT_TEST(clockAdvances);
  CPPUNIT_TEST_SUITE_END();

public:
  // A changed hash would send every key to another owner on upgrade.
  void hashIsStable() {
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

  void clockAdvances() {
    Instant First = readClock();
    CPPUNIT_ASSERT(readClock() >= First);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

} // namespace
} // namespace orioledoor
