// Guards the judgement whether a connection is lost, without a network.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/wire/internal/peer.h"

namespace orioledoor::wire::internal {
namespace {

using std::chrono::milliseconds;

constexpr Duration Timeout = milliseconds(300);

class PeerSupervisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerSupervisionTest);
  CPPUNIT_TEST(silentPeerIsLostInTime);
  CPPUNIT_TEST(slowLinkIsNotTakenForALostOne);
  CPPUNIT_TEST(progressKeepsAConnection);
  CPPUNIT_TEST(newConnectionStartsWithoutDebt);
  CPPUNIT_TEST_SUITE_END();

public:
  void silentPeerIsLostInTime() {
    Peer Of = this->pinged(100);
    CPPUNIT_ASSERT(!Of.pingTimedOut(this->Now + milliseconds(299), Timeout));
    CPPUNIT_ASSERT(Of.pingTimedOut(this->Now + milliseconds(310), Timeout));
  }

  // Pattern: uploads fill the link of a small VM. Bodies of 60 KB need a second
  // each when its link is shared; a ping behind them is late, not lost. A
  // connection that is closed for it loses every answer on its way.
  void slowLinkIsNotTakenForALostOne() {
    Peer Of = this->pinged(60'000);
    CPPUNIT_ASSERT(!Of.pingTimedOut(this->Now + milliseconds(1000), Timeout));
    CPPUNIT_ASSERT(Of.pingTimedOut(this->Now + milliseconds(1300), Timeout));
    // Whatever was sent, a silent connection is found within a bound.
    Of = this->pinged(8'000'000);
    CPPUNIT_ASSERT(Of.pingTimedOut(this->Now + milliseconds(3300), Timeout));
  }

  void progressKeepsAConnection() {
    Peer Of = this->pinged(100, 3);
    Of.noteAcknowledged(1, this->Now + milliseconds(250));
    CPPUNIT_ASSERT(!Of.pingTimedOut(this->Now + milliseconds(540), Timeout));
    // The same acknowledgement again is no progress.
    Of.noteAcknowledged(1, this->Now + milliseconds(530));
    CPPUNIT_ASSERT(Of.pingTimedOut(this->Now + milliseconds(560), Timeout));
    Of.noteAcknowledged(3, this->Now + milliseconds(560));
    CPPUNIT_ASSERT(!Of.PingedAt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Of.BytesInFlight);
  }

  void newConnectionStartsWithoutDebt() {
    Peer Of = this->pinged(60'000);
    Of.PingedAt.reset();
    Of.noteDialled(7, this->Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Of.BytesInFlight);
    CPPUNIT_ASSERT(!Of.isOverdue(this->Now + milliseconds(5000), Timeout));
  }

private:
  // A peer that was sent batches of a size, the last one with a ping.
  Peer pinged(std::size_t Bytes, int Batches = 1) const {
    Peer Of;
    Of.noteDialled(1, this->Now);
    for (int I = 0; I < Batches; ++I)
      Of.noteSent(Bytes);
    Of.LastWithFrames = Of.PingSequence = Of.Sequence;
    Of.PingedAt = Of.UnacknowledgedSince = this->Now;
    return Of;
  }

  Instant Now{std::int64_t{1'000'000}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSupervisionTest);

} // namespace
} // namespace orioledoor::wire::internal
