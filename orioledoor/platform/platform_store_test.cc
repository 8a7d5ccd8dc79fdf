// Tests PlatformStore against the stand-in store in one event loop.
#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "orioledoor/platform/events.h"
#include "orioledoor/platform/platform_store.h"
#include "orioledoor/platform/store_codec.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/relay_link.h"
#include "orioledoor/standins/store_server.h"
#include "orioledoor/store/keys.h"
#include "orioledoor/wire/testing/full_listener.h"

namespace orioledoor::platform {
namespace {

using namespace std::chrono_literals;
using absl::StatusCode;

constexpr Duration TestTimeout = 10s;
// VMs count as connected to the store 3 s after a disruption, and a
// configuration must then be in force 2 s after its acknowledgment. The view
// must be complete again within half of the former time, since a call that
// fails comes first.
constexpr Duration MaxRecoveryTime = 1500ms;

StoreTxn makeWrite(std::int64_t Expected, std::string Value) {
  return {.Compares = {{keys::Assignment, Expected}},
          .Puts = {{.Key = keys::Assignment, .Value = std::move(Value)}}};
}

class PlatformStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformStoreTest);
  CPPUNIT_TEST(valuesAreBinarySafe);
  CPPUNIT_TEST(conflictReturnsTheCurrentEntry);
  CPPUNIT_TEST(descendingRangeStartsAtTheLastKey);
  CPPUNIT_TEST(writeWithLostResponseIsUnknownAndReadBack);
  CPPUNIT_TEST(longRangeIsReadPageByPage);
  CPPUNIT_TEST(rejectedWritesAreNotApplied);
  CPPUNIT_TEST(writesToOperatorKeysAreRejected);
  CPPUNIT_TEST(callsToUnresponsiveStoreTimeOut);
  CPPUNIT_TEST(expiredLeaseDeletesItsKeys);
  CPPUNIT_TEST(watchResumesAtARevision);
  CPPUNIT_TEST(watchReportsCompaction);
  CPPUNIT_TEST(allAnswersStateTheEra);
  CPPUNIT_TEST(rollBackLosesWritesAndLeases);
  CPPUNIT_TEST(unresponsiveWatchIsReported);
  CPPUNIT_TEST(unresponsiveWatchReportsDeletionLater);
  CPPUNIT_TEST(deadConnectionsDoNotDelayTheReport);
  CPPUNIT_TEST(watchInterruptionsAreLogged);
  CPPUNIT_TEST(watchConnectTimeoutIsEnforced);
  CPPUNIT_TEST(watchIsReopenedOnceTheStoreAnswersCalls);
  CPPUNIT_TEST(watchWaitsAreApplied);
  CPPUNIT_TEST(rejectedWatchesBackOff);
  CPPUNIT_TEST(replacedWatchIsNotInvokedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    this->Server.emplace(this->Events, 0);
    this->Client = this->makeClient(this->Server->port(), 300ms);
  }

