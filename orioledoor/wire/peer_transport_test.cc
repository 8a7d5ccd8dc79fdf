// Tests delivery between nodes and the detection of lost connections.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include <sys/socket.h>
#include <unistd.h>

#include "orioledoor/wire/peer_transport.h"
#include "orioledoor/wire/testing/loop.h"

namespace orioledoor::wire {
namespace {

constexpr char FirstAddress[] = "tcp://127.0.0.1:21103";
constexpr char SecondAddress[] = "tcp://127.0.0.1:21104";
constexpr std::uint16_t UnresponsivePort = 21105;
constexpr char UnresponsiveAddress[] = "tcp://127.0.0.1:21105";

// One node: its transport and a record of the callbacks.
struct Node {
  std::unique_ptr<PeerTransport> Transport;
  std::vector<std::string> Received;
  std::vector<std::uint64_t> NotSent;
  std::vector<std::string> Lost;
  std::vector<std::string> NewConnections;

  void open(testing::Loop &Events, const char *Address) {
    auto Opened = PeerTransport::open(
        Events.base(), {.Address = Address},
        {.OnFrame =
             [this](std::string_view From, Channel, std::string_view Payload) {
               this->Received.push_back(std::string(From) + ' ' +
                                        std::string(Payload.substr(0, 20)));
             },
         .OnNotSent = [this](std::string_view, Channel,
                             FrameTag Tag) { this->NotSent.push_back(Tag.Id); },
         .OnConnectionLost =
             [this](std::string_view Peer) { this->Lost.emplace_back(Peer); },
         .OnNewConnection =
             [this](std::string_view Peer) {
               this->NewConnections.emplace_back(Peer);
             },
         .OnLog = {}});
    CPPUNIT_ASSERT(Opened.ok());
    this->Transport = *std::move(Opened);
  }
};

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(framesOfOneLoopIterationShareAMessage);
  CPPUNIT_TEST(framesToUnreachablePeersAreNotSent);
  CPPUNIT_TEST(framesAreUndeliveredUntilTheyAreAcknowledged);
  CPPUNIT_TEST(oversizedPayloadIsNotSent);
  CPPUNIT_TEST(restartedPeerIsReportedLostAndRedialed);
  CPPUNIT_TEST(newConnectionFromAPeerIsReported);
  CPPUNIT_TEST(unresponsiveConnectionIsReportedLost);
  CPPUNIT_TEST(idlePeersAreNotPinged);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->A.open(this->Events, FirstAddress); }
  void tearDown() override {
    this->A = {};
    this->B = {};
  }

  bool runUntil(const std::function<bool()> &Done) {
    return this->Events.runUntil(Done, [this] {
      Instant Now = readClock();
      for (Node *Endpoint : {&this->A, &this->B})
        if (Endpoint->Transport)
          Endpoint->Transport->tick(Now);
    });
  }

