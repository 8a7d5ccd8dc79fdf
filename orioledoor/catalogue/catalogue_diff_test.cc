// Tests that a diff lists every changed field, and that a replacement that
// would move keys to other owners is rejected.
#include <cppunit/extensions/HelperMacros.h>

#include "orioledoor/catalogue/catalogue.h"
#include "orioledoor/catalogue/catalogue_diff.h"

namespace orioledoor {
namespace {

ServiceEntry makeService(std::string_view Name) {
  ServiceEntry Entry;
  Entry.Name = Name;
  Entry.Id = serviceIdOf(Name);
  return Entry;
}

Catalogue makeCatalogue() {
  Catalogue Result;
  Result.Deployment = "desk";
  Result.Services = {makeService("consulta"), makeService("registro")};
  Result.Regions = {{"ebro"}, {"norte"}};
  return Result;
}

class CatalogueDiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogueDiffTest);
  CPPUNIT_TEST(listsEveryField);
  CPPUNIT_TEST(ignoresOrder);
  CPPUNIT_TEST(listsAddedAndRemovedEntries);
  CPPUNIT_TEST(rejectsReplacementsThatMoveKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void listsEveryField() {
    Catalogue New = makeCatalogue();
    ServiceEntry &Entry = New.Services[0];
    Entry.Owner = "office";
    Entry.Class = ServiceClass::Batch;
    Entry.DividedByKey = true;
    Entry.Slices = 8;
    Entry.Limits = {.RequestsPerSecond = 2.5,
                    .MaxBodyBytes = 3000,
                    .MaxTimeout = std::chrono::milliseconds(1500),
                    .SpendPerDay = 9,
                    .RetryRatio = 0.5,
                    .MaxTries = 1};
    Entry.IdempotentMethods.emplace_back("PUT");
    New.Deployment = "desk2";
    New.Regions[1].State = RegionState::Lost;
    New.Weights = {2, 3, 4};
    std::vector<CatalogueChange> Changes = diffCatalogues(makeCatalogue(), New);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, Changes.size());
    auto Contains = [&](std::string_view Line) {
      return std::ranges::find(Changes, Line, &CatalogueChange::describe) !=
             Changes.end();
    };
    CPPUNIT_ASSERT(
        Contains("services.consulta.limits.max_body: 1MiB -> 3000B"));
    CPPUNIT_ASSERT(
        Contains("services.consulta.limits.max_timeout: 30s -> 1500ms"));
    CPPUNIT_ASSERT(Contains(
        "services.consulta.limits.requests_per_second: unlimited -> 2.5"));
    CPPUNIT_ASSERT(Contains("regions.norte.state: active -> lost"));
  }

  void ignoresOrder() {
    Catalogue New = makeCatalogue();
    std::swap(New.Services[0], New.Services[1]);
    std::swap(New.Regions[0], New.Regions[1]);
    CPPUNIT_ASSERT(diffCatalogues(makeCatalogue(), New).empty());
  }

  void listsAddedAndRemovedEntries() {
    Catalogue New = makeCatalogue();
    New.Regions.pop_back();
    std::vector<CatalogueChange> Removed{
        {"regions.norte.state", "active", "none"}};
    CPPUNIT_ASSERT(diffCatalogues(makeCatalogue(), New) == Removed);
    std::vector<CatalogueChange> Added{
        {"regions.norte.state", "none", "active"}};
    CPPUNIT_ASSERT(diffCatalogues(New, makeCatalogue()) == Added);
  }

  void rejectsReplacementsThatMoveKeys() {
    Catalogue New = makeCatalogue();
    CPPUNIT_ASSERT(checkReplacement(makeCatalogue(), New).ok());
    New.Services[0].Slices = 8192;
    CPPUNIT_ASSERT(checkReplacement(makeCatalogue(), New).code() ==
                   absl::StatusCode::kFailedPrecondition);
    New.Services.erase(New.Services.begin());
    CPPUNIT_ASSERT(checkReplacement(makeCatalogue(), New).ok());
    New.Deployment = "cooperatives";
    CPPUNIT_ASSERT(checkReplacement(makeCatalogue(), New).code() ==
                   absl::StatusCode::kFailedPrecondition);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogueDiffTest);

} // namespace
} // namespace orioledoor