  // Guards against values that JSON or base64 alters.
  void valuesAreBinarySafe() {
    std::string Bytes;
    for (int Byte = 0; Byte < 256; ++Byte)
      Bytes += static_cast<char>(Byte);
    CPPUNIT_ASSERT(this->call(makeWrite(0, Bytes)).Succeeded);
    StoreReply Reply = this->call(StoreRange{.Key = keys::Assignment});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Reply.Entries.size());
    CPPUNIT_ASSERT(Reply.Entries[0].Value == Bytes);
    CPPUNIT_ASSERT_EQUAL(Reply.Revision, Reply.Entries[0].ModRevision);
  }

  // Guards against two concurrent writers that both see their write succeed.
  void conflictReturnsTheCurrentEntry() {
    std::int64_t First = this->call(makeWrite(0, "a")).Revision;
    StoreReply Second = this->call(makeWrite(0, "b"));
    CPPUNIT_ASSERT(Second.Status.ok() && !Second.Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Second.Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Second.Entries[0].Value);
    CPPUNIT_ASSERT_EQUAL(First, Second.Entries[0].ModRevision);
    CPPUNIT_ASSERT(this->call(makeWrite(First, "c")).Succeeded);
  }

  // Guards against a range that includes keys outside its prefix.
  void descendingRangeStartsAtTheLastKey() {
    for (const char *Key : {"orioledoor/audit/1", "orioledoor/audit/2",
                            "orioledoor/audit/3", "orioledoor/audit0"})
      this->call(StoreTxn{.Puts = {{.Key = Key, .Value = "v"}}});
    StoreReply Reply = this->call(StoreRange{.Key = keys::AuditPrefix,
                                             .Prefix = true,
                                             .Limit = 2,
                                             .Descending = true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Reply.Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("orioledoor/audit/3"),
                         Reply.Entries[0].Key);
    CPPUNIT_ASSERT_EQUAL(std::string("orioledoor/audit/2"),
                         Reply.Entries[1].Key);
  }

  // Guards against ignoring the entries after the first page.
  void longRangeIsReadPageByPage() {
    constexpr int Entries = 1201;
    StoreTxn Txn;
    for (int I = 0; I < Entries; ++I) {
      Txn.Puts.push_back(
          {.Key = "orioledoor/many/" + std::to_string(10'000 + I),
           .Value = "v"});
      if (Txn.Puts.size() == MaxTxnEntries || I + 1 == Entries)
        CPPUNIT_ASSERT(this->call(std::exchange(Txn, {})).Succeeded);
    }
    StoreReply Reply =
        this->call(StoreRange{.Key = "orioledoor/many/", .Prefix = true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{Entries}, Reply.Entries.size());
    CPPUNIT_ASSERT(std::ranges::is_sorted(Reply.Entries, {}, &StoreEntry::Key));
  }

  // Guards against a write to the keys of the operator that is reported as
  // successful.
  void writesToOperatorKeysAreRejected() {
    CPPUNIT_ASSERT(
        this->callForCode(StoreTxn{.Puts = {{.Key = "op/config"}}}) ==
        StatusCode::kInvalidArgument);
    CPPUNIT_ASSERT(this->call(StoreRange{.Key = "op/config"}).Entries.empty());
  }

  // Guards against reporting a write as not applied if the store applied it and
  // only the response was lost.
  void writeWithLostResponseIsUnknownAndReadBack() {
    this->Server->setFaults({{"lose_answers", 1}});
    CPPUNIT_ASSERT(this->callForCode(makeWrite(0, "a")) ==
                   StatusCode::kUnknown);
    StoreReply Read = this->call(StoreRange{.Key = keys::Assignment});
    CPPUNIT_ASSERT(Read.Status.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read.Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Read.Entries[0].Value);
  }

  // Guards against an unknown outcome for a write that the store certainly did
  // not apply. Such a write would be read back without need or, worse, be
  // abandoned.
  void rejectedWritesAreNotApplied() {
    this->Server->setFaults({{"reject", 1}});
    CPPUNIT_ASSERT(this->callForCode(makeWrite(0, "a")) ==
                   StatusCode::kUnavailable);
    CPPUNIT_ASSERT(this->callForCode(StoreTxn{
                       .Puts = {{.Key = "orioledoor/x", .Lease = 99}}}) ==
                   StatusCode::kNotFound);
    CPPUNIT_ASSERT(this->call(StoreRange{.Key = keys::Root, .Prefix = true})
                       .Entries.empty());
    this->Client = this->makeClient(closedPort(), 300ms);
    CPPUNIT_ASSERT(this->callForCode(makeWrite(0, "a")) ==
                   StatusCode::kUnavailable);
  }

  // Guards against calls that never end, and against calls after an outage that
  // reuse a connection which died in it.
  void callsToUnresponsiveStoreTimeOut() {
    this->call(StoreRange{.Key = keys::Assignment});
    this->Server->setFaults({{"outage", "silent"}});
    Instant Start = readClock();
    CPPUNIT_ASSERT(this->callForCode(makeWrite(0, "a")) ==
                   StatusCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(readClock() - Start < 2s);
    this->Server->setFaults({{"outage", "closed"}});
    CPPUNIT_ASSERT(this->callForCode(makeWrite(0, "a")) ==
                   StatusCode::kUnknown);
    CPPUNIT_ASSERT(this->callForCode(StoreRange{.Key = keys::Assignment}) ==
                   StatusCode::kUnavailable);
    this->Server->setFaults({{"outage", "none"}});
    CPPUNIT_ASSERT(this->call(makeWrite(0, "a")).Succeeded);
  }

  // Guards against a coordinator key that outlives its holder, and against a
  // holder that is not told that its lease expired.
  void expiredLeaseDeletesItsKeys() {
    std::int64_t Lease = this->call(StoreLeaseGrant{1s}).Lease;
    CPPUNIT_ASSERT(Lease != 0);
    this->call(StoreTxn{.Puts = {{keys::Coordinator, "7", Lease}}});
    CPPUNIT_ASSERT(this->call(StoreLeaseKeepAlive{Lease}).TimeToLive == 1s);
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return !this->Server->model().find(keys::Coordinator); },
        TestTimeout));
    StoreReply LateReply = this->call(StoreLeaseKeepAlive{Lease});
    CPPUNIT_ASSERT(LateReply.Status.ok());
    CPPUNIT_ASSERT(LateReply.TimeToLive == 0s);
    std::int64_t SecondLease = this->call(StoreLeaseGrant{60s}).Lease;
    this->call(StoreTxn{.Puts = {{keys::Coordinator, "8", SecondLease}}});
    CPPUNIT_ASSERT(this->call(StoreLeaseRevoke{SecondLease}).Status.ok());
    CPPUNIT_ASSERT(
        this->call(StoreRange{.Key = keys::Coordinator}).Entries.empty());
  }

  // Guards against losing changes between two watch requests.
  void watchResumesAtARevision() {
    std::int64_t First = this->call(makeWrite(0, "a")).Revision;
    this->call(StoreTxn{.Puts = {{.Key = "other/key", .Value = "x"}}});
    std::int64_t Third = this->call(makeWrite(First, "b")).Revision;
    this->watch(First);
    this->waitForChanges(1);
    this->call(StoreTxn{.Deletes = {keys::Assignment}});
    this->waitForChanges(2);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->Changes[0].Entry.Value);
    CPPUNIT_ASSERT_EQUAL(Third, this->Changes[0].Entry.ModRevision);
    CPPUNIT_ASSERT(this->Changes[1].Deleted);
    this->waitForOpenWatch();
    this->Server->setFaults({{"close_watches", true}});
    this->waitForWatchError(StatusCode::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(Third + 1, this->LastRevision);
    this->call(makeWrite(0, "c"));
    this->watch(this->LastRevision);
    this->waitForChanges(3);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), this->Changes[2].Entry.Value);
  }

  // Guards against a watch that skips compacted changes without an error.
  void watchReportsCompaction() {
    this->call(makeWrite(0, "a"));
    this->Server->setFaults({{"compact", 10}});
    this->watch(1);
    this->waitForWatchError(StatusCode::kOutOfRange);
  }

  // Guards against a node that does not notice a rollback because the first
  // answer after it is a refusal, or because the header is damaged.
  void allAnswersStateTheEra() {
    this->Server->setFaults({{"era", 7}});
    StoreTxn Write = makeWrite(0, "a");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, this->call(Write).Era);
    CPPUNIT_ASSERT(!this->call(Write).Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, this->call(Write).Era);
    StoreReply Missing = this->call(StoreRange{.Key = "absent"});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, Missing.Era);
    StoreReply Ended = this->call(StoreLeaseKeepAlive{.Lease = 99});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, Ended.Era);
    this->Server->setFaults({{"reject", 1}});
    StoreReply Rejected = this->call(Write);
    CPPUNIT_ASSERT(!Rejected.Status.ok());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, Rejected.Era);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, decodeEra({}));
    for (const char *Value : {"", "-1", "7x", "99999999999999999999"})
      CPPUNIT_ASSERT_EQUAL(std::int64_t{-1}, decodeEra({{"Store-Era", Value}}));
  }

  // Guards against a watch that goes on in a store that does not have its
  // revision, and against a stand-in that keeps what a copy lacks.
  void rollBackLosesWritesAndLeases() {
    this->Server->setFaults({{"era", 1}});
    std::int64_t First = this->call(makeWrite(0, "a")).Revision;
    this->Server->setFaults({{"take_copy", true}});
    std::int64_t Second = this->call(makeWrite(First, "b")).Revision;
    StoreReply Granted = this->call(StoreLeaseGrant{.TimeToLive = 5s});
    this->watch(Second);
    this->waitForOpenWatch();
    this->Server->setFaults({{"roll_back", true}});
    this->waitForWatchError(StatusCode::kUnavailable);
    this->WatchError.reset();
    this->waitForWatchError(StatusCode::kOutOfRange);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, this->LastEra);
    StoreReply Ended = this->call(StoreLeaseKeepAlive{.Lease = Granted.Lease});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         std::int64_t{Ended.TimeToLive.count()});
    StoreReply Again = this->call(makeWrite(First, "c"));
    CPPUNIT_ASSERT(Again.Succeeded);
    CPPUNIT_ASSERT_EQUAL(Second, Again.Revision);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, Again.Era);
  }

  // Guards against a connection that stays open but no longer delivers data,
  // and against treating a watch without changes as unresponsive.
  void unresponsiveWatchIsReported() {
    this->watch(0);
    std::int64_t First = this->call(makeWrite(0, "a")).Revision;
    this->waitForChanges(1);
    CPPUNIT_ASSERT(!this->Events.runUntil(
        [&] { return this->WatchError.has_value(); }, 600ms));
    this->makeWatchUnresponsive();
    this->call(makeWrite(First, "b"));
    this->waitForWatchError(StatusCode::kUnavailable);
    this->waitForChanges(2);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->Changes[1].Entry.Value);
  }

  // Guards against missing the deletion of a key because the watch became
  // unresponsive before, and against a watch that ends because of a deletion.
  void unresponsiveWatchReportsDeletionLater() {
    this->call(StoreTxn{.Puts = {{keys::Coordinator, "7"}}});
    this->call(StoreTxn{.Puts = {{keys::Assignment, "a"}}});
    this->watch(0);
    this->waitForChanges(2);
    this->call(StoreTxn{.Deletes = {keys::Assignment}});
    this->waitForChanges(3);
    CPPUNIT_ASSERT(!this->Events.runUntil(
        [&] { return this->WatchError.has_value(); }, 600ms));
    this->makeWatchUnresponsive();
    this->call(StoreTxn{.Deletes = {keys::Coordinator}});
    this->waitForWatchError(StatusCode::kUnavailable);
    this->waitForChanges(4);
    CPPUNIT_ASSERT(this->Changes[3].Deleted);
  }

  // Guards against a check of the watch, or a read after its failure, that
  // waits for a pooled connection which died at the same time.
  void deadConnectionsDoNotDelayTheReport() {
    standins::RelayLink Link(
        this->Events, 0, "127.0.0.1:" + std::to_string(this->Server->port()));
    this->Client = this->makeClient(Link.port(), 5s);
    this->call(makeWrite(0, "a"));
    this->watch(1);
    this->waitForChanges(1);
    Link.setFaults({{"silence_open", true}});
    this->Server->model().begin();
    this->Server->model().put(keys::Assignment, "b", 0);
    this->Server->model().commit();
    Instant Start = readClock();
    this->waitForWatchError(StatusCode::kUnavailable);
    CPPUNIT_ASSERT(this->call(StoreRange{.Key = keys::Assignment}).Status.ok());
    CPPUNIT_ASSERT(readClock() - Start < 3s);
    this->Client.reset();
  }

  // Guards against a node that misses changes without a trace: the log must
  // show whether a watch had a connection and how long it got no response.
  void watchInterruptionsAreLogged() {
    this->watch(0);
    this->makeWatchUnresponsive();
    this->waitForWatchError(StatusCode::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->LogRecords.size());
    CPPUNIT_ASSERT(this->LogRecords[0].Event == &events::StoreWatchInterrupted);
    CPPUNIT_ASSERT(findField(this->LogRecords[0], "sent_after_ms") != "never");
    CPPUNIT_ASSERT(std::stoi(findField(this->LogRecords[0], "open_ms")) >= 200);
    this->Server->setFaults({{"silence_watches", false}});
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return this->LogRecords.size() == 2; }, TestTimeout));
    CPPUNIT_ASSERT(this->LogRecords[1].Event == &events::StoreWatchResumed);
    CPPUNIT_ASSERT(std::stoi(findField(this->LogRecords[1], "unanswered_ms")) >=
                   200);
    CPPUNIT_ASSERT(this->Client->counters().WatchInterruptions >= 1);
  }

  // Guards against changes that arrive seconds after a network partition has
  // ended. TCP repeats a connection attempt that began during the partition
  // after 1, 2 and 4 s, and the watch must not wait for it as long as it may
  // wait for a change.
  void watchConnectTimeoutIsEnforced() {
    wire::testing::FullListener Full;
    this->Client = this->makeClient(Full.port(), 5s, 30s);
    this->watch(0);
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return this->WatchError.has_value(); }, MaxRecoveryTime));
    CPPUNIT_ASSERT(this->WatchError->code() == StatusCode::kUnavailable);
    CPPUNIT_ASSERT_EQUAL(std::string("never"),
                         findField(this->LogRecords.at(0), "sent_after_ms"));
    std::optional<StoreReply> Reply;
    this->Client->call({.Body = StoreRange{.Key = keys::Assignment}},
                       [&](StoreReply Answer) { Reply = std::move(Answer); });
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return Reply.has_value(); },
                                         MaxRecoveryTime));
    CPPUNIT_ASSERT(Reply->Status.code() == StatusCode::kUnavailable);
  }

  // Guards against waiting for a watch request that an unresponsive store
  // received and never answers, although the store answers calls again.
  void watchIsReopenedOnceTheStoreAnswersCalls() {
    this->Client = this->makeClient(this->Server->port(), 300ms, 30s);
    this->watch(0);
    this->waitForOpenWatch();
    this->Server->setFaults({{"outage", "silent"}});
    CPPUNIT_ASSERT(this->callForCode(StoreRange{.Key = keys::Assignment}) ==
                   StatusCode::kUnavailable);
    this->Server->setFaults({{"outage", "none"}});
    CPPUNIT_ASSERT(this->call(makeWrite(0, "a")).Succeeded);
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return !this->Changes.empty(); },
                                         MaxRecoveryTime));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), this->Changes[0].Entry.Value);
    // A response that follows another response reopens no watch.
    std::int64_t Opened = this->Server->counters().at("watch");
    this->waitForOpenWatch();
    CPPUNIT_ASSERT(this->call(StoreRange{.Key = keys::Root}).Status.ok());
    this->Events.runUntil([] { return false; }, 100ms);
    CPPUNIT_ASSERT(this->Server->counters().at("watch") <= Opened + 1);
  }

  // Guards against watches that all nodes open at the same moment and that end
  // at the same moment again, so that no node notices for long that the store
  // has lost them.
  void watchWaitsAreApplied() {
    this->Client->setWatchWaits(keys::Root, 50ms, 30s);
    this->watch(0);
    this->waitForWatchRequests(2);
    this->call(makeWrite(0, "a"));
    this->waitForChanges(1);
    this->waitForWatchRequests(4);
    // Only another later wait makes the client use the first one again. The
    // open request keeps the wait that it was sent with.
    this->Client->setWatchWaits(keys::Root, 50ms, 400ms);
    this->call(StoreTxn{.Deletes = {keys::Assignment}});
    this->waitForWatchRequests(6);
    this->Client->setWatchWaits(keys::Root, 10ms, 400ms);
    this->waitForWatchRequests(7);
    this->Client->setWatchWaits(keys::Root, 50ms, 30s);
    this->waitForWatchRequests(9);
  }

  // Guards against frequent retries while the store rejects the requests of a
  // VM for seconds. Each attempt counts as a call, and the first response to a
  // call reopens the watches anyway.
  void rejectedWatchesBackOff() {
    this->Server->setFaults({{"reject", -1}});
    this->watch(0);
    this->Events.runUntil([] { return false; }, 1500ms);
    CPPUNIT_ASSERT(this->Server->counters().at("watch") <= 9);
    this->Server->setFaults({{"reject", 0}});
    this->call(makeWrite(0, "a"));
    CPPUNIT_ASSERT(this->Events.runUntil([&] { return !this->Changes.empty(); },
                                         MaxRecoveryTime));
    // The delay is reset after a response.
    std::int64_t Opened = this->Server->counters().at("watch");
    this->Server->setFaults({{"reject", -1}});
    this->Events.runUntil([] { return false; }, 300ms);
    CPPUNIT_ASSERT(this->Server->counters().at("watch") >= Opened + 2);
  }

  // Guards against updates of a replaced watch that reach the new callback.
  void replacedWatchIsNotInvokedAgain() {
    int EarlierUpdates = 0;
    this->Client->watch(keys::Root, 0,
                        [&](const StoreWatchUpdate &) { ++EarlierUpdates; });
    this->watch(1);
    this->call(makeWrite(0, "a"));
    this->waitForChanges(1);
    this->Client->stopWatching(keys::Root);
    this->call(StoreTxn{.Deletes = {keys::Assignment}});
    this->Events.runUntil([] { return false; }, 50ms);
    CPPUNIT_ASSERT_EQUAL(0, EarlierUpdates);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->Changes.size());
  }

