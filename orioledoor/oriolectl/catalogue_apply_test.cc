// Guards against changes that are lost, applied twice or overwritten. Runs
// against the stand-in store, and against scripted answers where the moment of
// the fault matters.
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

// A valid catalogue with one service.
std::string yaml(std::uint64_t Rate, int Slices = 64) {
  return absl::StrCat("deployment: desk\nservices:\n  - name: consulta\n"
                      "    owner: office\n    class: critical\n"
                      "    divided_by_key: true\n    slices: ",
                      Slices, "\n    limits: {requests_per_second: ", Rate,
                      "}\nregions: {ebro: {state: active}}\n"
                      "weights: {imbalance: 1, churn: 1, unavailable: 1}\n");
}

ApplyRequest request(std::uint64_t Base, std::string Text,
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

// A store that is empty until a late write and answers transactions by a
// script.
class ScriptedStore {
public:
  // Late: the connection is closed, and the write takes effect afterwards.
  enum class Answer { Drop, Reject, Succeed, Late };

  explicit ScriptedStore(standins::Loop &Events)
      : Events(Events),
        Http(Events, 0, [this](const std::shared_ptr<standins::Exchange> &E) {
          this->serve(*E);
        }) {}

  std::uint16_t port() const { return this->Http.port(); }

  // Drop follows the last one.
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
    case Answer::Late:
      this->Events.after(100ms, [this, Puts = Txn->Puts] {
        for (const StorePut &Put : Puts)
          this->Written.push_back({Put.Key, Put.Value, 2});
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
        this->Written, std::back_inserter(Reply.Entries),
        [&](const StoreEntry &Each) { return Each.Key == Range.Key; });
    return Reply;
  }

  standins::Loop &Events;
  // What late writes have put.
  std::vector<StoreEntry> Written;
  standins::HttpServer Http;
};

class CatalogueApplyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogueApplyTest);
  CPPUNIT_TEST(writesCurrentHistoryAndAudit);
  CPPUNIT_TEST(refusesAnotherBase);
  CPPUNIT_TEST(refusesInvalidChanges);
  CPPUNIT_TEST(refusesSlicesOtherThanRecorded);
  CPPUNIT_TEST(ignoresTheSameText);
  CPPUNIT_TEST(neverOverwritesARevision);
  CPPUNIT_TEST(oneOfTwoOperatorsWins);
  CPPUNIT_TEST(lostAnswerIsReadBack);
  CPPUNIT_TEST(lostAnswerOfASupersededChangeIsReadBack);
  CPPUNIT_TEST(unknownWhileTheStoreIsDown);
  CPPUNIT_TEST(notSentAgainWhileItMayTakeEffect);
  CPPUNIT_TEST(lateEffectIsFound);
  CPPUNIT_TEST(sentAgainWhenProvablyNotApplied);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    this->Server.emplace(this->Events, 0);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", this->Server->port()},
                        CallLimits);
  }

  void writesCurrentHistoryAndAudit() {
    this->applied(0, yaml(1));
    this->applied(1, yaml(2));
    auto Current = readCurrent(*this->Store);
    CPPUNIT_ASSERT(Current.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Current->Published.Revision);
    CPPUNIT_ASSERT_EQUAL(yaml(2), Current->Published.Text);
    auto First = readRevision(*this->Store, 1);
    CPPUNIT_ASSERT(First.ok() && First->Text == yaml(1));
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

  void refusesAnotherBase() {
    this->applied(0, yaml(1));
    this->refused(StatusCode::kAborted, 0, yaml(2));
    this->refused(StatusCode::kAborted, 2, yaml(2));
    CPPUNIT_ASSERT_EQUAL(yaml(1), readCurrent(*this->Store)->Published.Text);
  }

  void refusesInvalidChanges() {
    this->refused(StatusCode::kInvalidArgument, 0, "a: 1");
    this->applied(0, yaml(1));
    this->refused(StatusCode::kFailedPrecondition, 1, yaml(1, 128));
  }

  // A service that was removed and returns would otherwise disagree with the
  // slices in the assignment.
  void refusesSlicesOtherThanRecorded() {
    ownership::Assignment Recorded;
    Recorded.Version = 1;
    Recorded.Services = {
        {serviceIdOf("consulta"), std::vector<ownership::SliceOwner>(32)}};
    this->Server->model().put(keys::Assignment,
                              ownership::encodeAssignment(Recorded), 0);
    this->refused(StatusCode::kFailedPrecondition, 0, yaml(1, 64));
    this->applied(0, yaml(1, 32));
  }

  void ignoresTheSameText() {
    this->applied(0, yaml(1));
    auto Same = applyCatalogue(*this->Store, request(1, yaml(1)), ShortLimits);
    CPPUNIT_ASSERT(Same.ok());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Same->Revision);
  }

  // As after the current key alone was restored from an older copy.
  void neverOverwritesARevision() {
    this->applied(0, yaml(1));
    std::string First =
        this->Server->model().find(keys::CatalogueCurrent)->Value;
    this->applied(1, yaml(2));
    this->Server->model().put(keys::CatalogueCurrent, First, 0);
    this->refused(StatusCode::kAborted, 1, yaml(3));
    CPPUNIT_ASSERT_EQUAL(yaml(2), readRevision(*this->Store, 2)->Text);
  }

  void oneOfTwoOperatorsWins() {
    this->applied(0, yaml(1));
    for (std::uint64_t Base = 1; Base <= 10; ++Base) {
      std::atomic<bool> Done = false;
      absl::StatusOr<ApplyResult> Other;
      std::thread Operator([&] {
        EventLoop Own;
        StoreSession Session(Own, Endpoint{"127.0.0.1", this->Server->port()},
                             CallLimits);
        Other = applyCatalogue(Session, request(Base, yaml(1000 + Base), "bo"),
                               ShortLimits);
        Done = true;
      });
      auto Mine = applyCatalogue(*this->Store, request(Base, yaml(Base + 1)),
                                 ShortLimits);
      bool Ended = this->Loop.runUntil([&] { return Done.load(); }, 10s);
      Operator.join();
      CPPUNIT_ASSERT(Ended);
      CPPUNIT_ASSERT_EQUAL(1, int{Mine.ok()} + int{Other.ok()});
      CPPUNIT_ASSERT((Mine.ok() ? Other : Mine).status().code() ==
                     StatusCode::kAborted);
      auto Current = readCurrent(*this->Store);
      CPPUNIT_ASSERT_EQUAL(Base + 1, Current->Published.Revision);
      CPPUNIT_ASSERT_EQUAL(std::string(Mine.ok() ? "ana" : "bo"),
                           Current->Published.Author);
    }
  }

  void lostAnswerIsReadBack() {
    this->Server->setFaults({{"lose_answers", 1}});
    this->applied(0, yaml(1));
    CPPUNIT_ASSERT(this->Server->counters().at("answers_lost") == 1);
  }

  // The own revision is then found in the history and not in the current key.
  void lostAnswerOfASupersededChangeIsReadBack() {
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
    this->applied(0, yaml(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         readCurrent(*this->Store)->Published.Revision);
  }

  void unknownWhileTheStoreIsDown() {
    this->Server->setFaults({{"lose_answers", 1}});
    this->Server->model().onChange(
        [&](const auto &) { this->Server->setFaults({{"outage", "closed"}}); });
    std::string Message = this->refused(StatusCode::kUnknown, 0, yaml(1));
    CPPUNIT_ASSERT(Message.find("apply id ana-0") != std::string::npos);
  }

  void notSentAgainWhileItMayTakeEffect() {
    ScriptedStore Scripted(this->Events);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", Scripted.port()},
                        CallLimits);
    Scripted.Script = {ScriptedStore::Answer::Drop};
    this->refused(StatusCode::kUnknown, 0, yaml(1));
    CPPUNIT_ASSERT_EQUAL(1, Scripted.Transactions);
  }

  // The first look at the store after the lost answer shows nothing yet.
  void lateEffectIsFound() {
    ScriptedStore Scripted(this->Events);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", Scripted.port()},
                        CallLimits);
    Scripted.Script = {ScriptedStore::Answer::Late};
    this->applied(0, yaml(1));
    CPPUNIT_ASSERT_EQUAL(1, Scripted.Transactions);
  }

  void sentAgainWhenProvablyNotApplied() {
    ScriptedStore Scripted(this->Events);
    this->Store.emplace(this->Loop, Endpoint{"127.0.0.1", Scripted.port()},
                        CallLimits);
    using enum ScriptedStore::Answer;
    Scripted.Script = {Reject, Reject, Succeed};
    this->applied(0, yaml(1));
    CPPUNIT_ASSERT_EQUAL(3, Scripted.Transactions);
    Scripted.Script.assign(1000, Reject);
    this->refused(StatusCode::kUnavailable, 0, yaml(1));
  }

private:
  void applied(std::uint64_t Base, const std::string &Text) {
    auto Result =
        applyCatalogue(*this->Store, request(Base, Text), ShortLimits);
    CPPUNIT_ASSERT_MESSAGE(Result.status().ToString(), Result.ok());
    CPPUNIT_ASSERT_EQUAL(Base + 1, Result->Revision);
  }

  // Returns the message of the refusal.
  std::string refused(StatusCode Code, std::uint64_t Base,
                      const std::string &Text) {
    absl::Status Status =
        applyCatalogue(*this->Store, request(Base, Text), ShortLimits).status();
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
