// Checks that docs/events.md documents every log event, so that operators can
// look each one up, and that event numbers are unique and in their package's
// range. The tests parse the source files rather than link the packages, so
// that new packages and events are covered without an entry in a list.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>
#include <vector>

namespace orioledoor {
namespace {

namespace fs = std::filesystem;

struct EventEntry {
  int Number = 0;
  std::string Level;
  std::string Name;
  std::string Description;

  friend auto operator<=>(const EventEntry &, const EventEntry &) = default;
};

std::string readFile(const fs::path &Path) {
  std::ifstream Stream(Path);
  CPPUNIT_ASSERT_MESSAGE(Path.string(), Stream.good());
  return {std::istreambuf_iterator<char>(Stream), {}};
}

std::vector<std::smatch> findMatches(const std::string &Text,
                                     const std::regex &Pattern) {
  return {std::sregex_iterator(Text.begin(), Text.end(), Pattern), {}};
}

std::size_t countDefinitions(const std::string &Text) {
  static const std::regex Definition(R"((^|\n)[^/\n]*\bEventDefinition \w+\{)");
  return findMatches(Text, Definition).size();
}

std::vector<EventEntry> parseDefinitions(const std::string &Text) {
  static const std::regex Definition(
      R"re(EventDefinition \w+\{\s*(\d+),\s*Severity::(\w+),\s*"(\w+)",\s*((?:"[^"]*"\s*)+)\})re");
  static const std::regex Separator(R"("\s*")");
  std::vector<EventEntry> Events;
  for (const std::smatch &Match : findMatches(Text, Definition)) {
    std::string Level = Match[2];
    std::ranges::transform(Level, Level.begin(), [](unsigned char C) {
      return static_cast<char>(std::toupper(C));
    });
    // Joins adjacent string literals, as the compiler does.
    std::string Literal = std::regex_replace(Match[4].str(), Separator, "");
    std::string Description = Literal.substr(1, Literal.rfind('"') - 1);
    Events.push_back({std::stoi(Match[1]), Level, Match[3], Description});
  }
  return Events;
}

std::vector<EventEntry> parseDocumentedEvents() {
  static const std::regex Row(
      R"(\| (\d+) \| (\w+) \| (\w+) \| ([^|\n]+) \| ([^|\n]+) \|)");
  std::string Text = readFile("docs/events.md");
  std::vector<EventEntry> Events;
  for (const std::smatch &Match : findMatches(Text, Row))
    Events.push_back({std::stoi(Match[1]), Match[2], Match[3], Match[4]});
  return Events;
}

class EventsPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventsPageTest);
  CPPUNIT_TEST(pageListsEveryEvent);
  CPPUNIT_TEST(numbersAreUniqueAndInTheirPackagesRange);
  CPPUNIT_TEST(eventsAreDefinedInEventsHeaders);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<fs::path> sourceFiles() {
    std::vector<fs::path> Paths;
    for (const auto &Entry : fs::recursive_directory_iterator("orioledoor")) {
      std::string Extension = Entry.path().extension().string();
      if (Extension == ".h" || Extension == ".cc")
        Paths.push_back(Entry.path());
    }
    return Paths;
  }

public:
  void pageListsEveryEvent() {
    std::vector<EventEntry> Defined;
    for (const fs::path &Path : sourceFiles())
      if (Path.filename() == "events.h")
        std::ranges::copy(parseDefinitions(readFile(Path)),
                          std::back_inserter(Defined));
    std::vector<EventEntry> Listed = parseDocumentedEvents();
    std::ranges::sort(Defined);
    std::ranges::sort(Listed);
    CPPUNIT_ASSERT(!Defined.empty());
    for (const EventEntry &Event : Defined)
      CPPUNIT_ASSERT_MESSAGE("docs/events.md lacks or differs in " +
                                 std::to_string(Event.Number) + ' ' +
                                 Event.Name + ": " + Event.Description,
                             std::ranges::binary_search(Listed, Event));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("docs/events.md lists events that do not "
                                 "exist or lists one twice",
                                 Defined.size(), Listed.size());
  }

  void numbersAreUniqueAndInTheirPackagesRange() {
    const std::map<std::string, int> RangeOfPackage{
        {"ownership", 1}, {"requests", 2},  {"routing", 2},   {"wire", 3},
        {"daemon", 4},    {"sidecar", 4},   {"catalogue", 5}, {"store", 6},
        {"platform", 6},  {"oriolectl", 7}, {"standins", 8}};
    std::vector<int> Numbers;
    for (const fs::path &Path : sourceFiles()) {
      if (Path.filename() != "events.h")
        continue;
      int Expected = RangeOfPackage.at(Path.parent_path().filename().string());
      for (const EventEntry &Event : parseDefinitions(readFile(Path))) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Event.Name, Expected, Event.Number / 1000);
        Numbers.push_back(Event.Number);
      }
    }
    std::ranges::sort(Numbers);
    CPPUNIT_ASSERT_MESSAGE("two events have the same number",
                           std::ranges::adjacent_find(Numbers) ==
                               Numbers.end());
  }

  // A definition outside events.h, or in a form that parseDefinitions() cannot
  // parse, would not be compared with docs/events.md.
  void eventsAreDefinedInEventsHeaders() {
    for (const fs::path &Path : sourceFiles()) {
      std::string Text = readFile(Path);
      std::size_t Parsed =
          Path.filename() == "events.h" ? parseDefinitions(Text).size() : 0;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Path.string(), countDefinitions(Text),
                                   Parsed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsPageTest);

} // namespace
} // namespace orioledoor
