// Tests which service requests bear as their origin while reports of other
// writers arrive and the settings change.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "orioledoor/sidecar/events.h"
#include "orioledoor/sidecar/testing/reducer_fixture.h"

namespace orioledoor::sidecar {
namespace {

using testing::ReducerFixture;
using testing::TargetAddress;

constexpr char Service[] = "keyed";
constexpr char NextService[] = "ledger";
constexpr char UnknownService[] = "x15dc77";

class CallerServiceFixture : public ReducerFixture {
public:
  CallerServiceFixture() {
    this->joinFleet();
    this->addReadRoute();
  }

  static routing::TargetReport makeReport(const std::string &ReportedService,
                                          const std::string &Instance,
                                          std::int64_t StartTimeMs,
                                          std::int64_t Sequence) {
    routing::TargetReport Report;
    Report.Instance = Instance;
    Report.Address = TargetAddress;
    Report.Service = ReportedService;
    Report.Slots = 2;
    Report.StartTimeMs = StartTimeMs;
    Report.Sequence = Sequence;
    return Report;
  }
  bool isAcknowledged(routing::TargetReport Report) {
    this->dispatch(TargetReportReceived{7, std::move(Report)});
    CPPUNIT_ASSERT(this->find<ReplyToReport>() || this->find<RefuseReport>());
    return this->find<ReplyToReport>() != nullptr;
  }
  // Sends a request of a caller on this VM and returns the open Forward.
  routing::Forward send(std::uint64_t Caller) {
    this->sendRead(Caller, std::chrono::seconds(2));
    const auto *Sent = this->findMessage<routing::Forward>();
    CPPUNIT_ASSERT(Sent);
    return *Sent;
  }
};

class CallerServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerServiceTest);
  CPPUNIT_TEST(reportsOfOtherWritersDoNotChangeTheCallerService);
  CPPUNIT_TEST(reportsFromOtherAddressesAreRefused);
  CPPUNIT_TEST(changedSettingsDecideAtOnce);
  CPPUNIT_TEST(knownTargetReportsOnAfterTheSettingsChange);
  CPPUNIT_TEST(openRequestsKeepTheServiceUnderWhichTheyBegan);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests that bear a service which some other writer of
  // reports named, and against a target that loses its keys to it.
  void reportsOfOtherWritersDoNotChangeTheCallerService() {
    CallerServiceFixture Node;
    CPPUNIT_ASSERT(Node.isAcknowledged(Node.makeReport(Service, "i-1", 1, 1)));
    CPPUNIT_ASSERT(
        !Node.isAcknowledged(Node.makeReport(UnknownService, "i-9", 99, 1)));
    const auto *Line = Node.find<LogRecord>();
    CPPUNIT_ASSERT(Line && Line->Event == &events::ReportRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         Node.Reducer.gate().target().Instance);
    CPPUNIT_ASSERT_EQUAL(std::string(Service), Node.send(1).CallerService);
    // The same with the id of the target, and a service that exists.
    CPPUNIT_ASSERT(!Node.isAcknowledged(Node.makeReport("plain", "i-1", 1, 2)));
    CPPUNIT_ASSERT_EQUAL(std::string(Service), Node.send(2).CallerService);
    CPPUNIT_ASSERT(Node.isAcknowledged(Node.makeReport(Service, "i-1", 1, 3)));
    // Before the target has reported, the settings decide, too.
    CallerServiceFixture Fresh;
    CPPUNIT_ASSERT(
        !Fresh.isAcknowledged(Fresh.makeReport(UnknownService, "i-9", 99, 1)));
    CPPUNIT_ASSERT_EQUAL(std::string(Service), Fresh.send(1).CallerService);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Fresh.Reducer.refusedReports());
  }

  // Guards against a report of another VM's target that is taken for a new
  // incarnation of this one.
  void reportsFromOtherAddressesAreRefused() {
    CallerServiceFixture Node;
    routing::TargetReport Report = Node.makeReport(Service, "i-9", 99, 1);
    Report.Address = "10.0.0.9:8301";
    CPPUNIT_ASSERT(!Node.isAcknowledged(Report));
    CPPUNIT_ASSERT(!Node.Reducer.gate().target());
  }

  // Guards against requests that bear the earlier service while the target of
  // the new one has not reported yet, and against a new target that is refused.
  void changedSettingsDecideAtOnce() {
    CallerServiceFixture Node;
    CPPUNIT_ASSERT(Node.isAcknowledged(Node.makeReport(Service, "i-1", 1, 1)));
    CPPUNIT_ASSERT(
        !Node.isAcknowledged(Node.makeReport(NextService, "i-2", 2, 1)));
    Node.dispatch(SettingsChanged{NextService});
    CPPUNIT_ASSERT_EQUAL(std::string(NextService), Node.send(1).CallerService);
    CPPUNIT_ASSERT(
        Node.isAcknowledged(Node.makeReport(NextService, "i-2", 2, 2)));
    CPPUNIT_ASSERT_EQUAL(std::string(NextService),
                         std::string(Node.Reducer.gate().service()));
    CPPUNIT_ASSERT_EQUAL(std::string(NextService), Node.send(2).CallerService);
    // Without a target, the entry of the node states the new service, too.
    CallerServiceFixture Fresh;
    Fresh.dispatch(SettingsChanged{NextService});
    CPPUNIT_ASSERT_EQUAL(std::string(NextService),
                         Fresh.Reducer.membership().selfEntry().Service);
  }

  // Guards against a target that can't announce its end, or loses its keys
  // while it works, because the settings already name its successor's service.
  void knownTargetReportsOnAfterTheSettingsChange() {
    CallerServiceFixture Node;
    CPPUNIT_ASSERT(Node.isAcknowledged(Node.makeReport(Service, "i-1", 1, 1)));
    Node.dispatch(SettingsChanged{NextService});
    routing::TargetReport Leaving = Node.makeReport(Service, "i-1", 1, 2);
    Leaving.Draining = true;
    CPPUNIT_ASSERT(Node.isAcknowledged(Leaving));
    CPPUNIT_ASSERT_EQUAL(std::string(NextService), Node.send(1).CallerService);
    // Another incarnation of the earlier service is not known.
    CPPUNIT_ASSERT(!Node.isAcknowledged(Node.makeReport(Service, "i-3", 3, 1)));
  }

  // Guards against a retry that bears the service of a VM that has changed
  // since the request began there.
  void openRequestsKeepTheServiceUnderWhichTheyBegan() {
    CallerServiceFixture Node;
    routing::Forward First = Node.send(1);
    const std::string To = Node.find<SendMessage>()->To;
    Node.dispatch(SettingsChanged{NextService});
    routing::ForwardResult Refused;
    Refused.Id = First.Id;
    Refused.Process = 1;
    Refused.Code = routing::Outcome::Busy;
    Node.dispatch(PeerMessageReceived{To, Refused});
    const auto *Retried = Node.findMessage<routing::Forward>();
    CPPUNIT_ASSERT(Retried);
    CPPUNIT_ASSERT_EQUAL(std::string(Service), Retried->CallerService);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServiceTest);

} // namespace
} // namespace orioledoor::sidecar
