// Runs complete command lines against a stand-in store and a stand-in node, and
// checks the exit statuses and the printed output.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "orioledoor/base/ids.h"
#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/oriolectl/command_line.h"
#include "orioledoor/oriolectl/event_loop.h"
#include "orioledoor/ownership/assignment.h"
#include "orioledoor/standins/http_server.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/store_server.h"
#include "orioledoor/store/keys.h"

namespace orioledoor::ctl {
namespace {

using nlohmann::json;

constexpr char LicenceDeskCatalogue[] = "examples/licence-desk/catalogue.yaml";

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(everyCommandHasHelp);
  CPPUNIT_TEST(rejectsInvalidUsage);
  CPPUNIT_TEST(acceptsCommonOptionsBeforeTheCommand);
  CPPUNIT_TEST(validatesFiles);
  CPPUNIT_TEST(appliesShowsAndRollsBack);
  CPPUNIT_TEST(conflictPrintsChangesSinceBase);
  CPPUNIT_TEST(namesUnreachableStore);
  CPPUNIT_TEST(statusAsksMembersOfAssignment);
  CPPUNIT_TEST(waitEndsWhenAllNodesHaveRevision);
  CPPUNIT_TEST(waitTimesOut);
  CPPUNIT_TEST(rejectsMalformedStatus);
  CPPUNIT_TEST(explainsAKey);
  CPPUNIT_TEST(filtersTheAuditTrail);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    std::filesystem::create_directories(this->Directory);
    this->Store.emplace(this->Events, 0);
    this->Node.emplace(this->Events, 0,
                       [this](const std::shared_ptr<standins::Exchange> &Call) {
                         Call->reply(Call->path() == "/oriole/status" ? 200
                                                                      : 404,
                                     this->NodeStatusBody);
                       });
    this->setNodeRevision(1);
  }

  void tearDown() override { std::filesystem::remove_all(this->Directory); }

  void everyCommandHasHelp() {
    for (const char *Line :
         {"help", "--help", "catalogue --help", "catalogue validate --help",
          "catalogue diff --help", "catalogue show --help",
          "catalogue history --help", "catalogue apply --help",
          "catalogue rollback --help", "status --help", "audit --help",
          "explain --help"}) {
      this->runWithStore(Line, ExitStatus::Success);
      CPPUNIT_ASSERT_MESSAGE(Line, this->outputContains("Exit statuses"));
    }
  }

  void rejectsInvalidUsage() {
    for (const char *Line :
         {"", "catalogue", "catalogue aply x", "catalogue apply",
          "catalogue apply x --base", "catalogue apply x",
          "catalogue apply x --base -1", "catalogue apply x --base 1 --bas 2",
          "catalogue show more", "catalogue show --output xml",
          "catalogue show --revision one", "catalogue history --limit 0",
          "status --node localhost:1", "status --wait 1 --timeout 0",
          "audit --since yesterday", "explain consulta"})
      this->runWithStore(Line, ExitStatus::Usage);
    this->runLine("catalogue show", ExitStatus::Usage);
    CPPUNIT_ASSERT(this->errorOutputContains("--store is missing"));
    this->DefaultAuthor = "";
    this->runWithStore("catalogue apply x --base 1", ExitStatus::Usage);
    CPPUNIT_ASSERT(this->errorOutputContains("--author is missing"));
  }

  // Scripts pass --store before the command.
  void acceptsCommonOptionsBeforeTheCommand() {
    this->applyLicenceDesk();
    std::string Store = absl::StrCat("--store=127.0.0.1:", this->Store->port());
    this->runLine(Store + " --output json catalogue history",
                  ExitStatus::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json::parse(this->Out.str()).size());
    this->runLine("--output json --store 127.0.0.1:1 catalogue --help",
                  ExitStatus::Success);
    this->runLine("--store", ExitStatus::Usage);
    this->runLine("--verbose catalogue history " + Store, ExitStatus::Usage);
  }

