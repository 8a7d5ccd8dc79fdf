// Guards against log events that operators cannot look up: compares
// docs/events.md with the events.h of every package. Reads the sources, so that
// an event cannot be forgotten in a list and later packages need no link.
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

struct PageEvent {
  int Number = 0;
  std::string Level;
  std::string Name;
  std::string Meaning;

  friend auto operator<=>(const PageEvent &, const PageEvent &) = default;
};

std::string read(const fs::path &Path) {
  std::ifstream In(Path);
  CPPUNIT_ASSERT_MESSAGE(Path.string(), In.good());
  return {std::istreambuf_iterator<char>(In), {}};
}

std::vector<std::smatch> matches(const std::string &Text,
                                 const std::regex &Pattern) {
  return {std::sregex_iterator(Text.begin(), Text.end(), Pattern), {}};
}

std::size_t definitionsIn(const std::string &Text) {
  static const std::regex Definition(R"((^|\n)[^/\n]*\bEventDefinition \w+\{)");
  return matches(Text, Definition).size();
}

std::vector<PageEvent> eventsIn(const std::string &Text) {
  static const std::regex Definition(
      R"re(EventDefinition \w+\{\s*(\d+),\s*Severity::(\w+),\s*"(\w+)",\s*((?:"[^"]*"\s*)+)\})re");
  static const std::regex Separator(R"("\s*")");
  std::vector<PageEvent> Events;
  for (const std::smatch &Match : matches(Text, Definition)) {
    std::string Level = Match[2];
    std::ranges::transform(Level, Level.begin(), [](unsigned char C) {
      return static_cast<char>(std::toupper(C));
    });
    // Adjacent literals are one text.
    std::string Literal = std::regex_replace(Match[4].str(), Separator, "");
    std::string Meaning = Literal.substr(1, Literal.rfind('"') - 1);
    Events.push_back({std::stoi(Match[1]), Level, Match[3], Meaning});
  }
  return Events;
}

std::vector<PageEvent> eventsOnPage() {
  static const std::regex Row(
      R"(\| (\d+) \| (\w+) \| (\w+) \| ([^|\n]+) \| ([^|\n]+) \|)");
  std::string Text = read("docs/events.md");
  std::vector<PageEvent> Events;
  for (const std::smatch &Match : matches(Text, Row))
    Events.push_back({std::stoi(Match[1]), Match[2], Match[3], Match[4]});
  return Events;
}

class EventsPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventsPageTest);
  CPPUNIT_TEST(pageListsEveryEvent);
  CPPUNIT_TEST(numbersAreInTheRangeOfTheirPackage);
  CPPUNIT_TEST(eventsStandInEventsFiles);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<fs::path> sources() {
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
    std::vector<PageEvent> Defined;
    for (const fs::path &Path : sources())
      if (Path.filename() == "events.h")
        std::ranges::copy(eventsIn(read(Path)), std::back_inserter(Defined));
    std::vector<PageEvent> Listed = eventsOnPage();
    std::ranges::sort(Defined);
    std::ranges::sort(Listed);
    CPPUNIT_ASSERT(!Defined.empty());
    for (const PageEvent &Event : Defined)
      CPPUNIT_ASSERT_MESSAGE("docs/events.md lacks or differs in " +
                                 std::to_string(Event.Number) + ' ' +
                                 Event.Name + ": " + Event.Meaning,
                             std::ranges::binary_search(Listed, Event));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("docs/events.md lists events that do not "
                                 "exist or lists one twice",
                                 Defined.size(), Listed.size());
  }

  void numbersAreInTheRangeOfTheirPackage() {
    const std::map<std::string, int> Thousands{
        {"ownership", 1}, {"requests", 2},  {"routing", 2},   {"wire", 3},
        {"daemon", 4},    {"sidecar", 4},   {"catalogue", 5}, {"store", 6},
        {"platform", 6},  {"oriolectl", 7}, {"standins", 8}};
    std::vector<int> Numbers;
    for (const fs::path &Path : sources()) {
      if (Path.filename() != "events.h")
        continue;
      int Expected = Thousands.at(Path.parent_path().filename().string());
      for (const PageEvent &Event : eventsIn(read(Path))) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Event.Name, Expected, Event.Number / 1000);
        Numbers.push_back(Event.Number);
      }
    }
    std::ranges::sort(Numbers);
    CPPUNIT_ASSERT_MESSAGE("two events have the same number",
                           std::ranges::adjacent_find(Numbers) ==
                               Numbers.end());
  }

  // Definitions elsewhere, or in a form that this test cannot read, would not
  // be compared with the page.
  void eventsStandInEventsFiles() {
    for (const fs::path &Path : sources()) {
      std::string Text = read(Path);
      std::size_t Readable =
          Path.filename() == "events.h" ? eventsIn(Text).size() : 0;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Path.string(), definitionsIn(Text),
                                   Readable);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsPageTest);

} // namespace
} // namespace orioledoor
