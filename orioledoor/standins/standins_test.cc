// Tests of the stand-in target, the relay and the load generator.
#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "orioledoor/standins/load_generator.h"
#include "orioledoor/standins/loop.h"
#include "orioledoor/standins/relay_link.h"
#include "orioledoor/standins/target_server.h"

namespace orioledoor::standins {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr Duration TestLimit = 10s;

// A connection that sends one request text and collects the bytes received.
class RawHttpClient {
public:
  RawHttpClient(Loop &Events, std::uint16_t Port, const std::string &Text)
      : Socket(
            bufferevent_socket_new(Events.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        this->Socket,
        [](bufferevent *, void *Self) {
          static_cast<RawHttpClient *>(Self)->read();
        },
        nullptr,
        [](bufferevent *, short What, void *Self) {
          if (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<RawHttpClient *>(Self)->Closed = true;
        },
        this);
    bufferevent_enable(this->Socket, EV_READ | EV_WRITE);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    bufferevent_socket_connect(
        this->Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    bufferevent_write(this->Socket, Text.data(), Text.size());
  }
  ~RawHttpClient() { bufferevent_free(this->Socket); }
  RawHttpClient(const RawHttpClient &) = delete;
  RawHttpClient &operator=(const RawHttpClient &) = delete;

  // The status code, such as "200"; empty before an answer arrives.
  std::string status() const {
    return this->Text.empty() ? "" : this->Text.substr(9, 3);
  }
  std::string body() const {
    std::size_t At = this->Text.find("\r\n\r\n");
    return At == std::string::npos ? "" : this->Text.substr(At + 4);
  }

  bool Closed = false;
  std::string Text;

private:
  void read() {
    evbuffer *Input = bufferevent_get_input(this->Socket);
    std::string Bytes(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Bytes.data(), Bytes.size());
    this->Text += Bytes;
  }

  bufferevent *Socket;
};

std::string makeRequest(const std::string &Line, const std::string &Body = "",
                        const std::string &Headers = "") {
  return Line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

class StandinsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandinsTest);
  CPPUNIT_TEST(operationsAreLoggedOnce);
  CPPUNIT_TEST(cancelledAndLateOperationsHaveNoEffect);
  CPPUNIT_TEST(fullTargetShedsRequests);
  CPPUNIT_TEST(olderFencesAndEndedGrantsAreRefused);
  CPPUNIT_TEST(injectedFaultsTakeEffect);
  CPPUNIT_TEST(stateChangesAreAnnounced);
  CPPUNIT_TEST(relayAppliesAndClearsFaults);
  CPPUNIT_TEST(loadCountsMisroutedAnswers);
  CPPUNIT_TEST(loadDoesNotSendOverdueRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    this->Options.Service = "s";
    this->Options.ServiceTime = 1ms;
  }

  // Guards against a log that differs from the operations that were executed:
  // operation_judge would then miss or falsely report double executions.
  void operationsAreLoggedOnce() {
    TargetServer Target(this->Events, this->Options);
    std::string Key = "Idempotency-Key: op-1\r\nOriole-Fence: 7\r\n";
    CPPUNIT_ASSERT_EQUAL(
        std::string("200"),
        this->call(Target.port(), makeRequest("PUT /s/k1/rest", "v1", Key))
            ->status());
    auto Read = this->call(Target.port(), makeRequest("GET /s/k1"));
    Json Answer = Json::parse(Read->body());
    CPPUNIT_ASSERT_EQUAL(std::string("k1"),
                         Answer.at("key").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                         Answer.at("value").get<std::string>());
    Json Log = Json::parse(
        this->call(Target.port(), makeRequest("GET /standin/log"))->body());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Log.size());
    CPPUNIT_ASSERT_EQUAL(std::string("op-1"),
                         Log[0].at("operation").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(7, Log[0].at("fence").get<int>());
    CPPUNIT_ASSERT_EQUAL(
        std::string("404"),
        this->call(Target.port(), makeRequest("GET /other/k1"))->status());
  }

  // Guards against operations that take effect after their caller has
  // disconnected or their deadline has passed.
  void cancelledAndLateOperationsHaveNoEffect() {
    this->Options.ServiceTime = 200ms;
    TargetServer Target(this->Events, this->Options);
    auto Call =
        this->startCall(Target.port(), makeRequest("PUT /s/k1", "lost"));
    this->runFor(20ms);
    Call.reset();
    this->runFor(300ms);
    CPPUNIT_ASSERT_EQUAL(
        std::string("504"),
        this->call(Target.port(), makeRequest("PUT /s/k1", "late",
                                              "Oriole-Timeout-Ms: 10\r\n"))
            ->status());
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), Target.log()[0].Outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline"), Target.log()[1].Outcome);
    Json Answer = Json::parse(
        this->call(Target.port(), makeRequest("GET /s/k1"))->body());
    CPPUNIT_ASSERT_EQUAL(0, Answer.at("writes").get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Target.log().size());
  }

