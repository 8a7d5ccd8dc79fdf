// Tests that the wire format of request messages keeps every field and that
// malformed input is rejected.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/requests/message_codec.h"

namespace orioledoor::requests {
namespace {

Forward sampleForward() {
  Forward Value;
  Value.EntryId = 0xfedcba9876543210;
  Value.RequestId = 7;
  Value.ReplyTo = "tcp://127.0.0.1:9";
  Value.Slice = SliceRef{ServiceId{5}, 6};
  Value.History = 99;
  Value.HistoryAge = Duration(77);
  Value.Request =
      std::make_shared<HttpRequest>(HttpRequest{"POST",
                                                "licencias",
                                                "font-17",
                                                "/seats?n=2",
                                                {{"A", "b"}},
                                                std::string("x\0y", 3)});
  Value.OperationId = "op";
  Value.Attempt = 2;
  Value.Age = Duration(1234);
  Value.Digest = 11;
  Value.Remaining = Duration(5000);
  Value.Hops = 1;
  return Value;
}

class MessageCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageCodecTest);
  CPPUNIT_TEST(roundTripKeepsEveryField);
  CPPUNIT_TEST(malformedInputReturnsError);
  CPPUNIT_TEST_SUITE_END();

public:
  // A lost field could, for example, turn a resend into a first send. Encoding
  // the decoded message again compares all fields at once.
  void roundTripKeepsEveryField() {
    Answer SampleAnswer{1,
                        2,
                        Outcome::Ran,
                        RetryAdvice::Free,
                        3,
                        Duration(8),
                        {200, {{"N", "v"}}, "body"},
                        MemberId{4},
                        Fence{5},
                        "step",
                        "peer"};
    for (const Message &Value :
         {Message(sampleForward()), Message(SampleAnswer),
          Message(Cancel{1, 2}), Message(CrashNotice{3, 4, false})}) {
      std::string Bytes = encodeMessage(Value);
      absl::StatusOr<Message> Decoded = decodeMessage(Bytes);
      CPPUNIT_ASSERT(Decoded.ok());
      CPPUNIT_ASSERT_EQUAL(Value.index(), Decoded->index());
      CPPUNIT_ASSERT(encodeMessage(*Decoded) == Bytes);
    }
    auto Decoded =
        std::get<Forward>(*decodeMessage(encodeMessage(sampleForward())));
    CPPUNIT_ASSERT(Decoded.Age == Duration(1234));
    CPPUNIT_ASSERT_EQUAL(std::string("x\0y", 3), Decoded.Request->Body);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, Decoded.Attempt);
  }

  // An exception or a crash on malformed input would let one peer stop another.
  void malformedInputReturnsError() {
    std::string Bytes = encodeMessage(sampleForward());
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeMessage(Bytes.substr(0, Size)).ok());
    CPPUNIT_ASSERT(!decodeMessage(Bytes + "x").ok());
    CPPUNIT_ASSERT(!decodeMessage("\xdd\xff\xff\xff\xff").ok());
    CPPUNIT_ASSERT(!decodeMessage("\x93\x09\x01\x02").ok());
    for (std::size_t Position = 0; Position < Bytes.size(); ++Position) {
      std::string Corrupted = Bytes;
      Corrupted[Position] = static_cast<char>(Corrupted[Position] ^ 0x55);
      absl::StatusOr<Message> Ignored = decodeMessage(Corrupted);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecTest);

} // namespace
} // namespace orioledoor::requests