  void validatesFiles() {
    this->runWithStore(
        absl::StrCat("catalogue validate ", LicenceDeskCatalogue),
        ExitStatus::Success);
    std::string Bad =
        this->writeFile("bad.yaml", "deployment: desk\nclas: x\n");
    this->runWithStore("catalogue validate " + Bad, ExitStatus::InvalidInput);
    CPPUNIT_ASSERT(
        this->errorOutputContains("bad.yaml:2: unknown field \"clas\""));
    this->runWithStore("catalogue validate /none", ExitStatus::InvalidInput);
  }

  void appliesShowsAndRollsBack() {
    this->runWithStore("catalogue show", ExitStatus::InvalidInput);
    this->applyLicenceDesk();
    this->putAssignment();
    this->setNodeRevision(2);
    std::string Faster = this->writeEditedCatalogue("2400", "2500");
    this->runWithStore("catalogue diff " + Faster, ExitStatus::Success);
    CPPUNIT_ASSERT(this->outputContains("requests_per_second: 2400 -> 2500"));
    this->runWithStore("catalogue apply --base 1 --comment more --wait " +
                           Faster,
                       ExitStatus::Success);
    this->runWithStore("catalogue show", ExitStatus::Success);
    CPPUNIT_ASSERT(this->outputContains("requests_per_second: 2500"));
    this->runWithStore("catalogue rollback --to 1 --base 2",
                       ExitStatus::Success);
    this->runWithStore("catalogue show --revision 3 --output json",
                       ExitStatus::Success);
    json Shown = json::parse(this->Out.str());
    CPPUNIT_ASSERT(Shown.at("comment") == "rollback to revision 1");
    CPPUNIT_ASSERT(Shown.at("author") == "ana");
    this->runWithStore("catalogue history --output json --limit 2",
                       ExitStatus::Success);
    json History = json::parse(this->Out.str());
    CPPUNIT_ASSERT(History.size() == 2 && History[0].at("revision") == 3);
    this->runWithStore("catalogue rollback --to 9 --base 3",
                       ExitStatus::InvalidInput);
  }

  void conflictPrintsChangesSinceBase() {
    this->applyLicenceDesk();
    this->runWithStore("catalogue apply --base 1 --author bo --comment rush " +
                           this->writeEditedCatalogue("2400", "2500"),
                       ExitStatus::Success);
    this->runWithStore("catalogue apply --base 1 " +
                           this->writeEditedCatalogue("2400", "100"),
                       ExitStatus::Conflict);
    CPPUNIT_ASSERT(this->errorOutputContains("revision 2 by bo"));
    CPPUNIT_ASSERT(
        this->errorOutputContains("requests_per_second: 2400 -> 2500"));
    CPPUNIT_ASSERT(this->errorOutputContains("--base 2"));
  }

  void namesUnreachableStore() {
    this->Store->setFaults({{"outage", "closed"}});
    this->runWithStore("catalogue show", ExitStatus::Unreachable);
    CPPUNIT_ASSERT(this->errorOutputContains(
        absl::StrCat("read orioledoor/catalogue/current"
                     " at store 127.0.0.1:",
                     this->Store->port())));
  }