  // Guards against a target that accepts more operations than it has slots, and
  // against slots that are not released.
  void fullTargetShedsRequests() {
    this->Options.Slots = 1;
    this->Options.ServiceTime = 200ms;
    TargetServer Target(this->Events, this->Options);
    for (int Round = 0; Round < 2; ++Round) {
      auto First = this->startCall(Target.port(), makeRequest("GET /s/k1"));
      this->runFor(10ms);
      auto Second = this->call(Target.port(), makeRequest("GET /s/k2"));
      CPPUNIT_ASSERT_EQUAL(std::string("503"), Second->status());
      CPPUNIT_ASSERT(Second->Text.find("Retry-After") != std::string::npos);
      this->waitForClose(*First);
      CPPUNIT_ASSERT_EQUAL(std::string("200"), First->status());
    }
  }

  // Guards against operations of an earlier owner that still take effect.
  void olderFencesAndEndedGrantsAreRefused() {
    this->Options.ChecksFence = true;
    TargetServer Target(this->Events, this->Options);
    CPPUNIT_ASSERT_EQUAL(std::string("503"), this->put(Target, 5));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), this->grant(Target, 9, 60'000));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), this->put(Target, 5));
    CPPUNIT_ASSERT_EQUAL(std::string("412"), this->put(Target, 4));
    CPPUNIT_ASSERT_EQUAL(std::string("409"), this->grant(Target, 8, 60'000));
    // The grant ends while the operation runs.
    CPPUNIT_ASSERT_EQUAL(std::string("200"), this->grant(Target, 10, 30));
    Target.setFaults({{"slow_ms", 60}});
    CPPUNIT_ASSERT_EQUAL(std::string("503"), this->put(Target, 6));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                         std::ranges::count(Target.log(),
                                            std::string("executed"),
                                            &OperationRecord::Outcome));
  }

  // Guards against injected faults that have no effect, which would make tests
  // with faults pass without testing anything.
  void injectedFaultsTakeEffect() {
    TargetServer Target(this->Events, this->Options);
    Target.setFaults({{"truncate", 1}});
    auto Truncated = this->call(Target.port(), makeRequest("GET /s/k1"));
    std::size_t FullSize =
        this->call(Target.port(), makeRequest("GET /s/k1"))->body().size();
    CPPUNIT_ASSERT(Truncated->body().size() < FullSize);
    CPPUNIT_ASSERT(
        Truncated->Text.find("Content-Length: " + std::to_string(FullSize)) !=
        std::string::npos);
    Target.setFaults({{"refuse", true}});
    CPPUNIT_ASSERT_EQUAL(
        std::string(),
        this->call(Target.port(), makeRequest("GET /s/k1"))->Text);
    Target.setFaults({{"refuse", false}, {"stall", true}});
    auto Stalled = this->startCall(Target.port(), makeRequest("GET /s/k1"));
    this->runFor(50ms);
    CPPUNIT_ASSERT(Stalled->Text.empty());
    Target.setFaults({{"stall", false}, {"health", "bad"}, {"load_lie", 3}});
    this->waitForClose(*Stalled);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), Stalled->status());
    CPPUNIT_ASSERT_EQUAL(
        std::string("503"),
        this->call(Target.port(), makeRequest("GET /oriole/health"))->status());
    Json Load = Json::parse(
        this->call(Target.port(), makeRequest("GET /oriole/load"))->body());
    CPPUNIT_ASSERT_EQUAL(3, Load.at("used_slots").get<int>());
  }

  // Guards against a target that does not announce that it starts, is ready or
  // leaves.
  void stateChangesAreAnnounced() {
    std::vector<Json> Announcements;
    HttpServer Node(this->Events, 0,
                    [&](const std::shared_ptr<Exchange> &Request) {
                      Announcements.push_back(Json::parse(Request->body()));
                      Request->reply(200, "{}");
                    });
    this->Options.Node = "127.0.0.1:" + std::to_string(Node.port());
    this->Options.StartupTime = 1100ms;
    TargetServer Target(this->Events, this->Options);
    this->Events.runUntil([&] { return Announcements.size() >= 2; }, TestLimit);
    Target.setFaults({{"state", "leaving"}});
    this->Events.runUntil([&] { return Announcements.size() >= 3; }, TestLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Announcements.size());
    CPPUNIT_ASSERT_EQUAL(std::string("starting"),
                         Announcements[0].at("state").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("ready"),
                         Announcements[1].at("state").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"),
                         Announcements[2].at("state").get<std::string>());
    CPPUNIT_ASSERT_EQUAL("127.0.0.1:" + std::to_string(Target.port()),
                         Announcements[0].at("address").get<std::string>());
  }

