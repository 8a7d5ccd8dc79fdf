// Tests a store that comes back from an older copy, in a simulated fleet: one
// test for each piece of state that it can lose.
//
// ORIOLEDOOR_SEEDS and ORIOLEDOOR_FIRST_SEED select other schedules.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "orioledoor/keyspace/key_map.h"
#include "orioledoor/keyspace/key_map_change.h"
#include "orioledoor/sidecar/store_era.h"
#include "orioledoor/sidecar/testing/key_schedules.h"
#include "orioledoor/sidecar/testing/model_fleet.h"
#include "orioledoor/sidecar/testing/seed_range.h"

namespace orioledoor::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t DefaultSeeds = 150;
constexpr char MapKey[] = "oriole/keys/consulta";

class StoreRollbackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRollbackTest);
  CPPUNIT_TEST(ownershipIsExclusiveUnderRollbacks);
  CPPUNIT_TEST(lateReportsGiveNoKeyTwoHoldersUnderRollbacks);
  CPPUNIT_TEST(answersOfAnEarlierEraDoNotCount);
  CPPUNIT_TEST(lostEntriesAreWrittenAgainWithoutLosingKeys);
  CPPUNIT_TEST(lostTransferStaysWithItsNewOwner);
  CPPUNIT_TEST(transferThatThePlannerMissedIsRepaired);
  CPPUNIT_TEST(lostPlanIsWrittenAgain);
  CPPUNIT_TEST(lostMarkIsSetAgainWithAHigherNumber);
  CPPUNIT_TEST(lostMapIsWrittenAgain);
  CPPUNIT_TEST(nodesThatAreLostWithTheStoreRecover);
  CPPUNIT_TEST(lateChangeOfAnEarlierEraIsIgnored);
  CPPUNIT_TEST(messageOfALaterEraIsIgnored);
  CPPUNIT_TEST(storeWithoutErasIsUsedAsBefore);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two holders, a token that falls, and keys that nobody holds
  // afterwards, whatever fails around a rollback.
  void ownershipIsExclusiveUnderRollbacks() {
    this->play(testing::ModelSchedule::KeyFaultsAndRollbacks);
  }

  // Guards against a late report that counts as a proof of what a target holds
  // after the store has lost who owns it.
  void lateReportsGiveNoKeyTwoHoldersUnderRollbacks() {
    this->play(testing::ModelSchedule::LateReportsAndRollbacks);
  }

  // Guards against an answer that was under way during the rollback and undoes
  // the step to the new era, and against a start in a late era that counts as a
  // rollback.
  void answersOfAnEarlierEraDoNotCount() {
    using Verdict = StoreEra::Verdict;
    StoreEra Era;
    CPPUNIT_ASSERT(Era.observe(false, 0) == Verdict::Current);
    CPPUNIT_ASSERT(Era.observe(true, 4) == Verdict::Current);
    CPPUNIT_ASSERT(Era.observe(false, 0) == Verdict::Current);
    CPPUNIT_ASSERT(Era.observe(false, 5) == Verdict::Risen);
    CPPUNIT_ASSERT(Era.observe(true, 5) == Verdict::Current);
    CPPUNIT_ASSERT(Era.observe(true, 4) == Verdict::Old);
    CPPUNIT_ASSERT(Era.observe(true, 0) == Verdict::Old);
    CPPUNIT_ASSERT(Era.observe(true, -1) == Verdict::Old);
    CPPUNIT_ASSERT(Era.observe(true, MaxStoreEra + 1) == Verdict::Old);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, Era.known());
    CPPUNIT_ASSERT(qualifiedRevision(5, 0) > qualifiedRevision(4, 1'000'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9},
                         storeRevision(qualifiedRevision(5, 9)));
  }

  // Guards against nodes whose entries and leases are gone counting as lost,
  // also one that reaches the store later, and their keys moving. The watches
  // get 410.
  void lostEntriesAreWrittenAgainWithoutLosingKeys() {
    Fleet Nodes(6);
    std::vector<std::string> Before = Nodes->holders();
    for (const auto &Entry : std::map(Nodes->store().entries()))
      Nodes->store().endLease(Nodes->store().leaseOf(Entry.first));
    Nodes->store().takeCopy();
    Nodes->rollBackStore(milliseconds(500));
    Nodes->cutOff(5, milliseconds(3200));
    Nodes.run(seconds(12));
    CPPUNIT_ASSERT(Before == Nodes->holders());
    CPPUNIT_ASSERT_EQUAL(0, Nodes->moves());
    for (int Index = 0; Index < 6; ++Index) {
      const Membership &Members = Nodes->node(Index)->membership();
      CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, Members.era());
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Members.nodes().size());
      CPPUNIT_ASSERT(Nodes->store().leaseOf(Members.entryKey()) != 0);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                           Nodes->node(Index)->storeEraChanges());
    }
    CPPUNIT_ASSERT_EQUAL(6, Nodes.countEvents("STORE_ERA_CHANGED"));
    CPPUNIT_ASSERT_EQUAL(0, Nodes.countEvents("NODE_GONE"));
    CPPUNIT_ASSERT_EQUAL(1, Nodes.countEvents("KEYS_REPAIRED"));
  }

  // Guards against the former owner getting keys back that the new one holds.
  void lostTransferStaysWithItsNewOwner() {
    Fleet Nodes(4);
    Nodes->store().takeCopy();
    std::vector<std::string> Before = Nodes->holders();
    std::int64_t Fence = Nodes.map().LastFence;
    Nodes.moveKeys();
    std::vector<std::string> Moved = Nodes->holders();
    CPPUNIT_ASSERT(Before != Moved);
    std::int64_t Highest = Nodes.map().LastFence;
    CPPUNIT_ASSERT(Highest > Fence);
    Nodes->rollBackStore(milliseconds(300));
    Nodes.run(seconds(14));
    CPPUNIT_ASSERT(Moved == Nodes->holders());
    CPPUNIT_ASSERT(Nodes.map().LastFence > Highest);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, Nodes.map().Era);
  }

  // Guards against a repair from what the planning node knows alone: it was
  // cut off when keys were passed on.
  void transferThatThePlannerMissedIsRepaired() {
    Fleet Nodes(4);
    Nodes->store().takeCopy();
    const std::int64_t Fence = Nodes.map().LastFence;
    Nodes.requestMove();
    while (!Nodes.movesKeys())
      Nodes.run(milliseconds(5));
    Nodes->cutOff(0, seconds(10));
    while (Nodes.map().LastFence == Fence)
      Nodes.run(milliseconds(5));
    const keyspace::KeyMap Lost = Nodes.map();
    Nodes.run(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(Fence, Nodes.knownMap(0).Map.LastFence);
    Nodes->cutOff(0, seconds(0));
    Nodes->rollBackStore(milliseconds(100));
    // Before other nodes than the planning one would write a repair.
    Nodes.run(milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, Nodes.map().Era);
    for (const keyspace::KeyRow &Row : Lost.Rows)
      CPPUNIT_ASSERT(Row.Fence <= Fence ||
                     Row.Owner == Nodes.map().find(Row.Keys.From)->Owner);
    Nodes.run(seconds(14));
    CPPUNIT_ASSERT_EQUAL(0, Nodes->unheldKeys());
  }

  // Guards against a planned move that is forgotten: the owner has released the
  // keys, and nobody would get them.
  void lostPlanIsWrittenAgain() {
    Fleet Nodes(4);
    Nodes->store().takeCopy();
    Nodes.requestMove();
    Nodes.run(milliseconds(250));
    CPPUNIT_ASSERT(Nodes.movesKeys());
    Nodes->rollBackStore(milliseconds(300));
    Nodes.run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(0, Nodes->unheldKeys());
    CPPUNIT_ASSERT(Nodes->moves() > 0);
  }

  // Guards against a mark whose number is given out again, with which the wait
  // for the holds of its target would count from the first one.
  void lostMarkIsSetAgainWithAHigherNumber() {
    Fleet Nodes(4);
    Nodes->store().takeCopy();
    Nodes->loseVmFor(3, seconds(60));
    for (int Step = 0; Step < 100 && Nodes.map().Lost.empty(); ++Step)
      Nodes.run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Nodes.map().Lost.size());
    std::int64_t Mark = Nodes.map().Lost.front().Mark;
    Nodes->rollBackStore(milliseconds(300));
    Nodes.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Nodes.map().Lost.size());
    CPPUNIT_ASSERT(Nodes.map().Lost.front().Mark > Mark);
    Nodes.run(seconds(12));
    CPPUNIT_ASSERT_EQUAL(0, Nodes->unheldKeys());
  }

  // Guards against first owners being planned once more, over keys that are
  // held, and against tokens that start again at 1.
  void lostMapIsWrittenAgain() {
    testing::ModelFleet Started(1, 4,
                                testing::ModelSchedule::KeyFaultsAndRollbacks);
    Started.store().takeCopy();
    Started.run(seconds(8), false);
    std::vector<std::string> Before = Started.holders();
    CPPUNIT_ASSERT_EQUAL(0, Started.unheldKeys());
    Started.rollBackStore(milliseconds(300));
    Started.run(seconds(14), false);
    CPPUNIT_ASSERT_EQUAL(std::string(), Started.failure());
    CPPUNIT_ASSERT(Before == Started.holders());
    CPPUNIT_ASSERT_EQUAL(0, Started.moves());
  }

  // Guards against tokens that fall and keys without holders when nobody is
  // left who knows what the store has lost.
  void nodesThatAreLostWithTheStoreRecover() {
    for (bool Targets : {false, true}) {
      Fleet Nodes(5);
      Nodes->store().takeCopy();
      Nodes.moveKeys();
      std::int64_t Highest = Nodes.map().LastFence;
      Nodes->rollBackStore(milliseconds(400));
      Nodes->restartAll(milliseconds(300), Targets);
      Nodes.run(seconds(22));
      CPPUNIT_ASSERT_EQUAL(0, Nodes->unheldKeys());
      CPPUNIT_ASSERT(Nodes.map().LastFence > Highest);
    }
  }

  // Guards against a change that a node sent before the rollback and that fits
  // the store's map by its revisions, which were given out again.
  void lateChangeOfAnEarlierEraIsIgnored() {
    Fleet Nodes(4);
    Nodes->store().takeCopy();
    Nodes->rollBackStore(milliseconds(300));
    Nodes.run(seconds(5));
    const StoredKeyMap Known = Nodes.knownMap(2);
    keyspace::KeyMap Change = Known.Map;
    Change.Rows.front().Owner = Change.Rows.back().Owner;
    Change.Rows.front().Fence = ++Change.LastFence;
    std::string Text = keyspace::encodeKeyMap(Change);
    std::int64_t Late = qualifiedRevision(1, storeRevision(Known.Revision) + 1);
    for (const routing::Message &Message :
         {routing::Message(routing::KeyMapNotice{Late, Text}),
          routing::Message(routing::KeyMapChangeNotice{
              Known.Revision, Late, keyspace::checksum(Change), Text})})
      Nodes->deliverTo(2, PeerMessageReceived{Nodes.address(1), Message});
    CPPUNIT_ASSERT(Known.Map == Nodes.knownMap(2).Map);
  }

  // Guards against a node that applies a map of an era that it has not seen,
  // before it has written its entry in it.
  void messageOfALaterEraIsIgnored() {
    Fleet Nodes(4);
    const StoredKeyMap Known = Nodes.knownMap(2);
    keyspace::KeyMap Later = Known.Map;
    Later.Era = 2;
    Later.LastFence += 1'000'000;
    Nodes->deliverTo(2,
                     PeerMessageReceived{
                         Nodes.address(1),
                         routing::KeyMapNotice{qualifiedRevision(2, 5),
                                               keyspace::encodeKeyMap(Later)}});
    CPPUNIT_ASSERT(Known.Map == Nodes.knownMap(2).Map);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, Nodes->node(2)->membership().era());
  }

  // Guards against a change of what is stored with a store that states no era.
  void storeWithoutErasIsUsedAsBefore() {
    testing::ModelFleet Started(1, 4);
    Started.run(seconds(8), false);
    CPPUNIT_ASSERT_EQUAL(0, Started.unheldKeys());
    for (const auto &[Key, Entry] : Started.store().entries())
      CPPUNIT_ASSERT(Entry.Value.find("era") == std::string::npos);
    const StoredKeyMap &Known =
        Started.node(1)->membership().keyMaps().at("consulta");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, Known.Map.LastFence);
    CPPUNIT_ASSERT_EQUAL(Started.store().entries().at(MapKey).ModRevision,
                         Known.Revision);
  }

