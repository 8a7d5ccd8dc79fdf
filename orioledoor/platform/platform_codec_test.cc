// Tests the codecs of the messages of the platform: the examples in its
// documentation are decoded correctly, and malformed messages are rejected as a
// whole instead of being used in part.
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

std::string replaceText(std::string Text, std::string_view OldText,
                        std::string_view NewText) {
  std::size_t Offset = Text.find(OldText);
  CPPUNIT_ASSERT_MESSAGE(std::string(OldText), Offset != std::string::npos);
  return Text.replace(Offset, OldText.size(), NewText);
}

class PlatformCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformCodecTest);
  CPPUNIT_TEST(decodesReport);
  CPPUNIT_TEST(rejectsMalformedReports);
  CPPUNIT_TEST(encodesReportAnswer);
  CPPUNIT_TEST(decodesConfig);
  CPPUNIT_TEST(nullFieldsHaveDefaults);
  CPPUNIT_TEST(rejectsInvalidConfigs);
  CPPUNIT_TEST(decodesRequestHeaders);
  CPPUNIT_TEST(encodesTargetHeaders);
  CPPUNIT_TEST(decodesSignalsOfTargets);
  CPPUNIT_TEST(encodesStoreCalls);
  CPPUNIT_TEST(decodesStoreReplies);
  CPPUNIT_TEST(decodesWatchResponses);
  CPPUNIT_TEST(toleratesMutatedInput);
  CPPUNIT_TEST_SUITE_END();

