// Guards the way of a configuration from the store to the node.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/sidecar/config_follower.h"
#include "orioledoor/sidecar/membership.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr char Key[] = "op/config";

class ConfigFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFollowerTest);
  CPPUNIT_TEST(watchesFromTheReadAndNotFromTheLastChange);
  CPPUNIT_TEST(pausesWhenTheHistoryIsGone);
  CPPUNIT_TEST(asksAgainUntilThereIsAConfiguration);
  CPPUNIT_TEST(membersPauseWhenTheHistoryIsGone);
  CPPUNIT_TEST_SUITE_END();

public:
  // Pattern: the store drops its history. A watch from the last change, which
  // may be minutes old, is refused at once, and so is the next one: a loop of
  // calls from every node.
  void watchesFromTheReadAndNotFromTheLastChange() {
    CPPUNIT_ASSERT(this->Config.start().Read->Key == Key);
    ConfigStep Step = this->Config.replied(
        {.Entries = {{Key, "one", 7}}, .Revision = 400}, this->Now);
    CPPUNIT_ASSERT(Step.WatchAfter == 400);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Step.Taken.size());
    Step = this->Config.watched({.Changes = {{{Key, "two", 401}, false},
                                             {{"op/other", "x", 402}, false},
                                             {{Key, "", 403}, true}},
                                 .Revision = 403},
                                this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Step.Taken.size());
    CPPUNIT_ASSERT_EQUAL(std::string("two"), Step.Taken[0].Value);
  }

  void pausesWhenTheHistoryIsGone() {
    StoreWatchUpdate Gone{.Status = absl::OutOfRangeError("compacted")};
    CPPUNIT_ASSERT(!this->Config.watched(Gone, this->Now).Read);
    CPPUNIT_ASSERT(!this->Config.tick(this->Now + milliseconds(200)).Read);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
    CPPUNIT_ASSERT(!this->Config.tick(this->Now + milliseconds(900)).Read);
  }

  void asksAgainUntilThereIsAConfiguration() {
    CPPUNIT_ASSERT(
        !this->Config.replied({.Revision = 3}, this->Now).WatchAfter);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
    StoreReply Failed{.Status = absl::UnavailableError("busy")};
    CPPUNIT_ASSERT(!this->Config.replied(Failed, this->Now).Read);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
  }

  // The same for the entries of nodes, which are a page or more.
  void membersPauseWhenTheHistoryIsGone() {
    NodeEntry Self;
    Self.Node = "tcp://10.0.0.1:7100";
    Membership Members(Self, {});
    MembershipOutput Out;
    auto Reply = [&](StoreReply Given) {
      Given.Id = Out.Calls.back().Id;
      Out = {};
      CPPUNIT_ASSERT(Members.replied(Given, this->Now, Out));
    };
    Members.start(this->Now, Out);
    Reply({.Lease = 5, .TimeToLive = std::chrono::seconds(3)});
    Reply({.Succeeded = true, .Revision = 10});
    Reply({.Revision = 10});
    CPPUNIT_ASSERT(Out.WatchAfter == 10);
    Out = {};
    StoreWatchUpdate Gone{.Status = absl::OutOfRangeError("compacted")};
    Members.watched(Gone, this->Now, Out);
    CPPUNIT_ASSERT(Out.Calls.empty());
    this->Now = this->Now + milliseconds(400);
    Members.tick(this->Now, Out);
    CPPUNIT_ASSERT(Out.Calls.empty());
    this->Now = this->Now + milliseconds(200);
    Members.tick(this->Now, Out);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Out.Calls.size());
    Reply({.Revision = 30});
    CPPUNIT_ASSERT(Out.WatchAfter == 30);
  }

private:
  Instant Now{std::int64_t{1'000'000}};
  ConfigFollower Config{Key};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFollowerTest);

} // namespace
} // namespace orioledoor::sidecar
