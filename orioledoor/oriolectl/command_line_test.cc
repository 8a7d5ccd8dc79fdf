// Runs whole command lines against the stand-in store and stand-in nodes.
// Guards the exit statuses and what operators are told.
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

constexpr char Desk[] = "examples/licence-desk/catalogue.yaml";

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(everyCommandHasHelp);
  CPPUNIT_TEST(refusesWrongUsage);
  CPPUNIT_TEST(acceptsCommonOptionsBeforeTheCommand);
  CPPUNIT_TEST(validatesFiles);
  CPPUNIT_TEST(appliesShowsAndRollsBack);
  CPPUNIT_TEST(conflictShowsWhatChanged);
  CPPUNIT_TEST(lostStoreIsNamed);
  CPPUNIT_TEST(statusFindsTheMembers);
  CPPUNIT_TEST(waitEndsWhenAllNodesFollow);
  CPPUNIT_TEST(waitTimesOut);
  CPPUNIT_TEST(refusesDamagedStatus);
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
                                     this->NodeBody);
                       });
    this->setNode(1);
  }

  void tearDown() override { std::filesystem::remove_all(this->Directory); }

  void everyCommandHasHelp() {
    for (const char *Line :
         {"help", "--help", "catalogue --help", "catalogue validate --help",
          "catalogue diff --help", "catalogue show --help",
          "catalogue history --help", "catalogue apply --help",
          "catalogue rollback --help", "status --help", "audit --help",
          "explain --help"}) {
      this->run(Line, ExitStatus::Success);
      CPPUNIT_ASSERT_MESSAGE(Line, this->prints("Exit statuses"));
    }
  }

  void refusesWrongUsage() {
    for (const char *Line :
         {"", "catalogue", "catalogue aply x", "catalogue apply",
          "catalogue apply x --base", "catalogue apply x",
          "catalogue apply x --base -1", "catalogue apply x --base 1 --bas 2",
          "catalogue show more", "catalogue show --output xml",
          "catalogue show --revision one", "catalogue history --limit 0",
          "status --node localhost:1", "status --wait 1 --timeout 0",
          "audit --since yesterday", "explain consulta"})
      this->run(Line, ExitStatus::Usage);
    this->runAlone("catalogue show", ExitStatus::Usage);
    CPPUNIT_ASSERT(this->warns("--store is missing"));
    this->DefaultAuthor = "";
    this->run("catalogue apply x --base 1", ExitStatus::Usage);
    CPPUNIT_ASSERT(this->warns("--author is missing"));
  }

  // Scripts put --store first.
  void acceptsCommonOptionsBeforeTheCommand() {
    this->applyDesk();
    std::string Store = absl::StrCat("--store=127.0.0.1:", this->Store->port());
    this->runAlone(Store + " --output json catalogue history",
                   ExitStatus::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json::parse(this->Out.str()).size());
    this->runAlone("--output json --store 127.0.0.1:1 catalogue --help",
                   ExitStatus::Success);
    this->runAlone("--store", ExitStatus::Usage);
    this->runAlone("--verbose catalogue history " + Store, ExitStatus::Usage);
  }

  void validatesFiles() {
    this->run(absl::StrCat("catalogue validate ", Desk), ExitStatus::Success);
    std::string Bad = this->file("bad.yaml", "deployment: desk\nclas: x\n");
    this->run("catalogue validate " + Bad, ExitStatus::InvalidInput);
    CPPUNIT_ASSERT(this->warns("bad.yaml:2: unknown field \"clas\""));
    this->run("catalogue validate /none", ExitStatus::InvalidInput);
  }

  void appliesShowsAndRollsBack() {
    this->run("catalogue show", ExitStatus::InvalidInput);
    this->applyDesk();
    this->putAssignment();
    this->setNode(2);
    std::string Faster = this->edited("2400", "2500");
    this->run("catalogue diff " + Faster, ExitStatus::Success);
    CPPUNIT_ASSERT(this->prints("requests_per_second: 2400 -> 2500"));
    this->run("catalogue apply --base 1 --comment more --wait " + Faster,
              ExitStatus::Success);
    this->run("catalogue show", ExitStatus::Success);
    CPPUNIT_ASSERT(this->prints("requests_per_second: 2500"));
    this->run("catalogue rollback --to 1 --base 2", ExitStatus::Success);
    this->run("catalogue show --revision 3 --output json", ExitStatus::Success);
    json Shown = json::parse(this->Out.str());
    CPPUNIT_ASSERT(Shown.at("comment") == "rollback to revision 1");
    CPPUNIT_ASSERT(Shown.at("author") == "ana");
    this->run("catalogue history --output json --limit 2", ExitStatus::Success);
    json History = json::parse(this->Out.str());
    CPPUNIT_ASSERT(History.size() == 2 && History[0].at("revision") == 3);
    this->run("catalogue rollback --to 9 --base 3", ExitStatus::InvalidInput);
  }

  void conflictShowsWhatChanged() {
    this->applyDesk();
    this->run("catalogue apply --base 1 --author bo --comment rush " +
                  this->edited("2400", "2500"),
              ExitStatus::Success);
    this->run("catalogue apply --base 1 " + this->edited("2400", "100"),
              ExitStatus::Conflict);
    CPPUNIT_ASSERT(this->warns("revision 2 by bo"));
    CPPUNIT_ASSERT(this->warns("requests_per_second: 2400 -> 2500"));
    CPPUNIT_ASSERT(this->warns("--base 2"));
  }

  void lostStoreIsNamed() {
    this->Store->setFaults({{"outage", "closed"}});
    this->run("catalogue show", ExitStatus::Unreachable);
    CPPUNIT_ASSERT(this->warns(absl::StrCat("read orioledoor/catalogue/current"
                                            " at store 127.0.0.1:",
                                            this->Store->port())));
  }

  void statusFindsTheMembers() {
    this->putAssignment();
    this->run("status --output json", ExitStatus::Success);
    json Shown = json::parse(this->Out.str());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Shown.size());
    CPPUNIT_ASSERT(Shown[0].at("member") == 7);
    CPPUNIT_ASSERT(Shown[0].at("slices_owned") == 12);
    this->run("status", ExitStatus::Success);
    CPPUNIT_ASSERT(this->prints("ebro-1"));
  }

  void waitEndsWhenAllNodesFollow() {
    this->putAssignment();
    this->Events.after(std::chrono::milliseconds(700),
                       [this] { this->setNode(2); });
    this->run("status --wait 2 --timeout 10", ExitStatus::Success);
    CPPUNIT_ASSERT(this->warns("revision 2 in force at 0 of 1 nodes"));
    CPPUNIT_ASSERT(this->warns("revision 2 in force at 1 of 1 nodes"));
  }

  void waitTimesOut() {
    // An empty list of members proves nothing.
    this->run("status --wait 1 --timeout 1", ExitStatus::TimedOut);
    CPPUNIT_ASSERT(this->warns("the assignment lists no members"));
    std::string Address = absl::StrCat("127.0.0.1:", this->Node->port());
    this->run("status --wait 9 --timeout 1 --node " + Address,
              ExitStatus::TimedOut);
    CPPUNIT_ASSERT(this->warns(Address + " (ebro-1, revision 1)"));
  }

  void refusesDamagedStatus() {
    this->putAssignment();
    for (const char *Body : {"", "[]", "{\"node\":1}", "{\"node\":\"x\"}"}) {
      this->NodeBody = Body;
      this->run("status", ExitStatus::Unreachable);
    }
    this->Node.reset();
    this->run("status", ExitStatus::Unreachable);
  }

  void explainsAKey() {
    this->applyDesk();
    this->run("explain consulta font-17", ExitStatus::InvalidInput);
    this->putAssignment();
    // Of these, only the last two concern member 7 or slices of consulta.
    std::vector<std::string> Subjects{
        "member 71 ebro-9", "9 slices of registro", "9 slices of consulta",
        "member 7 ebro-1"};
    for (std::size_t I = 0; I < Subjects.size(); ++I)
      this->putAudit(I, {static_cast<std::int64_t>(I), "rule: coordinator",
                         "change", Subjects[I], "", "", "", ""});
    this->run("explain consulta font-17 --output json", ExitStatus::Success);
    json Shown = json::parse(this->Out.str());
    CPPUNIT_ASSERT(Shown.at("slice") == sliceOf("font-17", 4096));
    // The recorded owner 6 is deposed, so the successor 7 acts under the next
    // number.
    CPPUNIT_ASSERT(Shown.at("owner") == 7);
    CPPUNIT_ASSERT(Shown.at("fence") == 42);
    CPPUNIT_ASSERT(Shown.at("guardians")[0].at("member") == 7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Shown.at("audit").size());
    CPPUNIT_ASSERT(Shown.at("audit")[0].at("subject") == Subjects[3]);
    CPPUNIT_ASSERT(Shown.at("audit")[1].at("subject") == Subjects[2]);
    this->run("explain consulta font-17", ExitStatus::Success);
    CPPUNIT_ASSERT(this->prints("member 7 ebro-1"));
    // A deposition that only the nodes know of: nobody is left.
    json Page = json::parse(this->NodeBody);
    Page["facts"] = {{"deposed", {7}}, {"left", json::array()}};
    this->NodeBody = Page.dump();
    this->run("explain consulta font-17 --output json", ExitStatus::Success);
    CPPUNIT_ASSERT(json::parse(this->Out.str()).at("owner").is_null());
    this->run("explain unknown font-17", ExitStatus::InvalidInput);
  }

  void filtersTheAuditTrail() {
    AuditRecord Old{1, "ana", "old", "", "", "", "", ""};
    AuditRecord New{4'000'000'000'000'000, "ana", "new", "", "", "", "", ""};
    this->putAudit(1, Old);
    this->putAudit(2, New);
    this->Store->model().put(auditKey(5, 3), "damaged", 0);
    this->run("audit --output json", ExitStatus::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, json::parse(this->Out.str()).size());
    this->run("audit --output json --since 2000-01-01T00:00:00Z",
              ExitStatus::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, json::parse(this->Out.str()).size());
    this->run("audit --limit 1", ExitStatus::Success);
    CPPUNIT_ASSERT(this->prints("new") && !this->prints("old"));
    CPPUNIT_ASSERT(this->warns("only the latest 1 writes"));
  }

private:
  void runAlone(const std::string &Line, ExitStatus Expected) {
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

  // With --store.
  void run(const std::string &Line, ExitStatus Expected) {
    std::string Option =
        Line.empty() ? ""
                     : absl::StrCat(" --store 127.0.0.1:", this->Store->port());
    this->runAlone(Line + Option, Expected);
  }

  bool prints(const std::string &Text) const {
    return this->Out.str().find(Text) != std::string::npos;
  }
  bool warns(const std::string &Text) const {
    return this->Err.str().find(Text) != std::string::npos;
  }

  void applyDesk() {
    this->run(absl::StrCat("catalogue apply --base 0 ", Desk),
              ExitStatus::Success);
  }

  // The path of a new file.
  std::string file(const std::string &Name, const std::string &Text) {
    std::filesystem::path Path = this->Directory / Name;
    std::ofstream(Path) << Text;
    return Path.string();
  }

  std::string edited(const std::string &From, const std::string &To) {
    std::ifstream In(Desk);
    std::string Text{std::istreambuf_iterator<char>(In), {}};
    return this->file(absl::StrCat("ctl-", To, ".yaml"),
                      absl::StrReplaceAll(Text, {{From, To}}));
  }

  void setNode(int Revision) {
    this->NodeBody = json{
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

  // Member 6 owns all slices of consulta and is deposed; member 7 is its
  // successor and guardian.
  void putAssignment() {
    ownership::Assignment Recorded;
    Recorded.Version = 3;
    Recorded.NextMemberId = 8;
    ownership::Member Lost;
    Lost.Id = MemberId{6};
    Lost.Deposed = true;
    Lost.HttpAddress = "127.0.0.1:1";
    Lost.Guardians = {{MemberId{7}, 1}};
    Lost.Successors.assign(ownership::SuccessorBuckets, {MemberId{7}});
    ownership::Member Live;
    Live.Id = MemberId{7};
    Live.Name = "ebro-1";
    Live.HttpAddress = absl::StrCat("127.0.0.1:", this->Node->port());
    Recorded.Members = {Lost, Live};
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
  std::string NodeBody;
  std::optional<standins::HttpServer> Node;
  std::ostringstream Out;
  std::ostringstream Err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

} // namespace
} // namespace orioledoor::ctl
