// Tests that a catalogue change is never lost, applied twice or overwritten.
// Uses the stand-in store, and a store with scripted responses where the timing
// of the fault matters.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/oriolectl/audit_trail.h"
#include "orioledoor/oriolectl/catalogue_apply.h"
#include "orioledoor/oriolectl/catalogue_store.h"
#include "orioledoor/oriolectl/event_loop.h"
#include "orioledoor/oriolectl/store_session.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/platform/store_service_codec.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/store_server.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ctl {
namespace {

using namespace std::chrono_literals;
using absl::StatusCode;

constexpr platform::PlatformStoreLimits CallLimits{.CallTimeout = 500ms};
constexpr ApplyLimits ShortLimits{1s, 300ms, 20ms};

// Returns a valid catalogue with one service.
std::string makeCatalogueYaml(std::uint64_t Rate, int Slices = 64) {
  return absl::StrCat("deployment: desk\nservices:\n  - name: consulta\n"
                      "    owner: office\n    class: critical\n"
                      "    divided_by_key: true\n    slices: ",
                      Slices, "\n    limits: {requests_per_second: ", Rate,
                      "}\nregions: {ebro: {state: active}}\n"
                      "weights: {imbalance: 1, churn: 1, unavailable: 1}\n");
}

ApplyRequest makeRequest(std::uint64_t Base, std::string Text,
                         const std::string &Author = "ana") {
  std::uint64_t Id = stableHash(Text);
  return {.Text = std::move(Text),
          .FileName = "c.yaml",
          .Base = Base,
          .Author = Author,
          .Comment = "why",
          .ApplyId = absl::StrCat(Author, "-", Base, "-", Id),
          .TimeMicros = 1'000'000};
}

// A store that responds to transactions as scripted. It is empty except for
// writes that SucceedLate applies.
class ScriptedStore {
public:
  // Drop closes the connection and never applies the write. SucceedLate closes
  // the connection and applies the write 100 ms later.
  enum class Answer { Drop, Reject, Succeed, SucceedLate };

  explicit ScriptedStore(standins::Loop &Events)
      : Events(Events),
        Http(Events, 0, [this](const std::shared_ptr<standins::Exchange> &E) {
          this->serve(*E);
        }) {}

  std::uint16_t port() const { return this->Http.port(); }

  // Responses to the next transactions; Drop once the script is empty.
  std::deque<Answer> Script;
  int Transactions = 0;

private:
  void serve(standins::Exchange &Call) {
    auto Served = platform::decodeCall(Call.method(), Call.path(), Call.query(),
                                       Call.body());
    CPPUNIT_ASSERT(Served.ok());
    const auto *Txn = std::get_if<StoreTxn>(&*Served);
    if (!Txn)
      return this->send(Call, *Served, this->read(*Served));
    ++this->Transactions;
    Answer Next = this->Script.empty() ? Answer::Drop : this->Script.front();
    if (!this->Script.empty())
      this->Script.pop_front();
    StoreReply Reply{.Succeeded = true, .Revision = 2};
    switch (Next) {
    case Answer::SucceedLate:
      this->Events.after(100ms, [this, Puts = Txn->Puts] {
        for (const StorePut &Put : Puts)
          this->LateEntries.push_back({Put.Key, Put.Value, 2});
      });
      return Call.drop();
    case Answer::Reject:
      Reply.Status = absl::ResourceExhaustedError("too many requests");
      return this->send(Call, *Served, Reply);
    case Answer::Succeed:
      return this->send(Call, *Served, Reply);
    case Answer::Drop:
      return Call.drop();
    }
  }

  static void send(standins::Exchange &Call,
                   const platform::StoreServiceCall &Served,
                   const StoreReply &Reply) {
    platform::StoreHttpResponse Answer = platform::encodeReply(Served, Reply);
    Call.reply(Answer.Status, Answer.Body);
  }

  StoreReply read(const platform::StoreServiceCall &Served) const {
    StoreReply Reply{.Revision = 1};
    const StoreRange &Range =
        std::get<platform::StoreServiceRange>(Served).Range;
    std::ranges::copy_if(
        this->LateEntries, std::back_inserter(Reply.Entries),
        [&](const StoreEntry &Entry) { return Entry.Key == Range.Key; });
    return Reply;
  }