  void statusAsksMembersOfAssignment() {
    this->putAssignment();
    this->runWithStore("status --output json", ExitStatus::Success);
    json Shown = json::parse(this->Out.str());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Shown.size());
    CPPUNIT_ASSERT(Shown[0].at("member") == 7);
    CPPUNIT_ASSERT(Shown[0].at("slices_owned") == 12);
    this->runWithStore("status", ExitStatus::Success);
    CPPUNIT_ASSERT(this->outputContains("ebro-1"));
  }

  void waitEndsWhenAllNodesHaveRevision() {
    this->putAssignment();
    this->Events.after(std::chrono::milliseconds(700),
                       [this] { this->setNodeRevision(2); });
    this->runWithStore("status --wait 2 --timeout 10", ExitStatus::Success);
    CPPUNIT_ASSERT(
        this->errorOutputContains("revision 2 in force at 0 of 1 nodes"));
    CPPUNIT_ASSERT(
        this->errorOutputContains("revision 2 in force at 1 of 1 nodes"));
  }

  void waitTimesOut() {
    // An empty member list does not prove that the revision is in force.
    this->runWithStore("status --wait 1 --timeout 1", ExitStatus::TimedOut);
    CPPUNIT_ASSERT(
        this->errorOutputContains("the assignment lists no members"));
    std::string Address = absl::StrCat("127.0.0.1:", this->Node->port());
    this->runWithStore("status --wait 9 --timeout 1 --node " + Address,
                       ExitStatus::TimedOut);
    CPPUNIT_ASSERT(
        this->errorOutputContains(Address + " (ebro-1, revision 1)"));
  }

  void rejectsMalformedStatus() {
    this->putAssignment();
    for (const char *Body : {"", "[]", "{\"node\":1}", "{\"node\":\"x\"}"}) {
      this->NodeStatusBody = Body;
      this->runWithStore("status", ExitStatus::Unreachable);
    }
    this->Node.reset();
    this->runWithStore("status", ExitStatus::Unreachable);
  }

  void explainsAKey() {
    this->applyLicenceDesk();
    this->runWithStore("explain consulta font-17", ExitStatus::InvalidInput);
    this->putAssignment();
    // Only the last two of these subjects refer to member 7 or to slices of
    // consulta.
    std::vector<std::string> Subjects{
        "member 71 ebro-9", "9 slices of registro", "9 slices of consulta",
        "member 7 ebro-1"};
    for (std::size_t I = 0; I < Subjects.size(); ++I)
      this->putAudit(I, {static_cast<std::int64_t>(I), "rule: coordinator",
                         "change", Subjects[I], "", "", "", ""});
    this->runWithStore("explain consulta font-17 --output json",
                       ExitStatus::Success);
    json Shown = json::parse(this->Out.str());
    CPPUNIT_ASSERT(Shown.at("slice") == sliceOf("font-17", 4096));
    // The recorded owner 6 is deposed, so its successor 7 is the owner, with
    // the next fence.
    CPPUNIT_ASSERT(Shown.at("owner") == 7);
    CPPUNIT_ASSERT(Shown.at("fence") == 42);
    CPPUNIT_ASSERT(Shown.at("guardians")[0].at("member") == 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Shown.at("audit").size());
    CPPUNIT_ASSERT(Shown.at("audit")[0].at("subject") == Subjects[3]);
    CPPUNIT_ASSERT(Shown.at("audit")[1].at("subject") == Subjects[2]);
    this->runWithStore("explain consulta font-17", ExitStatus::Success);
    CPPUNIT_ASSERT(this->outputContains("member 7 ebro-1"));
    // The node reports a deposition that the assignment does not record: no
    // owner remains.
    json Page = json::parse(this->NodeStatusBody);
    Page["facts"] = {{"deposed", {7}}, {"left", json::array()}};
    this->NodeStatusBody = Page.dump();
    this->runWithStore("explain consulta font-17 --output json",
                       ExitStatus::Success);
    CPPUNIT_ASSERT(json::parse(this->Out.str()).at("owner").is_null());
    this->runWithStore("explain unknown font-17", ExitStatus::InvalidInput);
  }

  void filtersTheAuditTrail() {
    AuditRecord Old{1, "ana", "old", "", "", "", "", ""};
    AuditRecord New{4'000'000'000'000'000, "ana", "new", "", "", "", "", ""};
    this->putAudit(1, Old);
    this->putAudit(2, New);
    this->Store->model().put(auditKey(5, 3), "damaged", 0);
    this->runWithStore("audit --output json", ExitStatus::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, json::parse(this->Out.str()).size());
    this->runWithStore("audit --output json --since 2000-01-01T00:00:00Z",
                       ExitStatus::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json::parse(this->Out.str()).size());
    this->runWithStore("audit --limit 1", ExitStatus::Success);
    CPPUNIT_ASSERT(this->outputContains("new") && !this->outputContains("old"));
    CPPUNIT_ASSERT(this->errorOutputContains("only the latest 1 writes"));
  }

private:
  void runLine(const std::string &Line, ExitStatus Expected) {
    this->Out.str("");
    this->Err.str("");
    std::vector<std::string> Words =
        absl::StrSplit(Line, ' ', absl::SkipEmpty());
    ExitStatus Status = runCommandLine(
        Words, this->Loop, {this->Out, this->Err, false}, this->DefaultAuthor);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Line + "\n" + this->Err.str(),
                                 static_cast<int>(Expected),
                                 static_cast<int>(Status));
  }

  // Runs Line with --store appended, unless Line is empty.
  void runWithStore(const std::string &Line, ExitStatus Expected) {
    std::string Option =
        Line.empty() ? ""
                     : absl::StrCat(" --store 127.0.0.1:", this->Store->port());
    this->runLine(Line + Option, Expected);
  }

  bool outputContains(const std::string &Text) const {
    return this->Out.str().find(Text) != std::string::npos;
  }
  bool errorOutputContains(const std::string &Text) const {
    return this->Err.str().find(Text) != std::string::npos;
  }

  void applyLicenceDesk() {
    this->runWithStore(
        absl::StrCat("catalogue apply --base 0 ", LicenceDeskCatalogue),
        ExitStatus::Success);
  }

  // Writes a file into the test's directory and returns its path.
  std::string writeFile(const std::string &Name, const std::string &Text) {
    std::filesystem::path Path = this->Directory / Name;
    std::ofstream(Path) << Text;
    return Path.string();
  }

  std::string writeEditedCatalogue(const std::string &From,
                                   const std::string &To) {
    std::ifstream In(LicenceDeskCatalogue);
    std::string Text{std::istreambuf_iterator<char>(In), {}};
    return this->writeFile(absl::StrCat("ctl-", To, ".yaml"),
                           absl::StrReplaceAll(Text, {{From, To}}));
  }

  void setNodeRevision(int Revision) {
    this->NodeStatusBody = json{
        {"node", "ebro-1"},
        {"member", 7},
        {"assignment_version", 3},
        {"catalogue_revision", Revision},
        {"slices_owned", 12},
        {"permission_ms", 650},
        {"ready", true}}.dump();
  }

  void putAudit(std::uint64_t Id, const AuditRecord &Record) {
    this->Store->model().put(auditKey(Record.TimeMicros, Id),
                             encodeAuditRecord(Record), 0);
  }

  // Stores an assignment in which member 6 owns all slices of consulta and is
  // deposed, and member 7 is its successor and guardian.
  void putAssignment() {
    ownership::Assignment Recorded;
    Recorded.Version = 3;
    Recorded.NextMemberId = 8;
    ownership::Member DeposedMember;
    DeposedMember.Id = MemberId{6};
    DeposedMember.Deposed = true;
    DeposedMember.HttpAddress = "127.0.0.1:1";
    DeposedMember.Guardians = {{MemberId{7}, 1}};
    DeposedMember.Successors.assign(ownership::SuccessorBuckets, {MemberId{7}});
    ownership::Member LiveMember;
    LiveMember.Id = MemberId{7};
    LiveMember.Name = "ebro-1";
    LiveMember.HttpAddress = absl::StrCat("127.0.0.1:", this->Node->port());
    Recorded.Members = {DeposedMember, LiveMember};
    ownership::SliceOwner Owner{MemberId{6}, Fence{41}, MemberId{}};
    Recorded.Services = {{serviceIdOf("consulta"),
                          std::vector<ownership::SliceOwner>(4096, Owner)}};
    this->Store->model().put(keys::Assignment,
                             ownership::encodeAssignment(Recorded), 0);
  }

  std::filesystem::path Directory = std::filesystem::temp_directory_path() /
                                    absl::StrCat("oriolectl-test-", getpid());
  standins::Loop Events;
  EventLoop Loop{Events.base()};
  std::optional<standins::StoreServer> Store;
  std::string DefaultAuthor = "ana";
  std::string NodeStatusBody;
  std::optional<standins::HttpServer> Node;
  std::ostringstream Out;
  std::ostringstream Err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

} // namespace
} // namespace orioledoor::ctl