private:
  std::unique_ptr<PlatformStore>
  makeClient(std::uint16_t Port, Duration Call,
             std::chrono::milliseconds WatchWait = 100ms) {
    return std::make_unique<PlatformStore>(
        this->Events.base(), Endpoint{"127.0.0.1", Port},
        PlatformStoreLimits{.CallTimeout = Call,
                            .WatchWait = WatchWait,
                            .WatchTimeoutMargin = 200ms,
                            .WatchRetryDelay = 50ms,
                            .MaxWatchRetryDelay = 400ms},
        [this](const LogRecord &Record) {
          this->LogRecords.push_back(Record);
        });
  }

  static std::string findField(const LogRecord &Record, std::string_view Name) {
    auto Found = std::ranges::find(Record.Fields, Name, &LogField::Name);
    return Found == Record.Fields.end() ? "" : Found->Value;
  }

  void waitForOpenWatch() {
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return this->Server->counters().at("open_watches") == 1; },
        TestTimeout));
  }

  // Waits until the client has sent Count watch requests in all, and checks
  // that it keeps waiting for the answer to the last one.
  void waitForWatchRequests(std::int64_t Count) {
    auto Sent = [this] {
      return this->Server->counters().value("watch", std::int64_t{0});
    };
    CPPUNIT_ASSERT(
        this->Events.runUntil([&] { return Sent() >= Count; }, TestTimeout));
    this->Events.runUntil([] { return false; }, 200ms);
    CPPUNIT_ASSERT_EQUAL(Count, Sent());
  }

  void makeWatchUnresponsive() {
    this->waitForOpenWatch();
    this->Server->setFaults({{"silence_watches", true}});
  }

  StoreReply call(StoreRequestBody Body) {
    std::optional<StoreReply> Reply;
    this->Client->call({.Id = 7, .Body = std::move(Body)},
                       [&](StoreReply Answer) { Reply = std::move(Answer); });
    CPPUNIT_ASSERT(!Reply);
    CPPUNIT_ASSERT(
        this->Events.runUntil([&] { return Reply.has_value(); }, TestTimeout));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Reply->Id);
    return *Reply;
  }

  StatusCode callForCode(StoreRequestBody Body) {
    return this->call(std::move(Body)).Status.code();
  }

  void watch(std::int64_t After) {
    this->WatchError.reset();
    this->Client->watch(keys::Root, After, [this](StoreWatchUpdate Update) {
      this->LastRevision = Update.Revision;
      this->LastEra = Update.Era;
      if (!Update.Status.ok())
        this->WatchError = Update.Status;
      for (StoreChange &Change : Update.Changes)
        this->Changes.push_back(std::move(Change));
    });
  }

  void waitForChanges(std::size_t Count) {
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return this->Changes.size() >= Count; }, TestTimeout));
    CPPUNIT_ASSERT_EQUAL(Count, this->Changes.size());
  }

  void waitForWatchError(StatusCode Code) {
    CPPUNIT_ASSERT(this->Events.runUntil(
        [&] { return this->WatchError.has_value(); }, TestTimeout));
    CPPUNIT_ASSERT(this->WatchError->code() == Code);
  }

  // Returns a port on which nothing listens.
  static std::uint16_t closedPort() {
    int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    CPPUNIT_ASSERT(bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) ==
                   0);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    close(Socket);
    return ntohs(Address.sin_port);
  }

  standins::Loop Events;
  std::optional<standins::StoreServer> Server;
  std::unique_ptr<PlatformStore> Client;
  std::vector<StoreChange> Changes;
  std::optional<absl::Status> WatchError;
  std::vector<LogRecord> LogRecords;
  std::int64_t LastEra = 0;
  std::int64_t LastRevision = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);

} // namespace
} // namespace orioledoor::platform
