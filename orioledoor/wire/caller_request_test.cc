// Tests the parsing of paths and headers of callers' requests.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/wire/caller_request.h"
#include "orioledoor/wire/http_server.h"

namespace orioledoor::wire {
namespace {

class CallerRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerRequestTest);
  CPPUNIT_TEST(parsesPathAndHeaders);
  CPPUNIT_TEST(encodingsOfOneKeyAreEqual);
  CPPUNIT_TEST(malformedPathsAreRejected);
  CPPUNIT_TEST(malformedNumbersAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  static absl::StatusOr<requests::CallerRequest>
  parse(std::string Target, std::vector<requests::Header> Headers = {}) {
    return parseCallerRequest({.Method = "POST",
                               .Target = std::move(Target),
                               .Headers = std::move(Headers),
                               .Body = "b",
                               .FirstByteAt = {},
                               .FromLoopback = true});
  }

  void parsesPathAndHeaders() {
    auto Parsed =
        parse("/rotaboard/key-1/slots?day=2", {{"idempotency-key", "op-7"},
                                               {"Oriole-Timeout-Ms", "1500"},
                                               {"Oriole-Attempt", "2"},
                                               {"Oriole-Age-Ms", "0"},
                                               {"X-Own", "kept"}});
    CPPUNIT_ASSERT(Parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("rotaboard"), Parsed->Request->Service);
    CPPUNIT_ASSERT_EQUAL(std::string("key-1"), Parsed->Request->Key);
    CPPUNIT_ASSERT_EQUAL(std::string("/slots?day=2"), Parsed->Request->Path);
    CPPUNIT_ASSERT_EQUAL(std::string("op-7"), Parsed->OperationId);
    CPPUNIT_ASSERT(Parsed->Timeout == std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, Parsed->Attempt);
    CPPUNIT_ASSERT(Parsed->Age == Duration(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Parsed->Request->Headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("/rotaboard/key-1/slots?day=2"),
                         requestTarget(*Parsed->Request));
  }

  // Guards against different encodings of a key that map to two slices, which
  // would give the key two owners.
  void encodingsOfOneKeyAreEqual() {
    auto Plain = parse("/s/a~b");
    auto Encoded = parse("/s/%61%7Eb?q");
    CPPUNIT_ASSERT(Plain.ok() && Encoded.ok());
    CPPUNIT_ASSERT_EQUAL(Plain->Request->Key, Encoded->Request->Key);
    auto Slash = parse("/s/a%2Fb/c");
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), Slash->Request->Key);
    CPPUNIT_ASSERT_EQUAL(std::string("/s/a%2Fb/c"),
                         requestTarget(*Slash->Request));
  }

  void malformedPathsAreRejected() {
    for (const char *Target : {"", "/", "/s", "/s/", "//k", "s/k", "/s?/k",
                               "/s/%zz", "/s/%0", "/s/%00", "/s//rest"})
      CPPUNIT_ASSERT_MESSAGE(Target, !parse(Target).ok());
  }

  void malformedNumbersAreRejected() {
    for (const char *Value : {"", "-1", "1.5", "99999999999999999999", "1 "})
      CPPUNIT_ASSERT_MESSAGE(
          Value, !parse("/s/k", {{"Oriole-Timeout-Ms", Value}}).ok());
    // A deadline that has passed must not be treated as the absence of a
    // deadline.
    CPPUNIT_ASSERT(absl::IsDeadlineExceeded(
        parse("/s/k", {{"Oriole-Timeout-Ms", "0"}}).status()));
    CPPUNIT_ASSERT(
        parse("/s/k", {{"Oriole-Timeout-Ms", "18446744073709551615"}})
            ->Timeout == std::chrono::hours(24));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerRequestTest);

} // namespace
} // namespace orioledoor::wire