  void framesOfOneLoopIterationShareAMessage() {
    this->B.open(this->Events, SecondAddress);
    for (int I = 0; I < 100; ++I)
      this->A.Transport->send(SecondAddress, Channel::Control, "hello");
    CPPUNIT_ASSERT(
        this->runUntil([this] { return this->B.Received.size() == 100; }));
    CPPUNIT_ASSERT_EQUAL(std::string(FirstAddress) + " hello",
                         this->B.Received[0]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100},
                         this->A.Transport->counters().Control.FramesOut);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000},
                         this->B.Transport->counters().Control.BytesIn);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         this->A.Transport->counters().BatchesOut);
  }

  // Guards against reporting a frame as not sent although it may have been,
  // since such a frame may be sent to another owner.
  void framesToUnreachablePeersAreNotSent() {
    this->A.Transport->send(SecondAddress, Channel::Requests, "x", {1, 7});
    this->A.Transport->send("nonsense", Channel::Requests, "x", {1, 8});
    CPPUNIT_ASSERT(
        this->runUntil([this] { return this->A.NotSent.size() == 2; }));
    CPPUNIT_ASSERT((this->A.NotSent == std::vector<std::uint64_t>{8, 7}));
    CPPUNIT_ASSERT(this->A.Lost.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         this->A.Transport->undeliveredFrames());
  }

  // Guards against a process that exits before its last frames have arrived.
  void framesAreUndeliveredUntilTheyAreAcknowledged() {
    this->B.open(this->Events, SecondAddress);
    this->A.Transport->send(SecondAddress, Channel::Control, "result");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->A.Transport->undeliveredFrames());
    CPPUNIT_ASSERT(
        this->runUntil([this] { return !this->B.Received.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         this->A.Transport->undeliveredFrames());
    CPPUNIT_ASSERT(this->runUntil(
        [this] { return this->A.Transport->undeliveredFrames() == 0; }));
  }

  void oversizedPayloadIsNotSent() {
    this->B.open(this->Events, SecondAddress);
    this->A.Transport->send(SecondAddress, Channel::Control,
                            std::string(MaxPayloadBytes + 1, 'x'), {1, 1});
    this->A.Transport->send(SecondAddress, Channel::Control,
                            std::string(MaxPayloadBytes, 'x'), {1, 2});
    CPPUNIT_ASSERT(
        this->runUntil([this] { return !this->B.Received.empty(); }));
    CPPUNIT_ASSERT((this->A.NotSent == std::vector<std::uint64_t>{1}));
  }

  void restartedPeerIsReportedLostAndRedialed() {
    this->B.open(this->Events, SecondAddress);
    this->A.Transport->send(SecondAddress, Channel::Control, "one");
    CPPUNIT_ASSERT(
        this->runUntil([this] { return this->B.Received.size() == 1; }));
    this->B = {};
    CPPUNIT_ASSERT(this->runUntil([this] { return this->A.Lost.size() == 1; }));
    this->B.open(this->Events, SecondAddress);
    this->A.Transport->send(SecondAddress, Channel::Control, "two");
    CPPUNIT_ASSERT(
        this->runUntil([this] { return this->B.Received.size() == 1; }));
  }

  // Guards against frames that are lost without a sign to their recipient,
  // whose own connection to the sender is not affected.
  void newConnectionFromAPeerIsReported() {
    // Both directions are connected after it, since the shutdown of nng may
    // wait for a connection that is being established.
    auto Exchange = [this] {
      this->A.Transport->send(SecondAddress, Channel::Control, "request");
      CPPUNIT_ASSERT(
          this->runUntil([this] { return this->B.Received.size() == 1; }));
      std::size_t Before = this->A.Received.size();
      for (std::size_t Count : {Before + 1, Before + 2}) {
        this->B.Transport->send(FirstAddress, Channel::Control, "result");
        CPPUNIT_ASSERT(this->runUntil(
            [this, Count] { return this->A.Received.size() == Count; }));
      }
    };
    this->B.open(this->Events, SecondAddress);
    Exchange();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->A.NewConnections.size());
    this->B = {};
    CPPUNIT_ASSERT(this->runUntil([this] { return this->A.Lost.size() == 1; }));
    this->B.open(this->Events, SecondAddress);
    Exchange();
    CPPUNIT_ASSERT((this->A.NewConnections ==
                    std::vector<std::string>{SecondAddress, SecondAddress}));
  }

  // Guards against a connection that accepts data and never delivers it, which
  // looks healthy to TCP for many minutes. The listener completes the handshake
  // of nng and then reads nothing.
  void unresponsiveConnectionIsReportedLost() {
    int Listener = testing::listenOn(UnresponsivePort);
    this->A.Transport->send(UnresponsiveAddress, Channel::Control, "renew");
    int Connection = -1;
    Instant Start = readClock();
    CPPUNIT_ASSERT(this->runUntil([&] {
      if (Connection < 0) {
        Connection =
            accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        // The handshake of a PULL socket (protocol 81).
        if (Connection >= 0)
          testing::sendAll(Connection, std::string_view("\0SP\0\0\x51\0\0", 8));
      }
      return !this->A.Lost.empty();
    }));
    Duration Elapsed = readClock() - Start;
    CPPUNIT_ASSERT_EQUAL(std::string(UnresponsiveAddress), this->A.Lost[0]);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->A.Transport->counters().Pings);
    CPPUNIT_ASSERT(Elapsed < std::chrono::milliseconds(900));
    close(Connection);
    close(Listener);
  }

  // Guards against pinging peers that answer, which would increase the control
  // traffic.
  void idlePeersAreNotPinged() {
    this->B.open(this->Events, SecondAddress);
    this->A.Transport->send(SecondAddress, Channel::Control, "one-way");
    Instant Start = readClock();
    this->runUntil(
        [&] { return readClock() - Start > std::chrono::milliseconds(1500); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, this->A.Transport->counters().Pings);
    CPPUNIT_ASSERT(this->A.Lost.empty());
    CPPUNIT_ASSERT(this->B.Lost.empty());
  }

private:
  testing::Loop Events;
  Node A;
  Node B;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

} // namespace
} // namespace orioledoor::wire
