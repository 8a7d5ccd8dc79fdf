// Tests that changes of a settings file are noticed.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

#include "orioledoor/catalogue/settings_file.h"

namespace orioledoor {
namespace {

class SettingsFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsFileTest);
  CPPUNIT_TEST(returnsEachChangeOnce);
  CPPUNIT_TEST(keepsTheContentWhileTheFileIsReplaced);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    this->Name = (std::filesystem::temp_directory_path() /
                  ("settings-" + std::to_string(getpid())))
                     .string();
    this->write("a");
  }
  void tearDown() override { std::remove(this->Name.c_str()); }

  void write(const std::string &Text) const {
    std::ofstream(this->Name) << Text;
  }

  // Guards against a change of the same length and within the granularity of
  // the modification time that is never seen.
  void returnsEachChangeOnce() {
    SettingsFile File(this->Name);
    CPPUNIT_ASSERT(File.read().value() == "a");
    CPPUNIT_ASSERT(!File.readIfChanged());
    this->write("b");
    CPPUNIT_ASSERT(File.readIfChanged().value() == "b");
    CPPUNIT_ASSERT(!File.readIfChanged());
  }

  // Guards against settings that are dropped because the file was absent or
  // empty at the moment of the check.
  void keepsTheContentWhileTheFileIsReplaced() {
    SettingsFile File(this->Name);
    CPPUNIT_ASSERT(File.read().ok());
    this->write("");
    CPPUNIT_ASSERT(!File.readIfChanged());
    std::remove(this->Name.c_str());
    CPPUNIT_ASSERT(!File.readIfChanged());
    CPPUNIT_ASSERT(absl::IsNotFound(File.read().status()));
    this->write("a");
    CPPUNIT_ASSERT(!File.readIfChanged());
    this->write("c");
    CPPUNIT_ASSERT(File.readIfChanged().value() == "c");
  }

private:
  std::string Name;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFileTest);

} // namespace
} // namespace orioledoor
