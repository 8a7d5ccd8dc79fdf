// Tests that valid catalogues and settings are read in full, and that invalid
// YAML is rejected with an error that names the line and the field.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <string>

#include "absl/strings/str_replace.h"
#include "orioledoor/base/error.h"
#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/catalogue/settings.h"

namespace orioledoor {
namespace {

constexpr char ValidCatalogue[] = R"(deployment: desk
services:
  - name: consulta
    owner: office
    class: critical
    divided_by_key: true
    slices: 4096
    limits:
      requests_per_second: 2.5
      max_body: 2MiB
      max_timeout: 500ms
      spend_per_day: 10
      retry_ratio: 0.2
      max_tries: 4
    idempotent_methods: [PUT]
  - name: registro
    owner: office
    class: batch
    divided_by_key: false
regions:
  ebro: {state: active}
  norte: {state: lost}
weights: {imbalance: 1, churn: 2, unavailable: 0}
)";

constexpr char ValidSettings[] = R"(node_name: ebro-1
region: ebro
failure_domain: ebro-a
http: 127.0.0.1:23001
peer: "[::1]:23002"
store: 127.0.0.1:23003
seeds: [127.0.0.1:23004]
log_level: warn
)";

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  CPPUNIT_ASSERT_MESSAGE(Path, In.good());
  return {std::istreambuf_iterator<char>(In), {}};
}

std::string replaceIn(const std::string &Text, const std::string &From,
                      const std::string &To) {
  CPPUNIT_ASSERT_MESSAGE(From, Text.find(From) != std::string::npos);
  return absl::StrReplaceAll(Text, {{From, To}});
}

void assertInvalid(const absl::Status &Status, const std::string &ErrorPrefix) {
  std::string Message(Status.message());
  CPPUNIT_ASSERT_MESSAGE(Message,
                         Status.code() == absl::StatusCode::kInvalidArgument);
  CPPUNIT_ASSERT_EQUAL(ErrorPrefix, Message.substr(0, ErrorPrefix.size()));
}

class ParseCatalogueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParseCatalogueTest);
  CPPUNIT_TEST(readsAllFields);
  CPPUNIT_TEST(rejectsInvalidStructure);
  CPPUNIT_TEST(rejectsInvalidValues);
  CPPUNIT_TEST(rejectsContradictions);
  CPPUNIT_TEST(rejectsInvalidDocuments);
  CPPUNIT_TEST(readsSettings);
  CPPUNIT_TEST(rejectsInvalidSettings);
  CPPUNIT_TEST(readsExamples);
  CPPUNIT_TEST_SUITE_END();

  // Replaces From by To in the valid catalogue and expects an error that starts
  // with ErrorPrefix.
  static void checkCatalogueError(const std::string &From,
                                  const std::string &To,
                                  const std::string &ErrorPrefix) {
    assertInvalid(
        parseCatalogue(replaceIn(ValidCatalogue, From, To), "c.yaml").status(),
        ErrorPrefix);
  }

  static void checkSettingsError(const std::string &From, const std::string &To,
                                 const std::string &ErrorPrefix) {
    assertInvalid(
        parseSettings(replaceIn(ValidSettings, From, To), "s.yaml").status(),
        ErrorPrefix);
  }

