// Tests that the sidecar settings of the example are read, and that invalid
// settings are rejected with an error that names the file.
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
  CPPUNIT_TEST(rejectsInvalidSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsTheExample() {
    std::string Text = readFile("examples/licence-desk/sidecar.yaml");
    CPPUNIT_ASSERT(isSidecarDocument(Text));
    auto Parsed = parseSidecarSettings(Text, "sidecar.yaml");
    CPPUNIT_ASSERT_MESSAGE(std::string(Parsed.status().message()), Parsed.ok());
    CPPUNIT_ASSERT_EQUAL(std::string("santander"), Parsed->FailureDomain);
    CPPUNIT_ASSERT(Parsed->Store.Port == 8309);
    CPPUNIT_ASSERT(Parsed->StopGrace == std::chrono::seconds(6));
    CPPUNIT_ASSERT(Parsed->RetryExtra == 62);
    CPPUNIT_ASSERT(Parsed->MemoryMb == 260);
    CPPUNIT_ASSERT(Parsed->PeerListen == Parsed->Peer);
    auto Relayed = parseSidecarSettings(Text + "  peer_listen: 127.0.0.1:7\n",
                                        "sidecar.yaml");
    CPPUNIT_ASSERT(Relayed.ok() && Relayed->Peer == Parsed->Peer);
    CPPUNIT_ASSERT(Relayed->PeerListen == (Endpoint{"127.0.0.1", 7}));
    CPPUNIT_ASSERT(
        !isSidecarDocument(readFile("examples/licence-desk/settings.yaml")));
  }

  void rejectsInvalidSettings() {
    std::string Valid = readFile("examples/licence-desk/sidecar.yaml");
    const std::vector<std::pair<std::string, std::string>> InvalidEdits = {
        {"  store: \"10.200.1.7:8309\"\n", ""},
        {"10.1.0.8:8304", "10.1.0.8"},
        {"10.1.0.8:8306", "10.1.0.8:8304"},
        {"drain_ms: 2000", "drain_ms: soon"},
        {"drain_ms: 2000", "drain_ms: 0"},
        {"retry_ratio: 0.2", "retry_ratio: -1"},
        {"memory_mb: 260", "memory_mb: 0"},
        {"  retry_extra", "  retry_extras"},
        {"  retry_extra", "  peer_listen: \"10.1.0.8:7620\"\n  retry_extra"},
        {"region: \"cantabrico\"", "region: \"\""}};
    for (const auto &[From, To] : InvalidEdits) {
      std::string Text = Valid;
      std::size_t Position = Text.find(From);
      CPPUNIT_ASSERT_MESSAGE(From, Position != std::string::npos);
      Text.replace(Position, From.size(), To);
      auto Parsed = parseSidecarSettings(Text, "sidecar.yaml");
      CPPUNIT_ASSERT_MESSAGE(To, !Parsed.ok());
      CPPUNIT_ASSERT_MESSAGE(std::string(Parsed.status().message()),
                             Parsed.status().message().find("sidecar.yaml:") ==
                                 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarSettingsTest);

} // namespace
} // namespace orioledoor