  // Guards against a relay that loses bytes or does not interrupt the path.
  void relayAppliesAndClearsFaults() {
    TargetServer Target(this->Events, this->Options);
    RelayLink Link(this->Events, 0,
                   "127.0.0.1:" + std::to_string(Target.port()));
    std::string Get = makeRequest("GET /s/k1");
    CPPUNIT_ASSERT_EQUAL(std::string("200"),
                         this->call(Link.port(), Get)->status());
    for (const Json &Fault : {Json{{"silent", true}}, Json{{"hold", "to"}},
                              Json{{"hold", "from"}}}) {
      std::size_t Before = Target.log().size();
      Link.setFaults(Fault);
      auto Held = this->startCall(Link.port(), Get);
      this->runFor(50ms);
      CPPUNIT_ASSERT(Held->Text.empty() && !Held->Closed);
      // The operation runs only if just the answers are held.
      CPPUNIT_ASSERT_EQUAL(Before + (Fault.value("hold", "") == "from"),
                           Target.log().size());
      Link.setFaults({{"hold", "none"}});
      this->waitForClose(*Held);
      CPPUNIT_ASSERT_EQUAL(std::string("200"), Held->status());
    }
    Link.setFaults({{"delay_ms", 30}});
    Instant Start = readClock();
    CPPUNIT_ASSERT_EQUAL(std::string("200"),
                         this->call(Link.port(), Get)->status());
    CPPUNIT_ASSERT(readClock() - Start >= 60ms);
    Link.setFaults({{"delay_ms", 0}, {"cut", true}});
    CPPUNIT_ASSERT(this->call(Link.port(), Get)->Text.empty());
    Link.setFaults({{"cut", false}});
    CPPUNIT_ASSERT_EQUAL(std::string("200"),
                         this->call(Link.port(), Get)->status());
  }

  // Guards against a load generator that accepts the answer to another request.
  void loadCountsMisroutedAnswers() {
    TargetServer Target(this->Events, this->Options);
    HttpServer MisroutingServer(this->Events, 0,
                                [](const std::shared_ptr<Exchange> &Request) {
                                  Request->reply(200, R"({"key":"other"})");
                                });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         this->runLoad(Target.port()).misrouted());
    CPPUNIT_ASSERT(!Target.log().empty());
    CPPUNIT_ASSERT(this->runLoad(MisroutingServer.port()).misrouted() > 0);
  }

  // Guards against requests that become due during a stall and are sent after
  // their deadline, which would add load to the time after the stall.
  void loadDoesNotSendOverdueRequests() {
    this->Options.ServiceTime = 500ms;
    TargetServer Target(this->Events, this->Options);
    this->Load.Connections = 1;
    this->Load.Timeout = 100ms;
    std::ostringstream Text;
    this->runLoad(Target.port()).print(Text, 1s);
    CPPUNIT_ASSERT(Text.str().find("requests 40 ") != std::string::npos);
    CPPUNIT_ASSERT(Text.str().find("not sent in time") != std::string::npos);
    CPPUNIT_ASSERT(Target.log().size() < 10);
  }

private:
  std::unique_ptr<RawHttpClient> startCall(std::uint16_t Port,
                                           const std::string &Text) {
    return std::make_unique<RawHttpClient>(this->Events, Port, Text);
  }

  void waitForClose(RawHttpClient &Call) {
    CPPUNIT_ASSERT(
        this->Events.runUntil([&] { return Call.Closed; }, TestLimit));
  }

  std::unique_ptr<RawHttpClient> call(std::uint16_t Port,
                                      const std::string &Text) {
    auto Call = this->startCall(Port, Text);
    this->waitForClose(*Call);
    return Call;
  }

  void runFor(Duration Span) {
    this->Events.runUntil([] { return false; }, Span);
  }

  std::string put(const TargetServer &Target, int Fence) {
    return this
        ->call(Target.port(),
               makeRequest("PUT /s/k1", "v",
                           "Oriole-Fence: " + std::to_string(Fence) + "\r\n"))
        ->status();
  }

  std::string grant(const TargetServer &Target, int Member, int ValidMs) {
    Json Body{{"member", Member}, {"fence", 1}, {"valid_ms", ValidMs}};
    return this
        ->call(Target.port(), makeRequest("POST /oriole/grant", Body.dump()))
        ->status();
  }

  LoadReport runLoad(std::uint16_t Port) {
    this->Load.Entries = {"127.0.0.1:" + std::to_string(Port)};
    this->Load.Service = "s";
    this->Load.Rate = 200;
    this->Load.RunTime = 200ms;
    this->Load.PostShare = 0.5;
    LoadReport Report;
    LoadGenerator Generator(this->Events, this->Load, Report, nullptr);
    Generator.start();
    this->Events.run();
    return Report;
  }

  Loop Events;
  TargetOptions Options;
  LoadOptions Load;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinsTest);

} // namespace
} // namespace orioledoor::standins
