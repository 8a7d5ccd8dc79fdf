// Guards the settings of a node on the users' platform: one error with file,
// line and field for anything that is wrong.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "orioledoor/catalogue/sidecar_settings.h"

namespace orioledoor {
namespace {

std::string readFile(const std::string &Name) {
  std::ifstream In(Name);
  return {std::istreambuf_iterator<char>(In), {}};
}

class SidecarSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SidecarSettingsTest);
  CPPUNIT_TEST(readsTheExample);
  CPPUNIT_TEST(namesTheFault);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsTheExample() {
    std::string Text = readFile("examples/licence-desk/sidecar.yaml");
    CPPUNIT_ASSERT(isSidecarDocument(Text));
    auto Read = parseSidecarSettings(Text, "sidecar.yaml");
    CPPUNIT_ASSERT_MESSAGE(std::string(Read.status().message()), Read.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("santander"), Read->FailureDomain);
    CPPUNIT_ASSERT(Read->Store.Port == 8309);
    CPPUNIT_ASSERT(Read->StopGrace == std::chrono::seconds(6));
    CPPUNIT_ASSERT(Read->RetryExtra == 62);
    CPPUNIT_ASSERT(
        !isSidecarDocument(readFile("examples/licence-desk/settings.yaml")));
  }

  void namesTheFault() {
    std::string Good = readFile("examples/licence-desk/sidecar.yaml");
    const std::vector<std::pair<std::string, std::string>> Changes = {
        {"  store: \"10.200.1.7:8309\"\n", ""},
        {"10.1.0.8:8304", "10.1.0.8"},
        {"10.1.0.8:8306", "10.1.0.8:8304"},
        {"drain_ms: 2000", "drain_ms: soon"},
        {"drain_ms: 2000", "drain_ms: 0"},
        {"retry_ratio: 0.2", "retry_ratio: -1"},
        {"  retry_extra", "  retry_extras"},
        {"region: \"cantabrico\"", "region: \"\""}};
    for (const auto &[From, To] : Changes) {
      std::string Text = Good;
      std::size_t At = Text.find(From);
      CPPUNIT_ASSERT_MESSAGE(From, At != std::string::npos);
      Text.replace(At, From.size(), To);
      auto Read = parseSidecarSettings(Text, "sidecar.yaml");
      CPPUNIT_ASSERT_MESSAGE(To, !Read.ok());
      CPPUNIT_ASSERT_MESSAGE(std::string(Read.status().message()),
                             Read.status().message().find("sidecar.yaml:") ==
                                 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarSettingsTest);

} // namespace
} // namespace orioledoor
