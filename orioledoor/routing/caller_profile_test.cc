// Tests how the gate recognizes calls of running work and treats them.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "orioledoor/routing/caller_profile.h"
#include "orioledoor/routing/testing/gate_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

constexpr RequestClassId Calls = 1;
constexpr RequestClassId New = 2;

// A gate of two slots that gets requests from VMs of several services.
class Fixture : public testing::GateFixture {
public:
  void forwardFrom(const std::string &Service, RequestClassId RequestClass,
                   Duration LatencyLeft = milliseconds(400)) {
    auto Content = std::make_shared<RequestContent>();
    std::uint64_t Id = ++this->LastId;
    this->Out.clear();
    this->Gate.handleForward(testing::Peer,
                             {.Id = Id,
                              .Process = 9,
                              .Service = "plain",
                              .AttemptId = "a" + std::to_string(Id),
                              .CallerService = Service,
                              .TimeLeft = milliseconds(2000),
                              .LatencyLeft = LatencyLeft,
                              .Priority = 1,
                              .LastChoice = true,
                              .RequestClass = RequestClass,
                              .Content = Content},
                             KeyState::NotKeyed, this->Now, this->Out);
  }
  // Has both classes answered often, the second one from two services.
  void learn(const std::string &SecondCaller = "billing") {
    for (int Round = 0; Round < 50; ++Round) {
      this->forwardFrom("billing", Calls);
      this->answer(this->startedCallId());
      this->forwardFrom(Round % 2 == 0 ? "billing" : SecondCaller, New);
      this->answer(this->startedCallId());
    }
  }
  // Takes both slots and fills the queue until new requests are refused.
  std::uint64_t fill(const std::string &Service) {
    this->forwardFrom(Service, New);
    std::uint64_t First = this->startedCallId();
    for (int Sent = 0; !this->result() && Sent < 50; ++Sent)
      this->forwardFrom(Service, New);
    CPPUNIT_ASSERT(this->endedWith(Outcome::Busy));
    return First;
  }

  std::uint64_t LastId = 0;
};

class CallerProfileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerProfileTest);
  CPPUNIT_TEST(recognizesClassesWithOneCaller);
  CPPUNIT_TEST(prefersCallsOfRunningWork);
  CPPUNIT_TEST(treatsClassesAlikeWithoutEvidence);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against callers whose requests pass all others by chance, and
  // against a class that stays preferred after others call it as well.
  void recognizesClassesWithOneCaller() {
    CallerProfile Profile;
    for (int Round = 0; Round < 60; ++Round) {
      // All requests come from one service: nothing distinguishes the classes.
      Profile.note(Calls, "a");
      Profile.note(New, "a");
    }
    CPPUNIT_ASSERT(!Profile.isCallOfRunningWork(Calls));
    Profile.note(New, "b");
    CPPUNIT_ASSERT(Profile.isCallOfRunningWork(Calls));
    CPPUNIT_ASSERT(!Profile.isCallOfRunningWork(New));
    Profile.note(Calls, "b");
    CPPUNIT_ASSERT(!Profile.isCallOfRunningWork(Calls));
    for (int Round = 0; Round < 48; ++Round)
      Profile.note(Calls, "b");
    CPPUNIT_ASSERT(!Profile.isCallOfRunningWork(Calls));
    Profile.note(Calls, "b");
    CPPUNIT_ASSERT(Profile.isCallOfRunningWork(Calls));
    // The number of classes is bounded.
    for (RequestClassId Other = 100; Other < 1000; ++Other)
      Profile.note(Other, "c");
    CPPUNIT_ASSERT(!Profile.isCallOfRunningWork(Calls));
  }

  // Guards against refused calls whose parent requests answer 500 after they
  // held their slots: two calls of 65 ms were refused beside a queue of new
  // requests although their deadline was far.
  void prefersCallsOfRunningWork() {
    Fixture F;
    F.learn("store");
    std::uint64_t First = F.fill("store");
    // Too late for the latency target, and due after all that wait.
    F.forwardFrom("billing", Calls, milliseconds(100));
    CPPUNIT_ASSERT(!F.result());
    std::string Attempt = "a" + std::to_string(F.LastId);
    F.answer(First, milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(Attempt, F.startedAttempt());
  }

  // Guards against a deployment with one caller service being treated
  // otherwise than before.
  void treatsClassesAlikeWithoutEvidence() {
    Fixture F;
    F.learn();
    F.fill("billing");
    F.forwardFrom("billing", Calls, milliseconds(100));
    CPPUNIT_ASSERT(F.endedWith(Outcome::Busy));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerProfileTest);

} // namespace
} // namespace orioledoor::routing
