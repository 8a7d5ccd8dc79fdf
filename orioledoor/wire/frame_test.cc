// Tests the encoding of batches and the rejection of malformed ones.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/wire/frame.h"

namespace orioledoor::wire {
namespace {

std::string makeSampleBatch() {
  std::string Batch = startBatch("tcp://10.0.0.1:7000");
  appendFrame(Batch, Channel::Control, "renew");
  appendFrame(Batch, Channel::Requests, "");
  finishBatch(Batch, {.Epoch = 0xfffefdfc,
                      .Sequence = 2,
                      .AckEpoch = 3,
                      .AckSequence = 0x01020304,
                      .WantsAck = true});
  return Batch;
}

class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(roundTrip);
  CPPUNIT_TEST(truncatedBatchesAreRejected);
  CPPUNIT_TEST(unknownVersionIsUnimplemented);
  CPPUNIT_TEST(excessiveLengthsAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void roundTrip() {
    std::string Batch = makeSampleBatch();
    absl::StatusOr<BatchView> Parsed = parseBatch(Batch);
    CPPUNIT_ASSERT(Parsed.ok());
    BatchHeader Expected{0xfffefdfc, 2, 3, 0x01020304, true};
    CPPUNIT_ASSERT(Expected == Parsed->Header);
    CPPUNIT_ASSERT(Parsed->Sender == "tcp://10.0.0.1:7000");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Parsed->Frames.size());
    CPPUNIT_ASSERT(Parsed->Frames[0].Payload == "renew");
    CPPUNIT_ASSERT(Parsed->Frames[1].FrameChannel == Channel::Requests);
  }

  // Guards against reading past the end of a truncated message, which would
  // crash the node.
  void truncatedBatchesAreRejected() {
    std::string Batch = makeSampleBatch();
    for (std::size_t Length = 0; Length < Batch.size(); ++Length) {
      std::string Truncated = Batch.substr(0, Length);
      absl::StatusOr<BatchView> Parsed = parseBatch(Truncated);
      CPPUNIT_ASSERT(!Parsed.ok() || Parsed->Frames.size() < 2);
    }
  }

  void unknownVersionIsUnimplemented() {
    std::string Batch = makeSampleBatch();
    Batch[0] = 9;
    CPPUNIT_ASSERT(absl::IsUnimplemented(parseBatch(Batch).status()));
  }

  // Guards against trusting a length field of 4 GB.
  void excessiveLengthsAreRejected() {
    std::string Batch = startBatch("tcp://10.0.0.1:7000");
    Batch += std::string("\x01\xff\xff\xff\xff", 5) + "x";
    CPPUNIT_ASSERT(absl::IsInvalidArgument(parseBatch(Batch).status()));
    Batch = startBatch("");
    CPPUNIT_ASSERT(!parseBatch(Batch).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

} // namespace
} // namespace orioledoor::wire
