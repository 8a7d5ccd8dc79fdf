// Tests that announcements are parsed completely and that malformed ones are
// rejected with the name of the invalid field.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/daemon/announcement.h"

namespace orioledoor::daemon {
namespace {

class AnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementTest);
  CPPUNIT_TEST(parsesAllFields);
  CPPUNIT_TEST(errorNamesInvalidField);
  CPPUNIT_TEST_SUITE_END();

public:
  void parsesAllFields() {
    auto Parsed = decodeAnnouncement(
        R"({"service":"consulta","address":"127.0.0.1:9001","slots":20,)"
        R"("connections":130,"checks_fence":true,"state":"leaving"})");
    CPPUNIT_ASSERT(Parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("consulta"), Parsed->Service);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{9001}, Parsed->Address.Port);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, Parsed->Slots);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{130}, Parsed->Connections);
    CPPUNIT_ASSERT(Parsed->ChecksFence);
    CPPUNIT_ASSERT(Parsed->State == TargetState::Leaving);
  }

  // Guards against accepting an invalid value, which would admit a member that
  // cannot serve requests.
  void errorNamesInvalidField() {
    const std::pair<const char *, const char *> Cases[] = {
        {"", "JSON"},
        {"[1]", "JSON"},
        {R"({"service":7})", "service"},
        {R"({"service":"s","address":"host:1"})", "address"},
        {R"({"service":"s","address":"127.0.0.1:1","slots":0})", "slots"},
        {R"({"service":"s","address":"127.0.0.1:1","slots":-1})", "slots"},
        {R"({"service":"s","address":"127.0.0.1:1","slots":1,)"
         R"("connections":1.5})",
         "connections"},
        {R"({"service":"s","address":"127.0.0.1:1","slots":1,)"
         R"("connections":1,"checks_fence":1})",
         "checks_fence"},
        {R"({"service":"s","address":"127.0.0.1:1","slots":1,)"
         R"("connections":1,"state":"gone"})",
         "state"},
    };
    for (const auto &[Json, Field] : Cases) {
      auto Parsed = decodeAnnouncement(Json);
      CPPUNIT_ASSERT_MESSAGE(Json, !Parsed.ok());
      CPPUNIT_ASSERT_MESSAGE(
          Json, std::string(Parsed.status().message()).find(Field) !=
                    std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementTest);

} // namespace
} // namespace orioledoor::daemon
