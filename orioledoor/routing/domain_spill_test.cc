// Tests of DomainSpill in virtual time: a queue model of two regions, of which
// the first may send a share of its requests to the second.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

#include "orioledoor/routing/domain_spill.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto Region = SpillBoundary::Region;

// Two regions with the same capacity; times are in milliseconds. The work takes
// 250 ms, the target latency is 1 s and the transit 16 ms.
struct TwoRegions {
  struct OneRegion {
    DomainSpill Spill;
    double Wait = 0;
    SpillTimes Times{.Transit = milliseconds(16), .TargetLatency = seconds(1)};
    // Changes between rising and falling shares.
    int Turns = 0;
    bool LastUp = false;
    std::uint32_t Highest = 0;
  };

  // Demands in multiples of the capacity of one region. Requests that would
  // wait longer than 1 s are refused.
  void step(std::array<double, 2> Demands, Duration ViewInterval) {
    this->Now = this->Now + milliseconds(10);
    std::array<double, 2> Leaving{};
    for (std::size_t I : {0, 1})
      Leaving[I] =
          Demands[I] * this->Regions[I].Spill.share(Region) / SpillSteps;
    for (std::size_t I : {0, 1}) {
      double &Wait = this->Regions[I].Wait;
      double Demand = Demands[I] - Leaving[I] + Leaving[1 - I];
      Wait = std::clamp(Wait + 10 * (Demand - 1), 0., 1000.);
      this->Late += Wait > 750;
    }
    for (std::size_t I : {0, 1})
      this->decide(this->Regions[I], this->Regions[1 - I], ViewInterval);
  }

  void decide(OneRegion &Here, const OneRegion &There, Duration ViewInterval) {
    if (this->Now - Here.Times.SeenAt >= ViewInterval) {
      Here.Times.Here = milliseconds(250 + std::lround(Here.Wait));
      Here.Times.There = milliseconds(266 + std::lround(There.Wait));
      Here.Times.SeenAt = this->Now;
    }
    auto Step = Here.Spill.observe(Region, Here.Times, this->Now);
    if (!Step)
      return;
    bool Up = Step->To > Step->From;
    Here.Turns += Up != Here.LastUp;
    Here.LastUp = Up;
    Here.Highest = std::max(Here.Highest, Step->To);
  }

  Instant Now{std::int64_t{1'000'000}};
  std::array<OneRegion, 2> Regions;
  // Steps of 10 ms in which the requests of a region were late.
  int Late = 0;
};

class DomainSpillTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainSpillTest);
  CPPUNIT_TEST(followsADemandThatSwings);
  CPPUNIT_TEST(doesNotOscillateWithOldViews);
  CPPUNIT_TEST(leavesARegionWithoutTargets);
  CPPUNIT_TEST(leavesASlowRegionAndReturns);
  CPPUNIT_TEST(staysIfTheTransferTakesLonger);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that wait too long in one region while the other
  // one is idle: the demand swings by 55 % between the two.
  void followsADemandThatSwings() {
    TwoRegions Fleet;
    for (int I = 0; I < 12'000; ++I) {
      double Swing = 0.55 * std::sin(I / 2000. * 2 * std::numbers::pi);
      Fleet.step({0.85 * (1 + Swing), 0.85 * (1 - Swing)}, milliseconds(100));
    }
    CPPUNIT_ASSERT(Fleet.Late <= 12'000 / 100);
    // Each of the six swings needs about two steps of the share.
    CPPUNIT_ASSERT(Fleet.Regions[0].Highest <= 4);
    CPPUNIT_ASSERT(Fleet.Regions[0].Turns <= 6 * 6);
  }

  // Guards against shares that swing between none and all since views are older
  // than the last steps.
  void doesNotOscillateWithOldViews() {
    TwoRegions Fleet;
    for (int I = 0; I < 6000; ++I) {
      if (I == 3000) {
        Fleet.Late = Fleet.Regions[0].Turns = 0;
        Fleet.Regions[0].Highest = 0;
      }
      Fleet.step({1.25, 0.5}, seconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(0, Fleet.Late);
    // A fifth of the demand has to leave, which is between one and two steps.
    CPPUNIT_ASSERT(Fleet.Regions[0].Highest <= 4);
    CPPUNIT_ASSERT(Fleet.Regions[0].Turns <= 10);
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.Regions[1].Spill.share(Region));
  }

  // Guards against a region without targets that counts as fast.
  void leavesARegionWithoutTargets() {
    DomainSpill Spill;
    Instant Now{std::int64_t{1'000'000}};
    SpillTimes Times{.There = milliseconds(300), .TargetLatency = seconds(1)};
    for (int I = 0; I < 40; ++I, Now = Now + milliseconds(50))
      Spill.observe(Region, Times, Now);
    CPPUNIT_ASSERT_EQUAL(SpillSteps, Spill.share(Region));
    // Nowhere to go: no share leaves.
    Times.There.reset();
    for (int I = 0; I < 30; ++I, Now = Now + milliseconds(100))
      Spill.observe(Region, Times, Now);
    CPPUNIT_ASSERT_EQUAL(0U, Spill.share(Region));
  }

  // Guards against a share that leaves 0 for a wait within the target latency,
  // that jumps, or that stays when the own region has room again.
  void leavesASlowRegionAndReturns() {
    DomainSpill Spill;
    Instant Now{std::int64_t{1'000'000}};
    auto Run = [&](Duration Here, Duration Time) {
      for (Instant End = Now + Time; Now < End; Now = Now + milliseconds(10))
        Spill.observe(Region,
                      {.Here = Here,
                       .There = milliseconds(280),
                       .Transit = milliseconds(16),
                       .TargetLatency = seconds(1),
                       .SeenAt = Now},
                      Now);
      return Spill.share(Region);
    };
    CPPUNIT_ASSERT_EQUAL(0U, Run(milliseconds(490), seconds(5)));
    std::uint32_t Share = Run(milliseconds(700), seconds(1));
    CPPUNIT_ASSERT(Share >= 2 && Share <= 4);
    CPPUNIT_ASSERT_EQUAL(SpillSteps, Run(milliseconds(700), seconds(2)));
    // Between the two thresholds the share keeps its value.
    CPPUNIT_ASSERT_EQUAL(SpillSteps, Run(milliseconds(450), seconds(3)));
    CPPUNIT_ASSERT_EQUAL(0U, Run(milliseconds(300), seconds(3)));
  }

  // Guards against answers of 90 KB that leave for a region in which they take
  // as long, since a narrow link delays them there as well.
  void staysIfTheTransferTakesLonger() {
    SpillTimes Times{.Here = milliseconds(560),
                     .There = milliseconds(210 + 16 + 72 + 250),
                     .Transit = milliseconds(16),
                     .TargetLatency = seconds(1)};
    CPPUNIT_ASSERT(!gainsByLeaving(Times));
    DomainSpill Spill;
    Instant Now{std::int64_t{1'000'000}};
    for (int I = 0; I < 100; ++I, Now = Now + milliseconds(100)) {
      Times.SeenAt = Now;
      Spill.observe(Region, Times, Now);
    }
    CPPUNIT_ASSERT_EQUAL(0U, Spill.share(Region));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainSpillTest);

} // namespace
} // namespace orioledoor::routing
