// Tests of placement limits at the entry node: allowed regions and evacuated
// failure domains.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "orioledoor/routing/placement_policy.h"
#include "orioledoor/routing/route_table.h"
#include "orioledoor/routing/testing/entry_fixture.h"

namespace orioledoor::routing {
namespace {

using std::chrono::milliseconds;
using testing::FarNode;
using testing::NearNode;

// The usual table, with limited regions on all routes.
SharedRouteTable newLimitedTable(const std::vector<std::string> &Regions) {
  SharedRouteTable Usual = testing::newTable();
  auto Table = std::make_shared<RouteTable>();
  Table->Version = 8;
  Table->Services = Usual->Services;
  for (Route Limited : Usual->routes()) {
    Limited.AllowedRegions = Regions;
    Table->add(Limited);
  }
  Table->finish();
  return Table;
}

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(usesAllowedRegionsOnly);
  CPPUNIT_TEST(refusesKeysOwnedInForbiddenRegions);
  CPPUNIT_TEST(appliesNewLimitsToOpenRequests);
  CPPUNIT_TEST(skipsEvacuatedDomains);
  CPPUNIT_TEST(leavingTargetsStayLeaving);
  CPPUNIT_TEST(findsCommonRegions);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against choices and retries in a region that the route does not
  // allow, although the target there is the best one or the last one.
  void usesAllowedRegionsOnly() {
    testing::EntryFixture F;
    F.Entry.setTable(newLimitedTable({"r2"}));
    F.sendRequest(1, "/read/x");
    std::string To;
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
    CPPUNIT_ASSERT(F.sent()->LastChoice);
    F.receiveResult(FarNode, Outcome::Busy);
    CPPUNIT_ASSERT(!F.sent());
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    F.Entry.setTable(newLimitedTable({"r3"}));
    // Another path, since an early repeat is refused for another reason.
    F.sendRequest(2, "/read/y");
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    CPPUNIT_ASSERT(F.reply()->Body.find("allowed region") != std::string::npos);
  }

  // Guards against keyed requests, and their bodies, that go to an owner in a
  // forbidden region, or to one whose region is not known.
  void refusesKeysOwnedInForbiddenRegions() {
    testing::EntryFixture F;
    F.Entry.setTable(newLimitedTable({"r2"}));
    for (const char *Owner : {NearNode, "tcp://10.0.0.9:7100"}) {
      F.Owner.Node = Owner;
      F.sendRequest(1, "/keyed/x", 5);
      CPPUNIT_ASSERT(!F.sent());
      CPPUNIT_ASSERT_EQUAL(503, F.status());
      CPPUNIT_ASSERT(F.reply()->Body.find("not allowed") != std::string::npos);
    }
    F.Owner.Node = FarNode;
    F.sendRequest(2, "/keyed/x", 5);
    CPPUNIT_ASSERT(F.sent());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, F.Entry.placementRefusals());
  }

  // Guards against bodies and retries of open requests that follow the earlier
  // configuration.
  void appliesNewLimitsToOpenRequests() {
    testing::EntryFixture F;
    F.setLink(NearNode, 1'250'000);
    F.upload(1);
    FetchBody Fetch{.Id = F.sent()->Id, .Process = 1};
    F.Entry.setTable(newLimitedTable({"r2"}));
    F.Out.clear();
    F.Entry.handleFetchBody(NearNode, Fetch, F.Now, F.Out);
    CPPUNIT_ASSERT(std::ranges::none_of(F.Out, [](const Effect &Output) {
      const auto *Message = std::get_if<SendMessage>(&Output);
      return Message && std::holds_alternative<ForwardBody>(Message->Body);
    }));
    std::string To;
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
  }

  // Guards against an entry node that goes by the state that the target's node
  // told it, which may not know of the evacuation.
  void skipsEvacuatedDomains() {
    testing::EntryFixture F;
    F.Directory.setEvacuations({"d1"}, F.Now + milliseconds(2500));
    F.sendRequest(1, "/read/x");
    std::string To;
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(FarNode), To);
    F.sendRequest(2, "/keyed/x", 5);
    CPPUNIT_ASSERT(F.sent());
    F.advance(milliseconds(2500));
    F.sendRequest(3, "/keyed/x", 5);
    CPPUNIT_ASSERT(!F.sent());
    CPPUNIT_ASSERT_EQUAL(503, F.status());
    F.Directory.setEvacuations({}, F.Now);
    F.sendRequest(4, "/read/x");
    CPPUNIT_ASSERT(F.sent(&To));
    CPPUNIT_ASSERT_EQUAL(std::string(NearNode), To);
  }

  // Guards against a leaving target that gets requests again when an evacuation
  // ends, since its node has stated both.
  void leavingTargetsStayLeaving() {
    testing::EntryFixture F;
    TargetStatus Status = F.Directory.find(NearNode)->Status;
    for (TargetState State : {TargetState::Leaving, TargetState::Evacuated}) {
      ++Status.Sequence;
      Status.State = State;
      F.Directory.update(Status, F.Now);
      CPPUNIT_ASSERT(F.Directory.find(NearNode)->Status.State ==
                     TargetState::Leaving);
    }
  }

  // Guards against keys at targets that some route may not use.
  void findsCommonRegions() {
    RouteTable Table;
    auto AddRoute = [&Table](std::vector<std::string> Regions) {
      Route Added{.Host = "h", .Prefix = "/"};
      Added.Services = {{"keyed", 1}};
      Added.AllowedRegions = std::move(Regions);
      Table.add(Added);
    };
    CPPUNIT_ASSERT(!commonAllowedRegions(Table, "keyed"));
    AddRoute({"r1", "r2"});
    AddRoute({"r2", "r3"});
    CPPUNIT_ASSERT(commonAllowedRegions(Table, "keyed") ==
                   std::vector<std::string>{"r2"});
    CPPUNIT_ASSERT(!commonAllowedRegions(Table, "plain"));
    AddRoute({});
    CPPUNIT_ASSERT(!commonAllowedRegions(Table, "keyed"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace
} // namespace orioledoor::routing
