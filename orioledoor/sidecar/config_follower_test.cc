// Tests how a configuration gets from the store, or from another node, to this
// node.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/sidecar/config_follower.h"
#include "orioledoor/sidecar/membership.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr char Prefix[] = "op/";
constexpr char Key[] = "op/config";

class ConfigFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFollowerTest);
  CPPUNIT_TEST(watchesFromRevisionOfRead);
  CPPUNIT_TEST(pausesAfterHistoryWasDiscarded);
  CPPUNIT_TEST(readsAndWatchesAgainAfterARollback);
  CPPUNIT_TEST(evacuationsOutliveARollbackForAWhile);
  CPPUNIT_TEST(watchesForTheFirstConfiguration);
  CPPUNIT_TEST(readsAgainUntilConfigurationExists);
  CPPUNIT_TEST(appliesOnlyLatestChange);
  CPPUNIT_TEST(catchesUpWithOtherNodes);
  CPPUNIT_TEST(waitsForTransferOfLargeDocument);
  CPPUNIT_TEST(waitsForOwnWatchFirst);
  CPPUNIT_TEST(backsOffForVersionThatNoNodeSends);
  CPPUNIT_TEST(backsOffWhileStoreRejectsCalls);
  CPPUNIT_TEST(membershipPausesAfterHistoryWasDiscarded);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a call loop of every node after the store discarded its
  // history: a watch from the revision of the last change, which may be minutes
  // old, is rejected immediately, and so is the next one.
  void watchesFromRevisionOfRead() {
    std::optional<StoreRange> Read = this->Config.start().Read;
    CPPUNIT_ASSERT(Read->Key == Prefix && Read->Prefix);
    ConfigActions Actions = this->Config.onStoreReply(
        {.Entries = {{Key, "one", 7}}, .Revision = 400}, this->Now);
    CPPUNIT_ASSERT(Actions.WatchAfter == 400);
    CPPUNIT_ASSERT(Actions.NewConfig && Actions.NewConfig->Value == "one");
    Actions =
        this->Config.onWatchUpdate({.Changes = {{{Key, "two", 401}, false},
                                                {{"op/other", "x", 402}, false},
                                                {{Key, "", 403}, true}},
                                    .Revision = 403},
                                   this->Now);
    CPPUNIT_ASSERT(Actions.NewConfig && Actions.NewConfig->Value == "two");
  }

  void pausesAfterHistoryWasDiscarded() {
    StoreWatchUpdate HistoryDiscarded{.Status =
                                          absl::OutOfRangeError("compacted")};
    CPPUNIT_ASSERT(
        !this->Config.onWatchUpdate(HistoryDiscarded, this->Now).Read);
    CPPUNIT_ASSERT(!this->Config.tick(this->Now + milliseconds(200)).Read);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
    CPPUNIT_ASSERT(!this->Config.tick(this->Now + milliseconds(900)).Read);
  }

  // Guards against a watch that goes on at a revision of the lost history: the
  // store gives it out again, and changes below it would be missed.
  void readsAndWatchesAgainAfterARollback() {
    this->Config.onStoreReply({.Entries = {{Key, "one", 400}}, .Revision = 400},
                              this->Now);
    this->Config.onStoreRolledBack(this->Now + milliseconds(10));
    CPPUNIT_ASSERT(!this->Config.tick(this->Now).Read);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(10)).Read);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{390},
                         this->Config.onStoreReply({.Revision = 390}, this->Now)
                             .WatchAfter.value_or(0));
  }

  // Guards against requests that return to an evacuated failure domain because
  // the store came back from a copy older than its evacuation.
  void evacuationsOutliveARollbackForAWhile() {
    const std::string Evacuation = "op/evacuate/d1";
    this->Config.onStoreReply(
        {.Entries = {{Evacuation, "{}", 390}}, .Revision = 400, .Era = 1},
        this->Now);
    this->Config.onStoreRolledBack(this->Now);
    CPPUNIT_ASSERT(this->Config.tick(this->Now).Read);
    StoreReply Rolled{.Revision = 380, .Era = 2};
    CPPUNIT_ASSERT(!this->Config.onStoreReply(Rolled, this->Now).Evacuations);
    CPPUNIT_ASSERT(this->Config.evacuatedDomains().contains("d1"));
    CPPUNIT_ASSERT(!this->Config.tick(this->Now + milliseconds(4900)).Read);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(5000)).Read);
    auto Changed =
        this->Config.onStoreReply(Rolled, this->Now + milliseconds(5010))
            .Evacuations;
    CPPUNIT_ASSERT(Changed && Changed->Ended.contains("d1"));
  }

  // Guards against a read every 300 ms by every node of a fleet that starts
  // before its first configuration.
  void watchesForTheFirstConfiguration() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3},
                         this->Config.onStoreReply({.Revision = 3}, this->Now)
                             .WatchAfter.value_or(0));
    CPPUNIT_ASSERT(!this->Config.tick(this->Now + milliseconds(900)).Read);
    ConfigActions Actions = this->Config.onWatchUpdate(
        {.Changes = {{{Key, "one", 4}, false}}, .Revision = 4}, this->Now);
    CPPUNIT_ASSERT(Actions.NewConfig && Actions.NewConfig->Value == "one");
  }

  void readsAgainUntilConfigurationExists() {
    // A reply without a revision leaves nothing to watch from.
    CPPUNIT_ASSERT(!this->Config.onStoreReply({}, this->Now).WatchAfter);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
    StoreReply Failed{.Status = absl::UnavailableError("busy")};
    CPPUNIT_ASSERT(!this->Config.onStoreReply(Failed, this->Now).Read);
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(300)).Read);
  }

  // Many changes in a short time, or several during a network partition.
  // Decoding hundreds of routes takes a slow VM longer than the interval
  // between two changes.
  void appliesOnlyLatestChange() {
    ConfigActions Actions = this->Config.onWatchUpdate(
        {.Changes = {{{Key, "two", 401}, false},
                     {{Key, "three", 402}, false},
                     {{"op/other", "x", 403}, false}},
         .Revision = 403},
        this->Now);
    CPPUNIT_ASSERT(Actions.NewConfig && Actions.NewConfig->Value == "three");
  }

  // Guards against a node whose watch fails silently: it learns from the
  // requests and results of others that its version is old, reads from the
  // store, and, if the store does not answer either, asks the node that
  // announced the version last.
  void catchesUpWithOtherNodes() {
    this->Config.setVersionInForce(4, this->Now);
    this->Config.onVersionSeen("a", 7, this->Now);
    this->Config.onVersionSeen("b", 7, this->Now + milliseconds(100));
    this->Config.onVersionSeen("c", 6, this->Now + milliseconds(200));
    CPPUNIT_ASSERT(this->Config.isBehind());
    ConfigActions Actions = this->Config.tick(this->Now + milliseconds(260));
    CPPUNIT_ASSERT(Actions.Read && !Actions.FetchFromNode);
    // While the read is open, its reply may still be in transit.
    CPPUNIT_ASSERT(
        !this->Config.tick(this->Now + milliseconds(560)).FetchFromNode);
    StoreReply Failed{.Status = absl::UnavailableError("no connection")};
    this->Config.onStoreReply(Failed, this->Now + milliseconds(570));
    Actions = this->Config.tick(this->Now + milliseconds(580));
    CPPUNIT_ASSERT(Actions.FetchFromNode == "b");
    this->Config.setVersionInForce(7, this->Now + milliseconds(580));
    CPPUNIT_ASSERT(!this->Config.isBehind());
    CPPUNIT_ASSERT(
        !this->Config.tick(this->Now + milliseconds(5000)).FetchFromNode);
  }

  // Guards against redundant transfers of a configuration with hundreds of
  // routes over slow links: each node that waited for it also read it and then
  // requested it from others, which sent three documents over each link instead
  // of one, and 0.5 GB between regions.
  void waitsForTransferOfLargeDocument() {
    this->Config.setTransferTime(milliseconds(150));
    this->Config.setVersionInForce(4, this->Now);
    this->Config.onVersionSeen("a", 7, this->Now);
    for (int Millis = 0; Millis < 1150; Millis += 20) {
      ConfigActions Actions =
          this->Config.tick(this->Now + milliseconds(Millis));
      CPPUNIT_ASSERT(!Actions.Read && !Actions.FetchFromNode);
    }
    CPPUNIT_ASSERT(this->Config.tick(this->Now + milliseconds(1160)).Read);
    for (int Millis = 1160; Millis < 3000; Millis += 20)
      CPPUNIT_ASSERT(
          !this->Config.tick(this->Now + milliseconds(Millis)).FetchFromNode);
  }

  // Guards against reads by every node at every change: in normal operation
  // other nodes have a version some milliseconds earlier.
  void waitsForOwnWatchFirst() {
    for (std::uint64_t Version = 5; Version < 25; ++Version) {
      this->Config.onVersionSeen("a", Version, this->Now);
      this->Now = this->Now + milliseconds(60);
      ConfigActions Actions = this->Config.tick(this->Now);
      CPPUNIT_ASSERT(!Actions.Read && !Actions.FetchFromNode);
      // The watch stays one change behind.
      this->Config.setVersionInForce(Version - 1, this->Now);
    }
  }

  // Guards against endless calls for a version that was never written.
  void backsOffForVersionThatNoNodeSends() {
    this->Config.onVersionSeen("a", 99, this->Now);
    int Reads = 0;
    for (int Iteration = 0; Iteration < 20 * 50; ++Iteration) {
      this->Now = this->Now + milliseconds(20);
      ConfigActions Actions = this->Config.tick(this->Now);
      if (!Actions.Read)
        continue;
      ++Reads;
      this->Config.onStoreReply({.Entries = {{Key, "old", 7}}, .Revision = 9},
                                this->Now);
    }
    CPPUNIT_ASSERT(Reads <= 9);
  }

  // The store rejects every call of a VM for 20 s, and no node sends the
  // configuration. The watch stays open during this time.
  void backsOffWhileStoreRejectsCalls() {
    this->Config.start();
    this->Config.onStoreReply({.Entries = {{Key, "one", 7}}, .Revision = 9},
                              this->Now);
    this->Config.onVersionSeen("a", 99, this->Now);
    int Reads = 0;
    int NodeRequests = 0;
    for (int Iteration = 0; Iteration < 20 * 50; ++Iteration) {
      this->Now = this->Now + milliseconds(20);
      ConfigActions Actions = this->Config.tick(this->Now);
      NodeRequests += Actions.FetchFromNode ? 1 : 0;
      if (!Actions.Read)
        continue;
      ++Reads;
      this->Config.onStoreReply({.Status = absl::UnavailableError("busy")},
                                this->Now);
    }
    CPPUNIT_ASSERT(Reads <= 10);
    CPPUNIT_ASSERT(NodeRequests >= 5 && NodeRequests <= 10);
  }

  // The same rule for the entries of nodes, which amount to a page or more.
  void membershipPausesAfterHistoryWasDiscarded() {
    NodeEntry Self;
    Self.Node = "tcp://10.0.0.1:7100";
    Membership Members(Self, {});
    MembershipOutput Out;
    auto Reply = [&](StoreReply NewReply) {
      NewReply.Id = Out.Calls.back().Id;
      Out = {};
      CPPUNIT_ASSERT(Members.onStoreReply(NewReply, this->Now, Out));
    };
    Members.start(this->Now, Out);
    Reply({.Lease = 5, .TimeToLive = std::chrono::seconds(3)});
    Reply({.Succeeded = true, .Revision = 10});
    Reply({.Revision = 10});
    CPPUNIT_ASSERT(Out.WatchAfter == 10);
    Out = {};
    StoreWatchUpdate HistoryDiscarded{.Status =
                                          absl::OutOfRangeError("compacted")};
    Members.onWatchUpdate(HistoryDiscarded, this->Now, Out);
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
  ConfigFollower Config{Prefix};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFollowerTest);

} // namespace
} // namespace orioledoor::sidecar