private:
  void play(testing::ModelSchedule Schedule) {
    CPPUNIT_ASSERT_EQUAL(
        0, testing::playKeySchedules(
               Schedule, testing::readSeedRange(DefaultSeeds), seconds(30))
               .Failed);
  }

  // A fleet that has shared out all keys. Each run checks the guarantees.
  class Fleet {
  public:
    explicit Fleet(int Nodes)
        : Model(1, Nodes, testing::ModelSchedule::KeyFaultsAndRollbacks) {
      this->run(seconds(8));
      CPPUNIT_ASSERT_EQUAL(0, this->Model.unheldKeys());
    }
    testing::ModelFleet *operator->() { return &this->Model; }

    void run(Duration Time) {
      this->Model.run(Time, false);
      CPPUNIT_ASSERT_EQUAL(std::string(), this->Model.failure());
    }
    // The map in the store.
    keyspace::KeyMap map() {
      auto Found = this->Model.store().entries().find(MapKey);
      CPPUNIT_ASSERT(Found != this->Model.store().entries().end());
      return *keyspace::decodeKeyMap(Found->second.Value);
    }
    // Returns whether the store's map has a planned move.
    bool movesKeys() {
      return std::ranges::any_of(
          this->map().Rows,
          [](const keyspace::KeyRow &Row) { return bool(Row.Next); });
    }
    StoredKeyMap knownMap(int Index) {
      return this->Model.node(Index)->membership().keyMaps().at("consulta");
    }
    std::string address(int Index) {
      return this->Model.node(Index)->membership().selfEntry().Node;
    }
    int countEvents(std::string_view Name) {
      return static_cast<int>(std::ranges::count_if(
          this->Model.history(), [Name](const std::string &Line) {
            return Line.find(Name) != std::string::npos;
          }));
    }
    // Tells the planning node that the last target is overloaded.
    void requestMove() { this->Model.reportHotKeys(2); }
    void moveKeys() {
      int Before = this->Model.moves();
      this->requestMove();
      for (int Step = 0; Step < 40 && this->Model.moves() == Before; ++Step)
        this->run(milliseconds(100));
      CPPUNIT_ASSERT(this->Model.moves() > Before);
      // Demand that is older than 2.5 s leads to no further moves.
      this->run(seconds(4));
    }

  private:
    testing::ModelFleet Model;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRollbackTest);

} // namespace
} // namespace orioledoor::sidecar