public:
  void readsAllFields() {
    auto Parsed = parseCatalogue(ValidCatalogue, "c.yaml");
    CPPUNIT_ASSERT_MESSAGE(Parsed.status().ToString(), Parsed.ok());
    const ServiceEntry &First = Parsed->Services.at(0);
    CPPUNIT_ASSERT(First.Class == ServiceClass::Critical && First.DividedByKey);
    CPPUNIT_ASSERT_EQUAL(2.5, First.Limits.RequestsPerSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2} << 20, First.Limits.MaxBodyBytes);
    CPPUNIT_ASSERT(First.Limits.MaxTimeout == std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, First.Limits.SpendPerDay);
    CPPUNIT_ASSERT_EQUAL(0.2, First.Limits.RetryRatio);
    CPPUNIT_ASSERT_EQUAL(4U, First.Limits.MaxTries);
    CPPUNIT_ASSERT((First.IdempotentMethods ==
                    std::vector<std::string>{"GET", "HEAD", "PUT"}));
    const ServiceEntry *Second = Parsed->find("registro");
    CPPUNIT_ASSERT(Second && Second->Id == serviceIdOf("registro"));
    CPPUNIT_ASSERT(Second->Class == ServiceClass::Batch &&
                   !Second->DividedByKey && Second->Slices == 4096);
    CPPUNIT_ASSERT(Parsed->Regions.at(1).State == RegionState::Lost);
    CPPUNIT_ASSERT_EQUAL(2.0, Parsed->Weights.Churn);
  }

  void rejectsInvalidStructure() {
    checkCatalogueError(
        "class: critical", "clas: critical",
        "c.yaml:5: services[0]: unknown field \"clas\"; expected one of "
        "name, owner, class");
    checkCatalogueError("    owner: office\n    class: critical",
                        "    class: critical",
                        "c.yaml:3: services[0]: field \"owner\" is missing");
    checkCatalogueError("weights: {imbalance: 1, churn: 2,",
                        "weights: {imbalance: 1,",
                        "c.yaml:23: weights: field \"churn\" is missing");
    checkCatalogueError(
        "deployment: desk", "deployment: desk\ndeployment: desk",
        "c.yaml:2: duplicate field \"deployment\"; expected it only once, it "
        "is also on line 1");
    checkCatalogueError(
        "norte:", "ebro:", "c.yaml:22: regions: duplicate field \"ebro\"");
    checkCatalogueError(
        "name: registro", "name: consulta",
        "c.yaml:16: services[1]: duplicate service \"consulta\"");
    checkCatalogueError(
        "[PUT]", "[PUT, PUT]",
        "c.yaml:15: services[0].idempotent_methods[1]: duplicate method");
    checkCatalogueError("[PUT]", "PUT",
                        "c.yaml:15: services[0].idempotent_methods: found "
                        "\"PUT\"; expected a list");
    checkCatalogueError(
        "{state: lost}", "lost",
        "c.yaml:22: regions.norte: found \"lost\"; expected a mapping with "
        "the fields state");
    checkCatalogueError("owner: office\n    class: c", "owner:\n    class: c",
                        "c.yaml:4: services[0].owner: has no value");
  }

  void rejectsInvalidValues() {
    checkCatalogueError("2MiB", "2MB",
                        "c.yaml:10: services[0].limits.max_body: found "
                        "\"2MB\"; expected a whole number with one of the "
                        "units B, KiB, MiB, GiB such as 1MiB");
    checkCatalogueError("2MiB", "2", "c.yaml:10: services[0].limits.max_body");
    checkCatalogueError("2MiB", "99GiB",
                        "c.yaml:10: services[0].limits.max_body");
    checkCatalogueError("2MiB", "99999999999999999999GiB", "c.yaml:10: ");
    checkCatalogueError("500ms", "500",
                        "c.yaml:11: services[0].limits.max_timeout: found "
                        "\"500\"; expected a whole number with one of the "
                        "units ms, s, m");
    checkCatalogueError("500ms", "0s",
                        "c.yaml:11: services[0].limits.max_timeout");
    checkCatalogueError("500ms", "11m",
                        "c.yaml:11: services[0].limits.max_timeout");
    checkCatalogueError("2.5", "2.5/s",
                        "c.yaml:9: services[0].limits.requests_per_second: "
                        "found \"2.5/s\"; expected a number without unit");
    checkCatalogueError("2.5", "0",
                        "c.yaml:9: services[0].limits.requests_per_second: "
                        "found 0; expected a number above 0; omit");
    checkCatalogueError("2.5", "nan",
                        "c.yaml:9: services[0].limits.requests_per_second");
    checkCatalogueError("2.5", "-1",
                        "c.yaml:9: services[0].limits.requests_per_second");
    checkCatalogueError("per_day: 10", "per_day: 1.5",
                        "c.yaml:12: services[0].limits.spend_per_day");
    checkCatalogueError("0.2", "20%",
                        "c.yaml:13: services[0].limits.retry_ratio");
    checkCatalogueError("max_tries: 4", "max_tries: 0",
                        "c.yaml:14: services[0].limits.max_tries");
    checkCatalogueError("4096", "4095",
                        "c.yaml:7: services[0].slices: found 4095; expected "
                        "a power of two");
    checkCatalogueError(
        "key: true", "key: \"true\"",
        "c.yaml:6: services[0].divided_by_key: found the text \"true\"; "
        "expected true or false without quotes");
    checkCatalogueError("key: true", "key: yes",
                        "c.yaml:6: services[0].divided_by_key");
    checkCatalogueError("critical", "urgent",
                        "c.yaml:5: services[0].class: found "
                        "\"urgent\"; expected one of critical, "
                        "standard, batch");
    checkCatalogueError(
        "[PUT]", "[put]",
        "c.yaml:15: services[0].idempotent_methods[0]: found \"put\"");
    checkCatalogueError("state: lost", "state: down",
                        "c.yaml:22: regions.norte.state");
    checkCatalogueError("norte", "Norte",
                        "c.yaml:22: regions: found \"Norte\"; expected a "
                        "name of lower-case letters");
    checkCatalogueError("name: consulta", "name: con/sulta",
                        "c.yaml:3: services[0].name");
    checkCatalogueError(
        "name: consulta", "name: oriole",
        "c.yaml:3: services[0].name: the name \"oriole\" is reserved");
  }

  void rejectsContradictions() {
    checkCatalogueError(
        "max_tries: 4", "max_tries: 1",
        "c.yaml:14: services[0].limits.max_tries: contradicts retry_ratio "
        "0.2 with max_tries 1");
    checkCatalogueError("state: active", "state: lost",
                        "c.yaml:21: regions: every region is declared lost");
    checkCatalogueError("imbalance: 1, churn: 2", "imbalance: 0, churn: 0",
                        "c.yaml:23: weights: all weights are 0");
    checkCatalogueError(
        "slices: 4096", "slices: 65536",
        "c.yaml:16: services[1]: the services up to this one have 69632 "
        "slices together; expected at most 65536");
  }

  void rejectsInvalidDocuments() {
    auto Parse = [](const std::string &Text) {
      return parseCatalogue(Text, "c.yaml").status();
    };
    assertInvalid(Parse(""), "c.yaml:1: the file is empty");
    assertInvalid(Parse("a: [1"), "c.yaml:1: ");
    assertInvalid(Parse("- a"), "c.yaml:1: found a list; expected a mapping");
    // A second document must not be ignored silently.
    assertInvalid(Parse(std::string(ValidCatalogue) + "---\nweights: {}\n"),
                  "c.yaml:25: a second YAML document begins");
    assertInvalid(Parse("a: 1\nb: \"\xff\""), "c.yaml:2: found a byte that is "
                                              "not UTF-8");
    assertInvalid(Parse(std::string(300'000, '#')), "c.yaml:1: the file has");
    // Deep nesting must not overflow the stack of the parser.
    assertInvalid(Parse(std::string(200'000, '[')), "c.yaml:1: ");
    assertInvalid(Parse(std::string(200'000, '{')), "c.yaml:1: ");
  }

  void readsSettings() {
    auto Parsed = parseSettings(ValidSettings, "s.yaml");
    CPPUNIT_ASSERT_MESSAGE(Parsed.status().ToString(), Parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("ebro-1"), Parsed->NodeName);
    CPPUNIT_ASSERT_EQUAL(std::string("::1"), Parsed->Peer.Host);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{23002}, Parsed->Peer.Port);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Parsed->Seeds.size());
    CPPUNIT_ASSERT_EQUAL(std::string("warn"), Parsed->LogLevel);
  }

  void rejectsInvalidSettings() {
    checkSettingsError("log_level", "loglevel", "s.yaml:8: unknown field");
    checkSettingsError("region: ebro\n", "",
                       "s.yaml:1: field \"region\" is missing");
    checkSettingsError(
        "127.0.0.1:23001", "localhost:23001",
        "s.yaml:4: http: found \"localhost:23001\"; expected IP:PORT");
    checkSettingsError("127.0.0.1:23001", "127.0.0.1", "s.yaml:4: http");
    checkSettingsError("127.0.0.1:23001", "127.0.0.1:70000", "s.yaml:4: http");
    checkSettingsError("127.0.0.1:23001", "0.0.0.0:23001", "s.yaml:4: http");
    checkSettingsError("127.0.0.1:23003", "127.0.0.1:23001",
                       "s.yaml:6: store: same address as a listener");
    checkSettingsError("127.0.0.1:23001", "\"[::1]:23002\"",
                       "s.yaml:5: peer: same address as \"http\"");
    checkSettingsError("[127.0.0.1:23004]",
                       "[127.0.0.1:23004, 127.0.0.1:23004]",
                       "s.yaml:7: seeds[1]: duplicate seed");
    checkSettingsError("warn", "loud", "s.yaml:8: log_level: found \"loud\"");
  }

  // The examples must stay valid. Their largest weight must be the one that the
  // requirements of the deployment put first: unavailability for licence-desk,
  // churn for cooperatives.
  void readsExamples() {
    auto Parse = [](const std::string &Directory) {
      std::string Path = "examples/" + Directory + "/";
      auto Settings = parseSettings(readFile(Path + "settings.yaml"), Path);
      CPPUNIT_ASSERT_MESSAGE(Settings.status().ToString(), Settings.ok());
      auto Parsed = parseCatalogue(readFile(Path + "catalogue.yaml"), Path);
      CPPUNIT_ASSERT_MESSAGE(Parsed.status().ToString(), Parsed.ok());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Parsed->Services.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Parsed->Regions.size());
      return *Parsed;
    };
    PlacementWeights Desk = Parse("licence-desk").Weights;
    CPPUNIT_ASSERT(Desk.Unavailable > std::max(Desk.Churn, Desk.Imbalance));
    Catalogue Cooperatives = Parse("cooperatives");
    PlacementWeights Weights = Cooperatives.Weights;
    CPPUNIT_ASSERT(Weights.Churn >
                   std::max(Weights.Unavailable, Weights.Imbalance));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{2}, Cooperatives.find("bokning")->IdempotentMethods.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParseCatalogueTest);

} // namespace
} // namespace orioledoor
