// Checks that every field of a message is transmitted and that malformed input
// is rejected without a crash.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/ownership/message_codec.h"

namespace orioledoor::ownership {
namespace {

class MessageCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageCodecTest);
  CPPUNIT_TEST(everyFieldRoundTrips);
  CPPUNIT_TEST(malformedInputIsRejected);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<Message> samples() {
    SliceRef Slice{ServiceId{9}, 4095};
    Versions Held{1ULL << 40, 7};
    return {Renew{MemberId{1}, 2, Instant(-3), 4, true, Held},
            Grant{MemberId{1}, 2, Instant(3), Duration(800'000), Held},
            Refuse{MemberId{1}, true, Held},
            Facts{{Release{MemberId{1}, MemberId{2}, 3, 4}},
                  {MemberId{5}},
                  {MemberId{6}, MemberId{7}},
                  Held},
            VersionNotice{Held},
            AssignmentUpdate{8, std::string("\0\xff", 2)},
            Promise{MemberId{1}, 4, 5, {MemberId{9}}},
            PromiseWithdrawn{5},
            Consent{MemberId{1}, MemberId{2}, 3},
            Yield{MemberId{1}, Slice, Fence{2}, "table"},
            LoadReport{MemberId{1}, 2.5, {ReportedLoad{Slice, 0.25}}, true},
            SpendGrant{ServiceId{1}, 2, 3}};
  }

public:
  // A field that the codec drops or swaps changes the second encoding.
  void everyFieldRoundTrips() {
    for (const Message &Sample : samples()) {
      std::string Bytes = encodeMessage(Sample);
      absl::StatusOr<Message> Decoded = decodeMessage(Bytes);
      CPPUNIT_ASSERT(Decoded.ok());
      CPPUNIT_ASSERT_EQUAL(Sample.index(), Decoded->index());
      CPPUNIT_ASSERT(encodeMessage(*Decoded) == Bytes);
    }
    auto Decoded = decodeMessage(encodeMessage(samples()[0]));
    const Renew &Read = std::get<Renew>(*Decoded);
    CPPUNIT_ASSERT(Read.SentAt == Instant(-3) && Read.HoldsPermission);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, Read.LastGrant);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Read.HeldVersions.Catalogue);
  }

  // Truncation at every length, inversion of every byte, and an array header
  // that declares 4 billion elements must neither throw nor exhaust memory.
  void malformedInputIsRejected() {
    for (const Message &Sample : samples()) {
      std::string Bytes = encodeMessage(Sample);
      for (std::size_t I = 0; I < Bytes.size(); ++I) {
        CPPUNIT_ASSERT(!decodeMessage(Bytes.substr(0, I)).ok());
        std::string Flipped = Bytes;
        Flipped[I] = static_cast<char>(~Flipped[I]);
        (void)decodeMessage(Flipped);
      }
      CPPUNIT_ASSERT(!decodeMessage(Bytes + "x").ok());
    }
    CPPUNIT_ASSERT(!decodeMessage("\xdd\xff\xff\xff\xff").ok());
    CPPUNIT_ASSERT(!decodeMessage(std::string(100'000, '\x91')).ok());
    CPPUNIT_ASSERT(!decodeMessage("\x91\x63").ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageCodecTest);

} // namespace
} // namespace orioledoor::ownership
