// Guards the decoders of the platform's messages: the examples of its pages
// are read as they mean, and what another writer left is refused as a whole
// instead of being used in part.
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "orioledoor/platform/config_codec.h"
#include "orioledoor/platform/report_codec.h"
#include "orioledoor/platform/request_codec.h"
#include "orioledoor/platform/store_codec.h"

namespace orioledoor::platform {
namespace {

using std::chrono::milliseconds;

constexpr char ReportPath[] = "/Instances.Heartbeat/i-7f3a91c2";
constexpr char Report[] =
    R"({"address":"10.128.0.9:8080","information":{"service":"huvo11a",)"
    R"("version":"v1","zone":"skane-a","slots":13},"status":{"state":"ready",)"
    R"("sequence":4,"coldRemainingMs":120},"born":1783274112000,)"
    R"("holds":[[0,4095,7]],"freedCount":[[4096,8191,"5c0e7a21d94b36f8"]]})";

constexpr char Config[] =
    R"({"version":"0000000c","services":[{"name":"huvo11a",)"
    R"("healthPath":"/health","maxConnections":130,"protocol":"h1",)"
    R"("tls":false,"partitioned":true,"warmupS":2.0,"grants":"heartbeat"},)"
    R"({"name":"kafi81c","healthPath":"/health","maxConnections":130}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("baseVersion":"00000005","virtualHosts":[{"host":"jepu9.example",)"
    R"("paths":[{"name":"r-1","pathPrefix":"/lepu270/","kind":"safe",)"
    R"("timeoutMs":1200,"targetLatencyMs":400,"priority":2,)"
    R"("trafficSplit":[{"service":"huvo11a","weight":90},)"
    R"({"service":"kafi81c","weight":10}],"attempts":2},)"
    R"({"name":"r-2","pathPrefix":"/lepu270/up/","kind":"upload",)"
    R"("service":"kafi81c","attempts":1}]}]})";

std::string replaced(std::string Text, std::string_view From,
                     std::string_view To) {
  std::size_t At = Text.find(From);
  CPPUNIT_ASSERT_MESSAGE(std::string(From), At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

class PlatformCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformCodecTest);
  CPPUNIT_TEST(readsReport);
  CPPUNIT_TEST(refusesForeignReports);
  CPPUNIT_TEST(writesReportAnswer);
  CPPUNIT_TEST(readsConfig);
  CPPUNIT_TEST(takesNullForAbsent);
  CPPUNIT_TEST(refusesWrongConfigs);
  CPPUNIT_TEST(readsRequestHeaders);
  CPPUNIT_TEST(setsTargetHeaders);
  CPPUNIT_TEST(writesStoreCalls);
  CPPUNIT_TEST(readsStoreReplies);
  CPPUNIT_TEST(readsWatches);
  CPPUNIT_TEST(survivesMutations);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsReport() {
    auto Read = decodeReport(ReportPath, Report);
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), Read->Instance);
    CPPUNIT_ASSERT_EQUAL(std::string("huvo11a"), Read->Service);
    CPPUNIT_ASSERT_EQUAL(std::string("skane-a"), Read->FailureDomain);
    CPPUNIT_ASSERT_EQUAL(13U, Read->Slots);
    CPPUNIT_ASSERT(!Read->Draining);
    CPPUNIT_ASSERT(Read->ColdRemaining == milliseconds(120));
    CPPUNIT_ASSERT(Read->Born == 1783274112000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read->Holds.size());
    CPPUNIT_ASSERT(Read->Holds[0].Keys == (routing::KeyRange{0, 4095}));
    CPPUNIT_ASSERT(Read->Holds[0].Fence == 7);
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8"),
                         Read->Released.at(0).Handover);
  }

  void refusesForeignReports() {
    const std::vector<std::pair<std::string, std::string>> Changes = {
        {R"("slots":13)", R"("slots":"13")"},
        {R"("slots":13)", R"("slots":0)"},
        {R"("sequence":4)", R"("sequence":4.5)"},
        {R"("state":"ready")", R"("state":"resting")"},
        {R"("service":"huvo11a")", R"("service":null)"},
        {R"("born":1783274112000)", R"("born":"yesterday")"},
        {"[0,4095,7]", "[0,70000,7]"},
        {"[0,4095,7]", "[9,4,7]"},
        {"[0,4095,7]", "[0,4095]"},
        {R"("information")", R"("info")"},
        {R"("address":"10.128.0.9:8080")", R"("address":7)"}};
    for (const auto &[From, To] : Changes)
      CPPUNIT_ASSERT_MESSAGE(
          To, !decodeReport(ReportPath, replaced(Report, From, To)).ok());
    CPPUNIT_ASSERT(!decodeReport(ReportPath, "\x81\xA1").ok());
    CPPUNIT_ASSERT(!decodeReport("/Instances.Heartbeat/", Report).ok());
    CPPUNIT_ASSERT(!decodeReport("/health", Report).ok());
  }

  void writesReportAnswer() {
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), encodeReportAnswer({}));
    routing::ReportAnswer Answer;
    Answer.HoldTime = milliseconds(4000);
    Answer.Grants = {{{0, 4095}, 7, ""}, {{9000, 9999}, 12, "7a21"}};
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"holdMs":4000,"holds":[[0,4095,7,""],[9000,9999,12,"7a21"]]})"),
        encodeReportAnswer(Answer));
    // No keys at all is an order to release everything, not a silence.
    Answer.Grants.clear();
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"holdMs":4000,"holds":[]})"),
                         encodeReportAnswer(Answer));
  }

  void readsConfig() {
    auto Read = decodeConfig(Config);
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT(Read->Version == 12);
    CPPUNIT_ASSERT(Read->service("huvo11a")->Partitioned);
    CPPUNIT_ASSERT(!Read->service("kafi81c")->Partitioned);
    const routing::Route *Safe = Read->find("jepu9.example", "/lepu270/2f");
    CPPUNIT_ASSERT(Safe && Safe->Idempotent && Safe->Services.size() == 2);
    CPPUNIT_ASSERT(Safe->Timeout == milliseconds(1200));
    const routing::Route *Upload =
        Read->find("JEPU9.example:80", "/lepu270/up/x?y=/");
    CPPUNIT_ASSERT(Upload && !Upload->Idempotent && Upload->Attempts == 1);
    CPPUNIT_ASSERT(Upload->Timeout == milliseconds(0));
    CPPUNIT_ASSERT(!Read->find("jepu9.example", "/lepu27/2f"));
    CPPUNIT_ASSERT(!Read->find("other.example", "/lepu270/2f"));
  }

  // Guards against a configuration that is refused as a whole because a field
  // that may be missing is there without a value.
  void takesNullForAbsent() {
    for (const auto &[From, To] :
         std::vector<std::pair<std::string, std::string>>{
             {R"("attempts":2})", R"("attempts":null})"},
             {R"("priority":2)", R"("priority":null)"},
             {R"("healthPath":"/health")", R"("healthPath":null)"}})
      CPPUNIT_ASSERT_MESSAGE(To, decodeConfig(replaced(Config, From, To)).ok());
  }

  void refusesWrongConfigs() {
    const std::vector<std::pair<std::string, std::string>> Changes = {
        {R"("version":"0000000c")", R"("version":"")"},
        {R"("version":"0000000c")", R"("version":"0000000g")"},
        {R"("version":"0000000c")", R"("version":12)"},
        {R"("service":"kafi81c")", R"("service":"nobody")"},
        {R"("pathPrefix":"/lepu270/up/")", R"("pathPrefix":"lepu270")"},
        {R"("kind":"safe")", R"("kind":1)"},
        {R"("weight":90)", R"("weight":"much")"},
        {R"("virtualHosts")", R"("hosts")"}};
    for (const auto &[From, To] : Changes)
      CPPUNIT_ASSERT_MESSAGE(To,
                             !decodeConfig(replaced(Config, From, To)).ok());
    CPPUNIT_ASSERT(!decodeConfig(std::string(Config).substr(0, 300)).ok());
  }

  void readsRequestHeaders() {
    wire::IncomingRequest Incoming;
    Incoming.Method = "GET";
    Incoming.Headers = {
        {"attempt-id", "9c41"},          {"Deadline-Remaining", "1000"},
        {"Shard-Key", "65535"},          {"Caller-Service", "forged"},
        {"Expected-Instance", "forged"}, {"X-Other", "kept"}};
    routing::CallerRequest Request = decodeCallerRequest(3, Incoming);
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), Request.AttemptId);
    CPPUNIT_ASSERT(Request.TimeLeft == milliseconds(1000));
    CPPUNIT_ASSERT(Request.Key == 65535);
    // What the router sets itself is not taken from callers.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Request.Content->Headers.size());
    Incoming.Headers = {{"Deadline-Remaining", "soon"}, {"Shard-Key", "65536"}};
    Request = decodeCallerRequest(3, Incoming);
    CPPUNIT_ASSERT(!Request.TimeLeft);
    CPPUNIT_ASSERT(Request.Key == routing::NoKey);
  }

  void setsTargetHeaders() {
    routing::StartCall Asked;
    Asked.Instance = "i-1";
    Asked.AttemptId = "9c41";
    Asked.CallerService = "kafi81c";
    Asked.TimeLeft = std::chrono::microseconds(900'900);
    auto Content = std::make_shared<routing::RequestContent>();
    Content->Headers = {{"X-Other", "kept"}};
    Asked.Content = Content;
    wire::HttpCall Call = encodeTargetCall(Asked);
    auto Has = [&Call](std::string_view Name, std::string_view Value) {
      return std::ranges::any_of(Call.Headers, [&](const auto &Each) {
        return Each.Name == Name && Each.Value == Value;
      });
    };
    CPPUNIT_ASSERT(Has("Expected-Instance", "i-1"));
    CPPUNIT_ASSERT(Has("Attempt-Id", "9c41"));
    CPPUNIT_ASSERT(Has("Deadline-Remaining", "900"));
    CPPUNIT_ASSERT(Has("Caller-Service", "kafi81c"));
    CPPUNIT_ASSERT(Has("X-Other", "kept"));
    CPPUNIT_ASSERT(isNotExecuted({503, {{"not-executed", "1"}}, ""}));
    CPPUNIT_ASSERT(!isNotExecuted({503, {}, ""}));
    CPPUNIT_ASSERT(!isNotExecuted({200, {{"Not-Executed", "1"}}, ""}));
  }

  void writesStoreCalls() {
    StoreHttpRequest Read = encodeCall(StoreRange{.Key = "op/config"});
    CPPUNIT_ASSERT_EQUAL(std::string("GET"), Read.Method);
    CPPUNIT_ASSERT_EQUAL(std::string("/kv-key?key=op/config"), Read.Target);
    StoreHttpRequest Page =
        encodeCall(StoreRange{.Key = "my/", .Prefix = true}, "my/10.0.0.1:7 x");
    CPPUNIT_ASSERT_EQUAL(
        std::string("/kv-range?pathPrefix=my/&after=my/10.0.0.1%3A7%20x"),
        Page.Target);
    StoreTxn Txn;
    Txn.Compares = {{"my/leader", 0}};
    Txn.Puts = {{"my/leader", "node-1", 77120}};
    StoreHttpRequest Write = encodeCall(Txn);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"expected":[{"key":"my/leader","revision":0}],)"
                    R"("remove":[],"write":[{"key":"my/leader","lease":77120,)"
                    R"("value":"bm9kZS0x"}]})"),
        Write.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("/kv-keep/77120"),
                         encodeCall(StoreLeaseKeepAlive{77120}).Target);
  }

  void readsStoreReplies() {
    constexpr char Item[] = R"({"key":"my/leader","value":"bm9kZS0x",)"
                            R"("revision":412,"created":412,"lease":77120,)"
                            R"("at":530})";
    StoreRequest Read{.Id = 4, .Body = StoreRange{.Key = "my/leader"}};
    StoreReply Reply = decodeReply(Read, 200, Item, "store");
    CPPUNIT_ASSERT(Reply.Status.ok() && Reply.Id == 4);
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), Reply.Entries.at(0).Value);
    CPPUNIT_ASSERT(Reply.Entries[0].ModRevision == 412);
    // A key that is absent is an answer, a refused call is not.
    CPPUNIT_ASSERT(decodeReply(Read, 404, "", "store").Status.ok());
    CPPUNIT_ASSERT(
        absl::IsUnavailable(decodeReply(Read, 503, "", "store").Status));
    CPPUNIT_ASSERT(
        absl::IsUnavailable(decodeReply(Read, 429, "", "store").Status));
    StoreRequest Write{.Id = 5, .Body = StoreTxn{}};
    Reply = decodeReply(Write, 200, R"({"revision":412})", "store");
    CPPUNIT_ASSERT(Reply.Succeeded && Reply.Revision == 412);
    Reply = decodeReply(Write, 412, std::string(R"({"items":[)") + Item + "]}",
                        "store");
    CPPUNIT_ASSERT(Reply.Status.ok() && !Reply.Succeeded);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Reply.Entries.size());
    CPPUNIT_ASSERT(
        absl::IsNotFound(decodeReply(Write, 404, "", "store").Status));
    StoreRequest Keep{.Id = 6, .Body = StoreLeaseKeepAlive{77120}};
    CPPUNIT_ASSERT(
        decodeReply(Keep, 200, R"({"ttlMs":3000})", "store").TimeToLive ==
        std::chrono::seconds(3));
    Reply = decodeReply(Keep, 404, "", "store");
    CPPUNIT_ASSERT(Reply.Status.ok() && Reply.TimeToLive.count() == 0);
  }

  void readsWatches() {
    StoreWatchUpdate Update = decodeWatch(
        200,
        R"({"events":[{"key":"my/leader","value":"bm9kZS0x","revision":412,)"
        R"("created":412,"lease":77120},{"key":"my/old","revision":413,)"
        R"("tombstone":true}],"at":413})",
        "store");
    CPPUNIT_ASSERT(Update.Status.ok() && Update.Revision == 413);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Update.Changes.size());
    CPPUNIT_ASSERT(!Update.Changes[0].Deleted && Update.Changes[1].Deleted);
    CPPUNIT_ASSERT(absl::IsOutOfRange(decodeWatch(410, "", "store").Status));
    CPPUNIT_ASSERT(absl::IsUnavailable(decodeWatch(200, "{", "store").Status));
  }

  // Bytes of another writer must neither end the process nor pass as valid
  // numbers out of range. ORIOLEDOOR_FUZZ_ROUNDS raises the number by hand.
  void survivesMutations() {
    const char *Given = std::getenv("ORIOLEDOOR_FUZZ_ROUNDS");
    int Rounds = Given ? std::atoi(Given) : 4000;
    std::mt19937 Random(7);
    for (int Round = 0; Round < Rounds; ++Round) {
      std::string Text = Round % 2 == 0 ? Report : Config;
      for (int Change = 0; Change < 3; ++Change) {
        std::size_t At = Random() % Text.size();
        if (Random() % 3 == 0)
          Text.erase(At, Random() % 9);
        else
          Text[At] = static_cast<char>(Random());
        if (Text.empty())
          break;
      }
      auto Read = decodeReport(ReportPath, Text);
      if (Read.ok())
        for (const routing::HeldRange &Each : Read->Holds)
          CPPUNIT_ASSERT(Each.Keys.From <= Each.Keys.To &&
                         Each.Keys.To <= 65535);
      auto Table = decodeConfig(Text);
      if (Table.ok())
        for (const routing::Route &Each : Table->routes())
          CPPUNIT_ASSERT(!Each.Services.empty() && Each.Attempts >= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);

} // namespace
} // namespace orioledoor::platform
