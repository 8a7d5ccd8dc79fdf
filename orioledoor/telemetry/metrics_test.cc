// Tests the text exposition format, the accuracy of the summaries' quantiles,
// and the counting of responses by status.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "orioledoor/telemetry/metrics.h"
#include "orioledoor/telemetry/response_metrics.h"

namespace orioledoor {
namespace {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(expositionIsExact);
  CPPUNIT_TEST(quantilesTrackTheDistribution);
  CPPUNIT_TEST(responsesAreCountedByStatus);
  CPPUNIT_TEST_SUITE_END();

public:
  // Dashboards depend on both forms of the status label.
  void responsesAreCountedByStatus() {
    MetricsRegistry Exact;
    ResponseMetrics ByStatus(Exact, StatusLabel::Exact);
    ByStatus.record(503, std::chrono::milliseconds(20));
    ByStatus.count(503);
    CPPUNIT_ASSERT(
        Exact.text().find("oriole_requests_total{status=\"503\"} 2\n") !=
        std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         Exact.summary("oriole_request_seconds").count());
    MetricsRegistry Classes;
    ResponseMetrics ByClass(Classes, StatusLabel::Class);
    ByClass.count(503);
    // A status above the known classes counts in the last one, 5xx.
    ByClass.count(700);
    CPPUNIT_ASSERT(
        Classes.text().find("oriole_requests_total{status=\"5xx\"} 2\n") !=
        std::string::npos);
    CPPUNIT_ASSERT(
        Classes.text().find("oriole_requests_total{status=\"2xx\"} 0\n") !=
        std::string::npos);
  }

  // Collectors reject a whole page if one line is malformed.
  void expositionIsExact() {
    MetricsRegistry Metrics;
    Metrics.counter("b_total", "status=\"200\"").add(2);
    Metrics.counter("a_total").add(1);
    Metrics.gauge("g").set(1.5);
    Metrics.summary("s", "k=\"v\"").observe(0.5);
    CPPUNIT_ASSERT_EQUAL(std::string("# TYPE a_total counter\na_total 1\n"
                                     "# TYPE b_total counter\n"
                                     "b_total{status=\"200\"} 2\n"
                                     "# TYPE g gauge\ng 1.5\n"
                                     "# TYPE s summary\n"
                                     "s{k=\"v\",quantile=\"0.5\"} 0.5\n"
                                     "s{k=\"v\",quantile=\"0.9\"} 0.5\n"
                                     "s{k=\"v\",quantile=\"0.99\"} 0.5\n"
                                     "s_sum{k=\"v\"} 0.5\n"
                                     "s_count{k=\"v\"} 1\n"),
                         Metrics.text());
  }

  // Observes 0 to 9999 in a shuffled order, which spans several windows. After
  // that, a change of the distribution must appear in the quantiles within two
  // windows.
  void quantilesTrackTheDistribution() {
    Summary Observed;
    for (int Index = 0; Index < 10'000; ++Index)
      Observed.observe(Index * 7919 % 10'000);
    CPPUNIT_ASSERT(std::abs(Observed.quantile(0.5) - 5000) < 300);
    CPPUNIT_ASSERT(std::abs(Observed.quantile(0.99) - 9900) < 150);
    for (int Index = 0; Index < 8192; ++Index)
      Observed.observe(7);
    CPPUNIT_ASSERT(std::abs(Observed.quantile(0.99) - 7) < 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{18'192}, Observed.count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
} // namespace orioledoor
