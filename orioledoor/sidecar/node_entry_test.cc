// Tests the decoding of node entries, of which some may come from writers that
// are not nodes.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "orioledoor/sidecar/membership.h"
#include "orioledoor/sidecar/node_entry.h"

namespace orioledoor::sidecar {
namespace {

using nlohmann::json;

constexpr char Node[] = "tcp://10.0.0.2:7100";
constexpr char Key[] = "oriole/nodes/10.0.0.2:7100";
constexpr int DeepNesting = 400'000;

NodeEntry makeEntry() {
  NodeEntry Entry;
  Entry.Node = Node;
  Entry.Process = 7;
  Entry.Place = {"d1", "r1"};
  Entry.Target = {"i-1", 5, Node};
  Entry.Service = "plain";
  Entry.State = routing::TargetState::Ready;
  Entry.Slots = 18;
  Entry.LinkBytesPerSecond = 1'375'000;
  Entry.Sequence = 3;
  return Entry;
}

// Returns the entry with one field replaced.
std::string withField(const char *Field, const json &Value) {
  json Document = json::parse(encodeNodeEntry(makeEntry()));
  Document[Field] = Value;
  return Document.dump();
}

std::string withText(const std::string &From, const std::string &To) {
  std::string Text = encodeNodeEntry(makeEntry());
  std::size_t At = Text.find(From);
  CPPUNIT_ASSERT(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

std::vector<std::string> oddEntries() {
  return {
      "",
      "[]",
      "null",
      std::string(DeepNesting, '['),
      std::string(DeepNesting, '[') + std::string(DeepNesting, ']'),
      withText("\"d1\"",
               std::string(DeepNesting, '[') + std::string(DeepNesting, ']')),
      withText("\"slots\":18", "\"slots\":1e400"),
      withText("\"slots\":18", "\"slots\":123456789012345678901234567890"),
      withField("slots", -1),
      withField("slots", 5'000'000'000),
      withField("slots", 1.5),
      withField("slots", "18"),
      withField("process", -1),
      withField("sequence", -1),
      withField("state", 99),
      withField("link_bytes_per_second", -1),
      withField("link_bytes_per_second", 1e18),
      withField("node", ""),
      withField("node", "10.0.0.2:7100"),
      withField("node", "tcp://10.0.0.2"),
      withField("node", "tcp://10.0.0.2:0"),
      withField("node", "tcp://10.0.0.2:70000"),
      withField("node", "tcp://10.0.0.2:-1"),
      withField("node", "tcp://host:7100"),
      withField("node", 7),
      withField("service", json::array()),
      withField("target", json::object()),
      withField("target", {"i-1", -5, Node}),
      withField("target", {"i-1", 5}),
      withField("ended", "i-1"),
  };
}

class NodeEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeEntryTest);
  CPPUNIT_TEST(decodesWhatNodesWrite);
  CPPUNIT_TEST(rejectsOddEntries);
  CPPUNIT_TEST(oddEntriesLeaveTheMembersAsTheyAre);
  CPPUNIT_TEST_SUITE_END();

public:
  void decodesWhatNodesWrite() {
    NodeEntry Entry = makeEntry();
    absl::StatusOr<NodeEntry> Decoded = decodeNodeEntry(encodeNodeEntry(Entry));
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(Entry.Node, Decoded->Node);
    CPPUNIT_ASSERT_EQUAL(Entry.Slots, Decoded->Slots);
    CPPUNIT_ASSERT(Entry.Target == Decoded->Target);
    // A node has no target until the first report.
    Entry.Target = {};
    CPPUNIT_ASSERT(decodeNodeEntry(encodeNodeEntry(Entry)).ok());
  }

  // Guards against processes that end, or that use an address that is none,
  // since another writer left an odd entry among those of the nodes.
  void rejectsOddEntries() {
    for (const std::string &Text : oddEntries())
      CPPUNIT_ASSERT_MESSAGE(Text.substr(0, 300), !decodeNodeEntry(Text).ok());
  }

  // Guards against nodes that stop following the entries behind an odd one, and
  // against a planner that does not exist: the node of the lowest key plans.
  void oddEntriesLeaveTheMembersAsTheyAre() {
    NodeEntry Self = makeEntry();
    Membership Members(Self, {});
    Instant Now{std::int64_t{1'000'000}};
    MembershipOutput Out;
    Members.start(Now, Out);
    auto Answer = [&](StoreReply Reply) {
      CPPUNIT_ASSERT(!Out.Calls.empty());
      Reply.Id = Out.Calls.back().Id;
      Out = {};
      Members.onStoreReply(Reply, Now, Out);
    };
    Answer({.Lease = 5, .TimeToLive = std::chrono::seconds(3)});
    Answer({.Succeeded = true, .Revision = 10});
    StoreReply Read{.Revision = 20};
    std::int64_t Revision = 11;
    for (const std::string &Text : oddEntries())
      Read.Entries.push_back(
          {.Key = "oriole/nodes/!" + std::to_string(Revision),
           .Value = Text,
           .ModRevision = ++Revision});
    // Well-formed, under the key of another node.
    Read.Entries.push_back({.Key = "oriole/nodes/!",
                            .Value = encodeNodeEntry(Self),
                            .ModRevision = ++Revision});
    Read.Entries.push_back(
        {.Key = Key, .Value = encodeNodeEntry(Self), .ModRevision = 10});
    Answer(Read);
    CPPUNIT_ASSERT(Members.isLoaded());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Members.nodes().size());
    CPPUNIT_ASSERT_EQUAL(std::string(Key), Members.nodes().begin()->first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeEntryTest);

} // namespace
} // namespace orioledoor::sidecar
