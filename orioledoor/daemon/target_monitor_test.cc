// Tests when a target is marked lost, when it is used again, and which targets
// receive grants.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "orioledoor/daemon/target_monitor.h"
#include "orioledoor/wire/http_client.h"
#include "orioledoor/wire/http_server.h"
#include "orioledoor/wire/testing/loop.h"

namespace orioledoor::daemon {
namespace {

constexpr std::uint16_t Port = 21110;

class TargetMonitorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetMonitorTest);
  CPPUNIT_TEST(unreachableTargetIsLostUntilProbeSucceeds);
  CPPUNIT_TEST(errorStatusDoesNotMarkTargetLost);
  CPPUNIT_TEST(grantIsSentToTargetThatChecksFences);
  CPPUNIT_TEST_SUITE_END();

public:
  void tearDown() override { this->Server.reset(); }

  void startTarget(int Status) {
    auto Opened = wire::HttpServer::open(
        this->Events.base(), {.Listen = {"127.0.0.1", Port}},
        {.OnRequest =
             [this, Status](std::uint64_t Id,
                            const wire::IncomingRequest &Request) {
               this->Requests.push_back(Request);
               this->Server->reply(Id, {Status, {}, "{}"});
             },
         .OnDisconnect = {}});
    CPPUNIT_ASSERT(Opened.ok());
    this->Server = *std::move(Opened);
  }

  static Announcement makeAnnouncement(bool ChecksFence = false) {
    Announcement Result;
    Result.Service = "consulta";
    Result.Address = {"127.0.0.1", Port};
    Result.Slots = 1;
    Result.Connections = 1;
    Result.ChecksFence = ChecksFence;
    Result.State = TargetState::Ready;
    return Result;
  }

  bool runUntil(const std::function<bool()> &Done,
                const ServingPermission &Permission = {},
                std::chrono::milliseconds Limit = std::chrono::seconds(5)) {
    return this->Events.runUntil(
        Done, [&] { this->Target.tick(readClock(), Permission); }, Limit);
  }

  // Guards against two faults: a periodic announcement that makes a target
  // usable again while its probes fail, and a burst of refused calls that marks
  // the target lost at once.
  void unreachableTargetIsLostUntilProbeSucceeds() {
    this->Target.onAnnouncement(makeAnnouncement(), readClock());
    CPPUNIT_ASSERT(this->Target.isUp());
    Instant Start = readClock();
    CPPUNIT_ASSERT(this->runUntil([this] {
      this->Target.onConnectionBroken(readClock());
      return !this->Target.isUp();
    }));
    CPPUNIT_ASSERT(readClock() - Start >= std::chrono::milliseconds(200));
    this->Target.onAnnouncement(makeAnnouncement(), readClock());
    CPPUNIT_ASSERT(!this->Target.isUp());
    this->startTarget(200);
    CPPUNIT_ASSERT(this->runUntil([this] { return this->Target.isUp(); }));
    CPPUNIT_ASSERT(
        (this->Changes == std::vector<TargetChange>{TargetChange::Ready,
                                                    TargetChange::Lost,
                                                    TargetChange::Ready}));
  }

  // A health endpoint may report a wrong status, so any answer counts as a
  // successful probe.
  void errorStatusDoesNotMarkTargetLost() {
    this->startTarget(503);
    this->Target.onAnnouncement(makeAnnouncement(), readClock());
    CPPUNIT_ASSERT(!this->runUntil([this] { return !this->Target.isUp(); }, {},
                                   std::chrono::milliseconds(2500)));
    CPPUNIT_ASSERT(this->Requests.size() >= 3);
  }

  void grantIsSentToTargetThatChecksFences() {
    this->startTarget(200);
    this->Target.onAnnouncement(makeAnnouncement(true), readClock());
    ServingPermission Permission{MemberId{7}, Fence{9},
                                 readClock() + std::chrono::seconds(1)};
    CPPUNIT_ASSERT(
        this->runUntil([this] { return !this->Requests.empty(); }, Permission));
    CPPUNIT_ASSERT_EQUAL(std::string("/oriole/grant"),
                         this->Requests[0].Target);
    CPPUNIT_ASSERT(this->Requests[0].Body.starts_with(
        R"({"fence":9,"member":7,"valid_ms":)"));
  }

private:
  wire::testing::Loop Events;
  std::vector<TargetChange> Changes;
  std::vector<wire::IncomingRequest> Requests;
  std::unique_ptr<wire::HttpServer> Server;
  wire::HttpClient Client{Events.base()};
  TargetMonitor Target{Client,
                       {.OnChange =
                            [this](TargetChange Change, const Announcement &) {
                              this->Changes.push_back(Change);
                            },
                        .Log = [](const LogRecord &) {}}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetMonitorTest);

} // namespace
} // namespace orioledoor::daemon