  standins::Loop &Events;
  // Entries that SucceedLate has written.
  std::vector<StoreEntry> LateEntries;
  standins::HttpServer Http;
};

class CatalogueApplyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogueApplyTest);
  CPPUNIT_TEST(writesCurrentHistoryAndAudit);
  CPPUNIT_TEST(rejectsBaseOtherThanCurrent);
  CPPUNIT_TEST(rejectsInvalidChanges);
  CPPUNIT_TEST(rejectsSliceCountOtherThanRecorded);
  CPPUNIT_TEST(ignoresUnchangedText);
  CPPUNIT_TEST(neverOverwritesARevision);
  CPPUNIT_TEST(acceptsOneOfTwoConcurrentChanges);
  CPPUNIT_TEST(confirmsWriteAfterLostAnswer);
  CPPUNIT_TEST(confirmsSupersededWriteAfterLostAnswer);
  CPPUNIT_TEST(reportsUnknownOutcomeWhileStoreIsDown);
  CPPUNIT_TEST(doesNotResendWriteThatMayTakeEffect);
  CPPUNIT_TEST(findsWriteAppliedAfterLostAnswer);
  CPPUNIT_TEST(resendsWriteThatWasNotApplied);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    this->Server.emplace(this->Events, 0);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", this->Server->port()},
                        CallLimits);
  }

  void writesCurrentHistoryAndAudit() {
    this->expectApplied(0, makeCatalogueYaml(1));
    this->expectApplied(1, makeCatalogueYaml(2));
    auto Current = readCurrentCatalogue(*this->Store);
    CPPUNIT_ASSERT(Current.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Current->Published.Revision);
    CPPUNIT_ASSERT_EQUAL(makeCatalogueYaml(2), Current->Published.Text);
    auto First = readRevision(*this->Store, 1);
    CPPUNIT_ASSERT(First.ok() && First->Text == makeCatalogueYaml(1));
    auto Trail = readAuditTrail(*this->Store, 10);
    CPPUNIT_ASSERT(Trail.ok());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Trail->Records.size());
    auto Found =
        std::ranges::find(Trail->Records, "revision 1", &AuditRecord::From);
    CPPUNIT_ASSERT(Found != Trail->Records.end());
    CPPUNIT_ASSERT_EQUAL(std::string("ana"), Found->Actor);
    CPPUNIT_ASSERT_EQUAL(std::string("why"), Found->Reason);
    CPPUNIT_ASSERT_EQUAL(
        std::string("revision 2 "
                    "(services.consulta.limits.requests_per_second: 1 -> 2)"),
        Found->To);
  }

  void rejectsBaseOtherThanCurrent() {
    this->expectApplied(0, makeCatalogueYaml(1));
    this->expectRefused(StatusCode::kAborted, 0, makeCatalogueYaml(2));
    this->expectRefused(StatusCode::kAborted, 2, makeCatalogueYaml(2));
    CPPUNIT_ASSERT_EQUAL(makeCatalogueYaml(1),
                         readCurrentCatalogue(*this->Store)->Published.Text);
  }

  void rejectsInvalidChanges() {
    this->expectRefused(StatusCode::kInvalidArgument, 0, "a: 1");
    this->expectApplied(0, makeCatalogueYaml(1));
    this->expectRefused(StatusCode::kFailedPrecondition, 1,
                        makeCatalogueYaml(1, 128));
  }

  // The assignment keeps the slices of a removed service. Without this check,
  // adding the service again with another number of slices would contradict the
  // assignment.
  void rejectsSliceCountOtherThanRecorded() {
    ownership::Assignment Recorded;
    Recorded.Version = 1;
    Recorded.Services = {
        {serviceIdOf("consulta"), std::vector<ownership::SliceOwner>(32)}};
    this->Server->model().put(keys::Assignment,
                              ownership::encodeAssignment(Recorded), 0);
    this->expectRefused(StatusCode::kFailedPrecondition, 0,
                        makeCatalogueYaml(1, 64));
    this->expectApplied(0, makeCatalogueYaml(1, 32));
  }

  void ignoresUnchangedText() {
    this->expectApplied(0, makeCatalogueYaml(1));
    auto Same = applyCatalogue(
        *this->Store, makeRequest(1, makeCatalogueYaml(1)), ShortLimits);
    CPPUNIT_ASSERT(Same.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Same->Revision);
  }

  // Simulates that only the current key was restored from an older backup,
  // while the history still holds the later revision.
  void neverOverwritesARevision() {
    this->expectApplied(0, makeCatalogueYaml(1));
    std::string First =
        this->Server->model().find(keys::CatalogueCurrent)->Value;
    this->expectApplied(1, makeCatalogueYaml(2));
    this->Server->model().put(keys::CatalogueCurrent, First, 0);
    this->expectRefused(StatusCode::kAborted, 1, makeCatalogueYaml(3));
    CPPUNIT_ASSERT_EQUAL(makeCatalogueYaml(2),
                         readRevision(*this->Store, 2)->Text);
  }

  void acceptsOneOfTwoConcurrentChanges() {
    this->expectApplied(0, makeCatalogueYaml(1));
    for (std::uint64_t Base = 1; Base <= 10; ++Base) {
      std::atomic<bool> Done = false;
      absl::StatusOr<ApplyResult> SecondResult;
      std::thread Operator([&] {
        EventLoop OperatorLoop;
        StoreSession Session(OperatorLoop,
                             Endpoint{"127.0.0.1", this->Server->port()},
                             CallLimits);
        SecondResult = applyCatalogue(
            Session, makeRequest(Base, makeCatalogueYaml(1000 + Base), "bo"),
            ShortLimits);
        Done = true;
      });
      auto FirstResult = applyCatalogue(
          *this->Store, makeRequest(Base, makeCatalogueYaml(Base + 1)),
          ShortLimits);
      bool Finished = this->Loop.runUntil([&] { return Done.load(); }, 10s);
      Operator.join();
      CPPUNIT_ASSERT(Finished);
      CPPUNIT_ASSERT_EQUAL(1, int{FirstResult.ok()} + int{SecondResult.ok()});
      CPPUNIT_ASSERT(
          (FirstResult.ok() ? SecondResult : FirstResult).status().code() ==
          StatusCode::kAborted);
      auto Current = readCurrentCatalogue(*this->Store);
      CPPUNIT_ASSERT_EQUAL(Base + 1, Current->Published.Revision);
      CPPUNIT_ASSERT_EQUAL(std::string(FirstResult.ok() ? "ana" : "bo"),
                           Current->Published.Author);
    }
  }

  void confirmsWriteAfterLostAnswer() {
    this->Server->setFaults({{"lose_answers", 1}});
    this->expectApplied(0, makeCatalogueYaml(1));
    CPPUNIT_ASSERT(this->Server->counters().at("answers_lost") == 1);
  }

  // Another change supersedes the write before its outcome is checked, so that
  // the history contains the revision but the current key does not.
  void confirmsSupersededWriteAfterLostAnswer() {
    this->Server->setFaults({{"lose_answers", 1}});
    bool Superseded = false;
    this->Server->model().onChange([&](const auto &) {
      if (std::exchange(Superseded, true))
        return;
      PublishedCatalogue Next;
      Next.Revision = 2;
      this->Server->model().put(keys::CatalogueCurrent,
                                encodePublishedCatalogue(Next), 0);
    });
    this->expectApplied(0, makeCatalogueYaml(1));
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{2},
        readCurrentCatalogue(*this->Store)->Published.Revision);
  }

  void reportsUnknownOutcomeWhileStoreIsDown() {
    this->Server->setFaults({{"lose_answers", 1}});
    this->Server->model().onChange(
        [&](const auto &) { this->Server->setFaults({{"outage", "closed"}}); });
    std::string Message =
        this->expectRefused(StatusCode::kUnknown, 0, makeCatalogueYaml(1));
    CPPUNIT_ASSERT(Message.find("apply id ana-0") != std::string::npos);
  }

  void doesNotResendWriteThatMayTakeEffect() {
    ScriptedStore Scripted(this->Events);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", Scripted.port()},
                        CallLimits);
    Scripted.Script = {ScriptedStore::Answer::Drop};
    this->expectRefused(StatusCode::kUnknown, 0, makeCatalogueYaml(1));
    CPPUNIT_ASSERT_EQUAL(1, Scripted.Transactions);
  }

  // The first read after the lost response does not show the write yet.
  void findsWriteAppliedAfterLostAnswer() {
    ScriptedStore Scripted(this->Events);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", Scripted.port()},
                        CallLimits);
    Scripted.Script = {ScriptedStore::Answer::SucceedLate};
    this->expectApplied(0, makeCatalogueYaml(1));
    CPPUNIT_ASSERT_EQUAL(1, Scripted.Transactions);
  }

  void resendsWriteThatWasNotApplied() {
    ScriptedStore Scripted(this->Events);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", Scripted.port()},
                        CallLimits);
    using enum ScriptedStore::Answer;
    Scripted.Script = {Reject, Reject, Succeed};
    this->expectApplied(0, makeCatalogueYaml(1));
    CPPUNIT_ASSERT_EQUAL(3, Scripted.Transactions);
    Scripted.Script.assign(1000, Reject);
    this->expectRefused(StatusCode::kUnavailable, 0, makeCatalogueYaml(1));
  }

private:
  void expectApplied(std::uint64_t Base, const std::string &Text) {
    auto Result =
        applyCatalogue(*this->Store, makeRequest(Base, Text), ShortLimits);
    CPPUNIT_ASSERT_MESSAGE(Result.status().ToString(), Result.ok());
    CPPUNIT_ASSERT_EQUAL(Base + 1, Result->Revision);
  }

  // Returns the error message.
  std::string expectRefused(StatusCode Code, std::uint64_t Base,
                            const std::string &Text) {
    absl::Status Status =
        applyCatalogue(*this->Store, makeRequest(Base, Text), ShortLimits)
            .status();
    CPPUNIT_ASSERT_MESSAGE(Status.ToString(), Status.code() == Code);
    return std::string(Status.message());
  }

  standins::Loop Events;
  EventLoop Loop{Events.base()};
  std::optional<standins::StoreServer> Server;
  std::optional<StoreSession> Store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueApplyTest);

} // namespace
} // namespace orioledoor::ctl
