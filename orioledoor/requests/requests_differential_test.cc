// Checks the guarantees of section 1.1 of the design under faults: runs seeded
// schedules and compares the answers to callers with the executions on targets.
//
// Environment: ORIOLEDOOR_SEEDS is the number of schedules,
// ORIOLEDOOR_FIRST_SEED the first seed.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "orioledoor/requests/testing/simulation.h"

namespace orioledoor::requests {
namespace {

std::uint64_t readNumber(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::stoull(Text) : Default;
}

class RequestsDifferentialTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestsDifferentialTest);
  CPPUNIT_TEST(guaranteesHoldUnderFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  void guaranteesHoldUnderFaults() {
    std::uint64_t First = readNumber("ORIOLEDOOR_FIRST_SEED", 1);
    std::uint64_t Count = readNumber("ORIOLEDOOR_SEEDS", 1500);
    std::map<std::string, int> Outcomes;
    std::uint64_t Failed = 0;
    for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
      testing::Simulation Simulated(Seed);
      std::vector<std::string> Violations = Simulated.run();
      for (const auto &[Outcome, Times] : Simulated.checker().outcomes())
        Outcomes[Outcome] += Times;
      if (Violations.empty())
        continue;
      ++Failed;
      for (const std::string &Text : Violations)
        std::cerr << "seed " << Seed << ": " << Text << "\n";
    }
    for (const auto &[Outcome, Times] : Outcomes)
      std::cerr << "  " << Outcome << ": " << Times << "\n";
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Failed);
    // The schedules must reach successes and failures of each kind; otherwise
    // the comparison would be vacuous.
    if (Count >= 100)
      for (const char *Expected :
           {"ran 200", "not-run 503", "unknown 503", "unknown 504",
            "not-run 422", "not-run 429", "unknown 502"})
        CPPUNIT_ASSERT_MESSAGE(Expected, Outcomes[Expected] > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestsDifferentialTest);

} // namespace
} // namespace orioledoor::requests
