// Guards the exposition format and the accuracy of the summaries.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "orioledoor/telemetry/answer_metrics.h"
#include "orioledoor/telemetry/metrics.h"

namespace orioledoor {
namespace {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(expositionIsExact);
  CPPUNIT_TEST(quantilesFollowTheData);
  CPPUNIT_TEST(answersAreCountedByStatus);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards the two forms of the label, which dashboards rest on.
  void answersAreCountedByStatus() {
    MetricsRegistry Exact;
    AnswerMetrics ByStatus(Exact, StatusLabel::Exact);
    ByStatus.note(503, std::chrono::milliseconds(20));
    ByStatus.count(503);
    CPPUNIT_ASSERT(
        Exact.text().find("oriole_requests_total{status=\"503\"} 2\n") !=
        std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         Exact.summary("oriole_request_seconds").count());
    MetricsRegistry Classes;
    AnswerMetrics ByClass(Classes, StatusLabel::Hundreds);
    ByClass.count(503);
    // No such class: counted with the last one.
    ByClass.count(700);
    CPPUNIT_ASSERT(
        Classes.text().find("oriole_requests_total{status=\"5xx\"} 2\n") !=
        std::string::npos);
    CPPUNIT_ASSERT(
        Classes.text().find("oriole_requests_total{status=\"2xx\"} 0\n") !=
        std::string::npos);
  }

  // Collectors refuse a page with one malformed line.
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

  // 0..9999 in a scattered order; also across the change of windows. A shift
  // of the data must show within two windows.
  void quantilesFollowTheData() {
    Summary Times;
    for (int Each = 0; Each < 10'000; ++Each)
      Times.observe(Each * 7919 % 10'000);
    CPPUNIT_ASSERT(std::abs(Times.quantile(0.5) - 5000) < 300);
    CPPUNIT_ASSERT(std::abs(Times.quantile(0.99) - 9900) < 150);
    for (int Each = 0; Each < 8192; ++Each)
      Times.observe(7);
    CPPUNIT_ASSERT(std::abs(Times.quantile(0.99) - 7) < 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{18'192}, Times.count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
} // namespace orioledoor
