// Guards the reading of announcements against anything a target may send.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/daemon/announcement.h"

namespace orioledoor::daemon {
namespace {

class AnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementTest);
  CPPUNIT_TEST(readsAllFields);
  CPPUNIT_TEST(namesTheFaultyField);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsAllFields() {
    auto Read = decodeAnnouncement(
        R"({"service":"consulta","address":"127.0.0.1:9001","slots":20,)"
        R"("connections":130,"checks_fence":true,"state":"leaving"})");
    CPPUNIT_ASSERT(Read.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("consulta"), Read->Service);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{9001}, Read->Address.Port);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, Read->Slots);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{130}, Read->Connections);
    CPPUNIT_ASSERT(Read->ChecksFence);
    CPPUNIT_ASSERT(Read->State == TargetState::Leaving);
  }

  // A wrong value that passed would admit a member that cannot serve.
  void namesTheFaultyField() {
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
      auto Read = decodeAnnouncement(Json);
      CPPUNIT_ASSERT_MESSAGE(Json, !Read.ok());
      CPPUNIT_ASSERT_MESSAGE(Json,
                             std::string(Read.status().message()).find(Field) !=
                                 std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementTest);

} // namespace
} // namespace orioledoor::daemon
