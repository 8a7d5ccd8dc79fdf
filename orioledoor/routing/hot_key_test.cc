// Tests the shares of hot keys, at the node beside the target and at the entry
// nodes.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "orioledoor/routing/hot_key_limit.h"
#include "orioledoor/routing/hot_key_meter.h"
#include "orioledoor/routing/testing/entry_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;

constexpr std::int32_t HotKey = 700;
constexpr std::int32_t Neighbor = 701;
// Requests that the target takes at once.
constexpr double Slots = 12;

// One target that serves a fixed number of requests per second, and entry nodes
// that follow its shares.
struct HotKeyLoad {
  HotKeyMeter Meter;
  std::vector<HotKeyLimit> Entries;
  double RoomPerSecond = 40;
  double Room = 0;
  double Due = 0;
  std::size_t NextEntry = 0;
  Instant Now = Instant(1'000'000);
  int Sent = 0;
  int Served = 0;
  int RefusedAtEntry = 0;

  HotKeyLoad() {
    for (std::uint64_t Seed = 0; Seed < 87; ++Seed)
      this->Entries.emplace_back(Seed);
  }

  // Plays one second in steps of 10 ms; results arrive at once.
  void playSecond(double RequestsPerSecond) {
    this->Sent = this->Served = this->RefusedAtEntry = 0;
    for (int Step = 0; Step < 100; ++Step) {
      this->Now = this->Now + milliseconds(10);
      this->Room = std::min(this->Room + this->RoomPerSecond / 100, Slots);
      this->Due += RequestsPerSecond / 100;
      for (; this->Due >= 1; this->Due -= 1)
        this->request();
    }
  }

  void request() {
    HotKeyLimit &Entry =
        this->Entries[this->NextEntry++ % this->Entries.size()];
    if (!Entry.allow("s", HotKey, this->Now)) {
      ++this->RefusedAtEntry;
      return;
    }
    ++this->Sent;
    bool Refused = this->Room < 1;
    if (!Refused) {
      this->Room -= 1;
      ++this->Served;
    }
    this->Meter.note(HotKey, Entry.takeDemand("s", HotKey), Refused, this->Now);
    Entry.setShare("s", HotKey, this->Meter.shareOf(HotKey, this->Now),
                   this->Now);
  }
};

class HotKeyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HotKeyTest);
  CPPUNIT_TEST(excessIsRefusedAtTheEntries);
  CPPUNIT_TEST(shareRisesWhenTheDemandEnds);
  CPPUNIT_TEST(neighborsKeepTheirShare);
  CPPUNIT_TEST(requestsPassEvenly);
  CPPUNIT_TEST(statedSharesExpire);
  CPPUNIT_TEST(entryNodesFollowTheShareAndTellTheDemand);
  CPPUNIT_TEST_SUITE_END();

public:
  // Load: one key gets 190 requests/s from 87 entry nodes, its target
  // serves 40. Guards against requests that cross a link only to be refused,
  // and against a limit that leaves the target idle.
  void excessIsRefusedAtTheEntries() {
    HotKeyLoad Load;
    for (int Second = 0; Second < 4; ++Second)
      Load.playSecond(190);
    for (int Second = 0; Second < 6; ++Second) {
      Load.playSecond(190);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Load.Sent), Load.Sent <= 90);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Load.Served), Load.Served >= 36);
    }
  }

  // Guards against a key that stays limited after its demand has fallen.
  void shareRisesWhenTheDemandEnds() {
    HotKeyLoad Load;
    for (int Second = 0; Second < 6; ++Second)
      Load.playSecond(190);
    for (int Second = 0; Second < 6; ++Second)
      Load.playSecond(20);
    CPPUNIT_ASSERT_EQUAL(0, Load.RefusedAtEntry);
    CPPUNIT_ASSERT(Load.Served >= 19);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Load.Meter.hotKeys());
  }

  // Guards against a limit for all keys of a target because of one.
  void neighborsKeepTheirShare() {
    HotKeyMeter Meter;
    Instant Now(1'000'000);
    for (int I = 0; I < 100; ++I) {
      Now = Now + milliseconds(10);
      Meter.note(HotKey, 1, I % 4 != 0, Now);
      Meter.note(Neighbor, 1, I == 50, Now);
    }
    CPPUNIT_ASSERT(Meter.shareOf(HotKey, Now) < 0.5F);
    CPPUNIT_ASSERT_EQUAL(1.0F, Meter.shareOf(Neighbor, Now));
    Meter.clear();
    CPPUNIT_ASSERT_EQUAL(1.0F, Meter.shareOf(HotKey, Now));
  }

  // Guards against runs of refusals for callers who come at the wrong moment.
  void requestsPassEvenly() {
    HotKeyLimit Limit;
    Instant Now(1'000'000);
    Limit.setShare("s", HotKey, 0.25F, Now);
    int Passed = 0;
    int LastPassed = -1;
    for (int I = 0; I < 100; ++I) {
      if (!Limit.allow("s", HotKey, Now))
        continue;
      CPPUNIT_ASSERT(LastPassed < 0 || I - LastPassed == 4);
      LastPassed = I;
      ++Passed;
    }
    CPPUNIT_ASSERT_EQUAL(25, Passed);
    CPPUNIT_ASSERT(Limit.refused() == 75);
    CPPUNIT_ASSERT(Limit.allow("t", HotKey, Now));
    CPPUNIT_ASSERT(Limit.allow("s", Neighbor, Now));
  }

  // Guards against a share of a target that is gone.
  void statedSharesExpire() {
    HotKeyLimit Limit;
    Instant Now(1'000'000);
    Limit.setShare("s", HotKey, 0.01F, Now);
    CPPUNIT_ASSERT(!Limit.allow("s", HotKey, Now));
    Now = Now + HotKeyLimit::ShareLifetime + milliseconds(1);
    CPPUNIT_ASSERT(Limit.allow("s", HotKey, Now));
  }

  // Guards against an entry node that goes on sending what the owner of a hot
  // key refuses, and against a demand that the owner does not learn.
  void entryNodesFollowTheShareAndTellTheDemand() {
    testing::EntryFixture F;
    std::uint64_t Caller = 1;
    F.sendRequest(Caller++, "/keyed/1", HotKey);
    CPPUNIT_ASSERT(F.sent() && F.sent()->KeyDemand == 1);
    ForwardResult Refusal{.Id = F.sent()->Id, .Code = Outcome::Busy};
    Refusal.KeyShare = 0.25F;
    F.Entry.handleResult(testing::NearNode, Refusal, F.Now, F.Out);
    int Refused = 0;
    for (; Caller < 20; ++Caller) {
      F.sendRequest(Caller, "/keyed/" + std::to_string(Caller), HotKey);
      if (F.sent())
        break;
      CPPUNIT_ASSERT_EQUAL(503, F.status());
      ++Refused;
    }
    CPPUNIT_ASSERT(F.sent());
    CPPUNIT_ASSERT(Refused <= 3);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(Refused + 1),
                         F.sent()->KeyDemand);
    CPPUNIT_ASSERT(F.Entry.hotKeyRefusals() ==
                   static_cast<std::uint64_t>(Refused));
    F.sendRequest(30, "/keyed/x", Neighbor);
    CPPUNIT_ASSERT(F.sent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HotKeyTest);

} // namespace
} // namespace orioledoor::routing
