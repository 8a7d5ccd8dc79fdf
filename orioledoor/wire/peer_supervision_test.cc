// Tests how Peer decides that a connection is lost, without a network.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/wire/internal/peer.h"

namespace orioledoor::wire::internal {
namespace {

using std::chrono::milliseconds;

constexpr Duration Timeout = milliseconds(300);

class PeerSupervisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerSupervisionTest);
  CPPUNIT_TEST(unansweredPingTimesOut);
  CPPUNIT_TEST(bytesInFlightExtendThePingTimeout);
  CPPUNIT_TEST(acknowledgmentRestartsThePingTimeout);
  CPPUNIT_TEST(repeatedAcknowledgmentsDoNotDelayThePing);
  CPPUNIT_TEST(newConnectionHasNothingInFlight);
  CPPUNIT_TEST_SUITE_END();

public:
  void unansweredPingTimesOut() {
    Peer Remote = this->makePingedPeer(100);
    CPPUNIT_ASSERT(
        !Remote.pingTimedOut(this->Now + milliseconds(299), Timeout));
    CPPUNIT_ASSERT(Remote.pingTimedOut(this->Now + milliseconds(310), Timeout));
  }

  // Guards against closing a slow but live connection, which loses every answer
  // in flight. Uploads saturate the link of a small VM: bodies of 60 KB take a
  // second each on a shared link, and a ping queued behind them arrives late.
  void bytesInFlightExtendThePingTimeout() {
    Peer Remote = this->makePingedPeer(60'000);
    CPPUNIT_ASSERT(
        !Remote.pingTimedOut(this->Now + milliseconds(1000), Timeout));
    CPPUNIT_ASSERT(
        Remote.pingTimedOut(this->Now + milliseconds(1300), Timeout));
    // A dead connection is detected within a bounded time however much was
    // sent.
    Remote = this->makePingedPeer(8'000'000);
    CPPUNIT_ASSERT(
        Remote.pingTimedOut(this->Now + milliseconds(3300), Timeout));
  }

  void acknowledgmentRestartsThePingTimeout() {
    Peer Remote = this->makePingedPeer(100, 3);
    Remote.recordAcknowledgment(1, this->Now + milliseconds(250));
    CPPUNIT_ASSERT(
        !Remote.pingTimedOut(this->Now + milliseconds(540), Timeout));
    // A repeated acknowledgment is not progress.
    Remote.recordAcknowledgment(1, this->Now + milliseconds(530));
    CPPUNIT_ASSERT(Remote.pingTimedOut(this->Now + milliseconds(560), Timeout));
    Remote.recordAcknowledgment(3, this->Now + milliseconds(560));
    CPPUNIT_ASSERT(!Remote.PingSentAt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Remote.BytesInFlight);
  }

  // Guards against a connection that is silent in one direction and is not
  // noticed while the peer goes on sending in the other one.
  void repeatedAcknowledgmentsDoNotDelayThePing() {
    Peer Remote = this->makePingedPeer(100, 2);
    Remote.PingSentAt.reset();
    Remote.recordAcknowledgment(1, this->Now);
    for (int Millis = 50; Millis < 250; Millis += 50)
      Remote.recordAcknowledgment(1, this->Now + milliseconds(Millis));
    CPPUNIT_ASSERT(
        !Remote.isOverdue(this->Now + milliseconds(240), milliseconds(250)));
    CPPUNIT_ASSERT(
        Remote.isOverdue(this->Now + milliseconds(250), milliseconds(250)));
  }

  void newConnectionHasNothingInFlight() {
    Peer Remote = this->makePingedPeer(60'000);
    Remote.PingSentAt.reset();
    Remote.resetForNewConnection(7, this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Remote.BytesInFlight);
    CPPUNIT_ASSERT(!Remote.isOverdue(this->Now + milliseconds(5000), Timeout));
  }

private:
  // Returns a peer with Batches unacknowledged batches of Bytes bytes each, the
  // last of which is a ping.
  Peer makePingedPeer(std::size_t Bytes, int Batches = 1) const {
    Peer Remote;
    Remote.resetForNewConnection(1, this->Now);
    for (int I = 0; I < Batches; ++I)
      Remote.recordSentBatch(Bytes, 1);
    Remote.LastSequenceWithFrames = Remote.PingSequence =
        Remote.LastSentSequence;
    Remote.PingSentAt = Remote.UnackedSince = this->Now;
    return Remote;
  }

  Instant Now{std::int64_t{1'000'000}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSupervisionTest);

} // namespace
} // namespace orioledoor::wire::internal