public:
  void decodesReport() {
    auto Decoded = decodeReport(ReportPath, Report);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), Decoded->Instance);
    CPPUNIT_ASSERT_EQUAL(std::string("huvo11a"), Decoded->Service);
    CPPUNIT_ASSERT_EQUAL(std::string("skane-a"), Decoded->FailureDomain);
    CPPUNIT_ASSERT_EQUAL(13U, Decoded->Slots);
    CPPUNIT_ASSERT(!Decoded->Draining);
    CPPUNIT_ASSERT(Decoded->ColdRemaining == milliseconds(120));
    CPPUNIT_ASSERT(Decoded->StartTimeMs == 1783274112000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Decoded->Holds.size());
    CPPUNIT_ASSERT(Decoded->Holds[0].Keys == (routing::KeyRange{0, 4095}));
    CPPUNIT_ASSERT(Decoded->Holds[0].Fence == 7);
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8"),
                         Decoded->Released.at(0).Handover);
  }

  void rejectsMalformedReports() {
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
    for (const auto &[OldText, NewText] : Changes)
      CPPUNIT_ASSERT_MESSAGE(
          NewText,
          !decodeReport(ReportPath, replaceText(Report, OldText, NewText))
               .ok());
    CPPUNIT_ASSERT(!decodeReport(ReportPath, "\x81\xA1").ok());
    CPPUNIT_ASSERT(!decodeReport("/Instances.Heartbeat/", Report).ok());
    CPPUNIT_ASSERT(!decodeReport("/health", Report).ok());
    // Guards against a process that ends, since the id of a target goes into
    // JSON documents, which must be valid UTF-8.
    for (const std::string &Id : {std::string("i-\xff"), std::string("i 1"),
                                  std::string("i-\n"), std::string(500, 'i')})
      CPPUNIT_ASSERT_MESSAGE(
          Id, !decodeReport("/Instances.Heartbeat/" + Id, Report).ok());
    CPPUNIT_ASSERT(!decodeReport(ReportPath, std::string(400'000, '[')).ok());
    CPPUNIT_ASSERT(
        !decodeReport(ReportPath,
                      replaceText(Report, R"("slots":13)",
                                  R"("slots":123456789012345678901234567890)"))
             .ok());
  }

  void encodesReportAnswer() {
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), encodeReportAnswer({}));
    routing::ReportAnswer Answer;
    Answer.HoldTime = milliseconds(4000);
    Answer.Grants = {{{0, 4095}, 7, ""}, {{9000, 9999}, 12, "7a21"}};
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"holdMs":4000,"holds":[[0,4095,7,""],[9000,9999,12,"7a21"]]})"),
        encodeReportAnswer(Answer));
    // An empty list tells the target to release all keys; it differs from an
    // absent list.
    Answer.Grants.clear();
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"holdMs":4000,"holds":[]})"),
                         encodeReportAnswer(Answer));
  }

  void decodesConfig() {
    auto Decoded = decodeConfig(Config);
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT(Decoded->Version == 12);
    CPPUNIT_ASSERT(Decoded->service("huvo11a")->Partitioned);
    CPPUNIT_ASSERT(!Decoded->service("kafi81c")->Partitioned);
    const routing::Route *Safe = Decoded->find("jepu9.example", "/lepu270/2f");
    CPPUNIT_ASSERT(Safe && Safe->Idempotent && Safe->Services.size() == 2);
    CPPUNIT_ASSERT(Safe->Timeout == milliseconds(1200));
    const routing::Route *Upload =
        Decoded->find("JEPU9.example:80", "/lepu270/up/x?y=/");
    CPPUNIT_ASSERT(Upload && !Upload->Idempotent && Upload->Attempts == 1);
    CPPUNIT_ASSERT(Upload->Timeout == milliseconds(0));
    CPPUNIT_ASSERT(!Decoded->find("jepu9.example", "/lepu27/2f"));
    CPPUNIT_ASSERT(!Decoded->find("other.example", "/lepu270/2f"));
  }

  // Guards against rejecting a whole configuration because an optional field is
  // null.
  void nullFieldsHaveDefaults() {
    for (const auto &[OldText, NewText] :
         std::vector<std::pair<std::string, std::string>>{
             {R"("attempts":2})", R"("attempts":null})"},
             {R"("priority":2)", R"("priority":null)"},
             {R"("healthPath":"/health")", R"("healthPath":null)"}})
      CPPUNIT_ASSERT_MESSAGE(
          NewText, decodeConfig(replaceText(Config, OldText, NewText)).ok());
  }

  void rejectsInvalidConfigs() {
    const std::vector<std::pair<std::string, std::string>> Changes = {
        {R"("version":"0000000c")", R"("version":"")"},
        {R"("version":"0000000c")", R"("version":"0000000g")"},
        {R"("version":"0000000c")", R"("version":12)"},
        {R"("service":"kafi81c")", R"("service":"nobody")"},
        {R"("pathPrefix":"/lepu270/up/")", R"("pathPrefix":"lepu270")"},
        {R"("kind":"safe")", R"("kind":1)"},
        {R"("weight":90)", R"("weight":"much")"},
        {R"("virtualHosts")", R"("hosts")"}};
    for (const auto &[OldText, NewText] : Changes)
      CPPUNIT_ASSERT_MESSAGE(
          NewText, !decodeConfig(replaceText(Config, OldText, NewText)).ok());
    CPPUNIT_ASSERT(!decodeConfig(std::string(Config).substr(0, 300)).ok());
  }

  void decodesRequestHeaders() {
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
    // Headers that the router sets itself are not taken from callers.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Request.Content->Headers.size());
    Incoming.Headers = {{"Deadline-Remaining", "soon"}, {"Shard-Key", "65536"}};
    Request = decodeCallerRequest(3, Incoming);
    CPPUNIT_ASSERT(!Request.TimeLeft);
    CPPUNIT_ASSERT(Request.Key == routing::NoKey);
  }

  void encodesTargetHeaders() {
    routing::StartCall TargetCall;
    TargetCall.Instance = "i-1";
    TargetCall.AttemptId = "9c41";
    TargetCall.CallerService = "kafi81c";
    TargetCall.TimeLeft = std::chrono::microseconds(900'900);
    auto Content = std::make_shared<routing::RequestContent>();
    Content->Headers = {{"X-Other", "kept"}};
    TargetCall.Content = Content;
    wire::HttpCall Call = encodeTargetCall(TargetCall);
    auto HasHeader = [&Call](std::string_view Name, std::string_view Value) {
      return std::ranges::any_of(Call.Headers, [&](const auto &Field) {
        return Field.Name == Name && Field.Value == Value;
      });
    };
    CPPUNIT_ASSERT(HasHeader("Expected-Instance", "i-1"));
    CPPUNIT_ASSERT(HasHeader("Attempt-Id", "9c41"));
    CPPUNIT_ASSERT(HasHeader("Deadline-Remaining", "900"));
    CPPUNIT_ASSERT(HasHeader("Caller-Service", "kafi81c"));
    CPPUNIT_ASSERT(HasHeader("X-Other", "kept"));
    CPPUNIT_ASSERT(isNotExecuted({503, {{"not-executed", "1"}}, ""}));
    CPPUNIT_ASSERT(!isNotExecuted({503, {}, ""}));
    CPPUNIT_ASSERT(!isNotExecuted({200, {{"Not-Executed", "1"}}, ""}));
  }

  // A misread limit would stop a healthy target or overload one in need.
  void decodesSignalsOfTargets() {
    auto Limited = decodeTargetSignals(
        {200, {{"server-limit", "58.25"}, {"Server-Leaving", "1"}}, ""});
    CPPUNIT_ASSERT(Limited->Leaving);
    CPPUNIT_ASSERT_EQUAL(58.25, Limited->RateLimit.value());
    CPPUNIT_ASSERT_EQUAL(0.0,
                         decodeTargetSignals({503, {{"Server-Limit", "0"}}, ""})
                             ->RateLimit.value());
    auto Plain = decodeTargetSignals({200, {{"Server-Leaving", "0"}}, ""});
    CPPUNIT_ASSERT(!Plain->Leaving && !Plain->RateLimit);
    CPPUNIT_ASSERT(!Plain->RateLimitUnreadable);
    for (const char *Text :
         {"", "-1", "nan", "inf", "1e3", "5/s", "0x10", "5,5", "1 2"}) {
      auto Unreadable =
          decodeTargetSignals({200, {{"Server-Limit", Text}}, ""});
      CPPUNIT_ASSERT_MESSAGE(Text, Unreadable->RateLimitUnreadable);
      CPPUNIT_ASSERT_MESSAGE(Text, !Unreadable->RateLimit);
    }
    auto Load =
        decodeTargetSignals({200, {{"Server-Load", "7, 2,12,300"}}, ""})->Load;
    CPPUNIT_ASSERT(Load.value().Running == 7 && Load->Waiting == 2 &&
                   Load->Slots == 12 && Load->SlowdownPercent == 300);
    CPPUNIT_ASSERT_EQUAL(
        0U, decodeTargetSignals({200, {{"Server-Load", "0,0,12"}}, ""})
                ->Load.value()
                .SlowdownPercent);
    CPPUNIT_ASSERT(!Plain->Load && !Plain->LoadUnreadable);
    // An absurd slowdown would divert all requests from the target.
    for (const char *Text :
         {"", "7,2", "7,2,12,", "7,2,12,100,1", "7,2,0,100", "7,2,12,0",
          "7,2,12,10001", "-7,2,12,100", "7,2,12,nan", "7,2,12,1e2", "7;2;12",
          "99999999999,2,12,100", "7,2,12,100 x"}) {
      auto Unreadable = decodeTargetSignals({200, {{"Server-Load", Text}}, ""});
      CPPUNIT_ASSERT_MESSAGE(Text,
                             Unreadable->LoadUnreadable && !Unreadable->Load);
    }
    // Another instance may have answered.
    CPPUNIT_ASSERT(!decodeTargetSignals({421, {{"Server-Limit", "5"}}, ""}));
  }

  void encodesStoreCalls() {
    StoreHttpRequest ReadRequest = encodeCall(StoreRange{.Key = "op/config"});
    CPPUNIT_ASSERT_EQUAL(std::string("GET"), ReadRequest.Method);
    CPPUNIT_ASSERT_EQUAL(std::string("/kv-key?key=op/config"),
                         ReadRequest.Target);
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

  void decodesStoreReplies() {
    constexpr char Item[] = R"({"key":"my/leader","value":"bm9kZS0x",)"
                            R"("revision":412,"created":412,"lease":77120,)"
                            R"("at":530})";
    StoreRequest ReadRequest{.Id = 4, .Body = StoreRange{.Key = "my/leader"}};
    StoreReply Reply = decodeReply(ReadRequest, 200, Item, "store");
    CPPUNIT_ASSERT(Reply.Status.ok() && Reply.Id == 4);
    CPPUNIT_ASSERT_EQUAL(std::string("node-1"), Reply.Entries.at(0).Value);
    CPPUNIT_ASSERT(Reply.Entries[0].ModRevision == 412);
    // A missing key is a valid reply; a rejected call is an error.
    CPPUNIT_ASSERT(decodeReply(ReadRequest, 404, "", "store").Status.ok());
    CPPUNIT_ASSERT(
        absl::IsUnavailable(decodeReply(ReadRequest, 503, "", "store").Status));
    CPPUNIT_ASSERT(
        absl::IsUnavailable(decodeReply(ReadRequest, 429, "", "store").Status));
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

  void decodesWatchResponses() {
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

  // Malformed input must neither crash the process nor be accepted with numbers
  // out of range. ORIOLEDOOR_FUZZ_ROUNDS raises the number of rounds for manual
  // runs.
  void toleratesMutatedInput() {
    const char *RoundsVariable = std::getenv("ORIOLEDOOR_FUZZ_ROUNDS");
    int Rounds = RoundsVariable ? std::atoi(RoundsVariable) : 4000;
    std::mt19937 Random(7);
    for (int Round = 0; Round < Rounds; ++Round) {
      std::string Text = Round % 2 == 0 ? Report : Config;
      for (int Change = 0; Change < 3; ++Change) {
        std::size_t Offset = Random() % Text.size();
        if (Random() % 3 == 0)
          Text.erase(Offset, Random() % 9);
        else
          Text[Offset] = static_cast<char>(Random());
        if (Text.empty())
          break;
      }
      auto Decoded = decodeReport(ReportPath, Text);
      if (Decoded.ok())
        for (const routing::HeldRange &Held : Decoded->Holds)
          CPPUNIT_ASSERT(Held.Keys.From <= Held.Keys.To &&
                         Held.Keys.To <= 65535);
      auto Table = decodeConfig(Text);
      if (Table.ok())
        for (const routing::Route &Entry : Table->routes())
          CPPUNIT_ASSERT(!Entry.Services.empty() && Entry.Attempts >= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);

} // namespace
} // namespace orioledoor::platform
