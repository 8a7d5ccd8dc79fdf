// Tests the stored form of catalogues and audit records: encoding and decoding
// preserve every field, and corrupt values are rejected.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/catalogue/audit_record.h"
#include "orioledoor/catalogue/published_catalogue.h"
#include "orioledoor/store/keys.h"

namespace orioledoor {
namespace {

class PublishedCatalogueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PublishedCatalogueTest);
  CPPUNIT_TEST(catalogueRoundTrips);
  CPPUNIT_TEST(auditRecordsRoundTrip);
  CPPUNIT_TEST(auditKeysSortByTime);
  CPPUNIT_TEST(rejectsCorruptValues);
  CPPUNIT_TEST_SUITE_END();

  const AuditRecord Record{5, "ana", "apply", "catalogue", "1", "2", "", "ok"};

public:
  void catalogueRoundTrips() {
    PublishedCatalogue Value{7,         "a1",      "ana",
                             123456789, "\"why\"", "a: 1\n# \xc3\xa9 \\ \t\n"};
    auto Decoded = decodePublishedCatalogue(encodePublishedCatalogue(Value));
    CPPUNIT_ASSERT(Decoded.ok());
    CPPUNIT_ASSERT_EQUAL(Value.Revision, Decoded->Revision);
    CPPUNIT_ASSERT_EQUAL(Value.ApplyId, Decoded->ApplyId);
    CPPUNIT_ASSERT_EQUAL(Value.TimeMicros, Decoded->TimeMicros);
    CPPUNIT_ASSERT_EQUAL(Value.Author, Decoded->Author);
    CPPUNIT_ASSERT_EQUAL(Value.Comment, Decoded->Comment);
    CPPUNIT_ASSERT_EQUAL(Value.Text, Decoded->Text);
  }

  void auditRecordsRoundTrip() {
    auto One = decodeAuditRecord(encodeAuditRecord(this->Record));
    CPPUNIT_ASSERT(One.ok() && *One == this->Record);
    std::vector<AuditRecord> Batch{this->Record, this->Record};
    Batch[1].Actor = "rule: member lost";
    auto Both = decodeAuditRecords(encodeAuditRecords(Batch));
    CPPUNIT_ASSERT(Both.ok() && *Both == Batch);
    // A name that is not valid UTF-8 must not make encoding fail.
    AuditRecord NonUtf8 = this->Record;
    NonUtf8.Actor = "\xff";
    CPPUNIT_ASSERT(decodeAuditRecord(encodeAuditRecord(NonUtf8)).ok());
  }

  void auditKeysSortByTime() {
    CPPUNIT_ASSERT_EQUAL(std::string(keys::AuditPrefix) +
                             "0000000000000005-00000000000000ff",
                         auditKey(5, 255));
    CPPUNIT_ASSERT(auditKey(1'800'000'000'000'000, 9) <
                   auditKey(1'800'000'000'000'001, 1));
  }

  void rejectsCorruptValues() {
    CPPUNIT_ASSERT(!decodePublishedCatalogue("").ok());
    CPPUNIT_ASSERT(!decodePublishedCatalogue("{\"revision\":1}").ok());
    CPPUNIT_ASSERT(!decodePublishedCatalogue("[]").ok());
    CPPUNIT_ASSERT(!decodeAuditRecords("5").ok());
    CPPUNIT_ASSERT(!decodeAuditRecords("{\"actor\":1}").ok());
    CPPUNIT_ASSERT(!decodeAuditRecord("[]").ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublishedCatalogueTest);

} // namespace
} // namespace orioledoor
