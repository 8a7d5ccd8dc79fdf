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
  CPPUNIT_TEST(takesOnlyTheNewestOfManyChanges);
  CPPUNIT_TEST(catchesUpWhenOtherNodesAreAhead);
  CPPUNIT_TEST(waitsForALargeDocumentOnItsWay);
  CPPUNIT_TEST(waitsForItsOwnWatchFirst);
  CPPUNIT_TEST(asksLessAndLessForAVersionThatNobodySends);
  CPPUNIT_TEST(asksLessAndLessWhileTheStoreRefuses);
  CPPUNIT_TEST(membersPauseWhenTheHistoryIsGone);
  CPPUNIT_TEST_SUITE_END();

public:
  // Pattern: the store drops its history. A watch from the last change, which
  // may be minutes old, is refused at once, and so is the next one: a loop of
  // calls from every node.
  void watchesFromTheReadAndNotFromTheLastChange() {
    CPPUNIT_ASSERT(this->Config.start().Read->Key == Key);
    ConfigActions Step = this->Config.onStoreReply(
        {.Entries = {{Key, "one", 7}}, .Revision = 400}, this->Now);
    CPPUNIT_ASSERT(Step.WatchAfter == 400);
    CPPUNIT_ASSERT(Step.Taken && Step.Taken->Value == "one");
    Step = this->Config.watched({.Changes = {{{Key, "two", 401}, false},
                                             {{"op/other", "x", 402}, false},
                                             {{Key, "", 403}, true}},
                                 .Revision = 403},
                                this->Now);
    CPPUNIT_ASSERT(Step.Taken && Step.Taken->Value == "two");
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
        !this->Config.onStoreReply({.Revision = 3}, this->Now).WatchAfter);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
    StoreReply Failed{.Status = absl::UnavailableError("busy")};
    CPPUNIT_ASSERT(!this->Config.onStoreReply(Failed, this->Now).Read);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
  }

  // Pattern: a storm of changes, or a cut during several. Reading hundreds of
  // routes takes a weak VM longer than the next change takes to come.
  void takesOnlyTheNewestOfManyChanges() {
    ConfigActions Step =
        this->Config.watched({.Changes = {{{Key, "two", 401}, false},
                                          {{Key, "three", 402}, false},
                                          {{"op/other", "x", 403}, false}},
                              .Revision = 403},
                             this->Now);
    CPPUNIT_ASSERT(Step.Taken && Step.Taken->Value == "three");
  }

  // Guards against a node whose watch fails without a sign: it learns from the
  // requests and results of others that it is behind, asks the store, and, if
  // that does not answer either, the node that spoke last.
  void catchesUpWhenOtherNodesAreAhead() {
    this->Config.setVersionInForce(4, this->Now);
    this->Config.onVersionSeen("a", 7, this->Now);
    this->Config.onVersionSeen("b", 7, this->Now + milliseconds(100));
    this->Config.onVersionSeen("c", 6, this->Now + milliseconds(200));
    CPPUNIT_ASSERT(this->Config.isBehind());
    ConfigActions Step = this->Config.tick(this->Now + milliseconds(260));
    CPPUNIT_ASSERT(Step.Read && !Step.FetchFromNode);
    // While the read is open, the answer may be on its way.
    CPPUNIT_ASSERT(
        !this->Config.tick(this->Now + milliseconds(560)).FetchFromNode);
    StoreReply Failed{.Status = absl::UnavailableError("no connection")};
    this->Config.onStoreReply(Failed, this->Now + milliseconds(570));
    Step = this->Config.tick(this->Now + milliseconds(580));
    CPPUNIT_ASSERT(Step.FetchFromNode == "b");
    this->Config.setVersionInForce(7, this->Now + milliseconds(580));
    CPPUNIT_ASSERT(!this->Config.isBehind());
    CPPUNIT_ASSERT(
        !this->Config.tick(this->Now + milliseconds(5000)).FetchFromNode);
  }

  // Pattern: a configuration of hundreds of routes in a fleet with slow links.
  // Each node that waited for it also read it, then asked others for it: three
  // documents on each link instead of one, and 0.5 GB between regions.
  void waitsForALargeDocumentOnItsWay() {
    this->Config.setTransferTime(milliseconds(150));
    this->Config.setVersionInForce(4, this->Now);
    this->Config.onVersionSeen("a", 7, this->Now);
    for (int Millis = 0; Millis < 1150; Millis += 20) {
      ConfigActions Step = this->Config.tick(this->Now + milliseconds(Millis));
      CPPUNIT_ASSERT(!Step.Read && !Step.FetchFromNode);
    }
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(1160)).Read);
    for (int Millis = 1160; Millis < 3000; Millis += 20)
      CPPUNIT_ASSERT(
          !this->Config.tick(this->Now + milliseconds(Millis)).FetchFromNode);
  }

  // Guards against reads by every node at every change: in calm times others
  // have a version some milliseconds earlier.
  void waitsForItsOwnWatchFirst() {
    for (std::uint64_t Version = 5; Version < 25; ++Version) {
      this->Config.onVersionSeen("a", Version, this->Now);
      this->Now = this->Now + milliseconds(60);
      ConfigActions Step = this->Config.tick(this->Now);
      CPPUNIT_ASSERT(!Step.Read && !Step.FetchFromNode);
      // The watch is one change behind all the while.
      this->Config.setVersionInForce(Version - 1, this->Now);
    }
  }

  // Guards against calls without end for a version that was never written.
  void asksLessAndLessForAVersionThatNobodySends() {
    this->Config.onVersionSeen("a", 99, this->Now);
    int Reads = 0;
    for (int Turn = 0; Turn < 20 * 50; ++Turn) {
      this->Now = this->Now + milliseconds(20);
      ConfigActions Step = this->Config.tick(this->Now);
      if (!Step.Read)
        continue;
      ++Reads;
      this->Config.onStoreReply({.Entries = {{Key, "old", 7}}, .Revision = 9},
                                this->Now);
    }
    CPPUNIT_ASSERT(Reads <= 9);
  }

  // Pattern: a store that refuses every call of a VM for 20 s, and no node that
  // sends the configuration. The watch is open all the while.
  void asksLessAndLessWhileTheStoreRefuses() {
    this->Config.start();
    this->Config.onStoreReply({.Entries = {{Key, "one", 7}}, .Revision = 9},
                              this->Now);
    this->Config.onVersionSeen("a", 99, this->Now);
    int Reads = 0;
    int Asked = 0;
    for (int Turn = 0; Turn < 20 * 50; ++Turn) {
      this->Now = this->Now + milliseconds(20);
      ConfigActions Step = this->Config.tick(this->Now);
      Asked += Step.FetchFromNode ? 1 : 0;
      if (!Step.Read)
        continue;
      ++Reads;
      this->Config.onStoreReply({.Status = absl::UnavailableError("busy")},
                                this->Now);
    }
    CPPUNIT_ASSERT(Reads <= 10);
    CPPUNIT_ASSERT(Asked >= 5 && Asked <= 10);
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
      CPPUNIT_ASSERT(Members.onStoreReply(Given, this->Now, Out));
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
