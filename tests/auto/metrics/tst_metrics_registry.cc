// The text form of counters, gauges and summaries.
#include <doctest/doctest.h>

#include "metrics/metrics_registry.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the same name and labels give the same counter") {
  MetricsRegistry registry;
  registry.counter("requests_total", "Requests.", {{"outcome", "answered"}})
      .Add(2);
  registry.counter("requests_total", "Requests.", {{"outcome", "answered"}})
      .Add();
  registry.counter("requests_total", "Requests.", {{"outcome", "not-run"}});
  CHECK(registry.ToText() ==
        "# HELP requests_total Requests.\n"
        "# TYPE requests_total counter\n"
        "requests_total{outcome=\"answered\"} 3\n"
        "requests_total{outcome=\"not-run\"} 0\n");
}

TEST_CASE("label values are escaped") {
  MetricsRegistry registry;
  registry.AddGauge("depth", "Depth.", {{"name", "a\"b\\c\nd"}},
                    [] { return 1.5; });
  CHECK(registry.ToText().find("depth{name=\"a\\\"b\\\\c\\nd\"} 1.5\n") !=
        std::string::npos);
}

TEST_CASE("a summary gives count, sum and quantiles") {
  Summary summary;
  CHECK(summary.quantile(0.5) == Duration::zero());
  for (int i = 1; i <= 1000; ++i) summary.Observe(milliseconds(i));
  CHECK(summary.count() == 1000);
  CHECK(summary.sum() == milliseconds(500500));
  CHECK(summary.quantile(0.5) > milliseconds(450));
  CHECK(summary.quantile(0.5) < milliseconds(550));
  CHECK(summary.quantile(0.99) > milliseconds(960));
}

}  // namespace
}  // namespace thornplank
