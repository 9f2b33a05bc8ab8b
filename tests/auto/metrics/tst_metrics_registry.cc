// The text form of counters, gauges, summaries and histograms.
#include <doctest/doctest.h>

#include <string>
#include <vector>

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

TEST_CASE("gauges whose labels change are made anew for each text") {
  MetricsRegistry registry;
  std::vector<MetricsRegistry::GaugeSample> rows;
  registry.AddGauges("workers", "Workers.", [&rows] { return rows; });
  CHECK(registry.ToText() == "# HELP workers Workers.\n# TYPE workers gauge\n");
  rows = {{{{"belief", "silent"}}, 2}, {{{"belief", "usable"}}, 7}};
  CHECK(registry.ToText() ==
        "# HELP workers Workers.\n"
        "# TYPE workers gauge\n"
        "workers{belief=\"silent\"} 2\n"
        "workers{belief=\"usable\"} 7\n");
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

TEST_CASE("a value on a bound counts to the bucket of that bound") {
  struct Row {
    milliseconds value;
    // The first bucket that holds it; zero for none.
    milliseconds bound;
  };
  const std::vector<Row> rows = {
      {milliseconds(0), milliseconds(1)},
      {milliseconds(1), milliseconds(1)},
      {milliseconds(3), milliseconds(5)},
      {milliseconds(5), milliseconds(5)},
      {milliseconds(60000), milliseconds(60000)},
      {milliseconds(60001), milliseconds(0)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.value.count());
    Histogram histogram;
    histogram.Observe(row.value);
    CHECK(histogram.count() == 1);
    CHECK(histogram.sum() == row.value);
    milliseconds first{0};
    for (const Histogram::Bucket& bucket : histogram.buckets()) {
      if (bucket.count == 0) continue;
      first = std::chrono::round<milliseconds>(bucket.bound);
      break;
    }
    CHECK(first == row.bound);
  }
}

TEST_CASE("a histogram shows rising buckets, the sum and the count") {
  MetricsRegistry registry;
  Histogram& histogram =
      registry.histogram("wait_seconds", "Wait.", {{"kind", "gang"}});
  histogram.Observe(milliseconds(5));
  histogram.Observe(milliseconds(1500));
  const std::string text = registry.ToText();
  for (const char* line :
       {"# TYPE wait_seconds histogram\n",
        "wait_seconds_bucket{kind=\"gang\",le=\"0.002\"} 0\n",
        "wait_seconds_bucket{kind=\"gang\",le=\"0.005\"} 1\n",
        "wait_seconds_bucket{kind=\"gang\",le=\"2\"} 2\n",
        "wait_seconds_bucket{kind=\"gang\",le=\"+Inf\"} 2\n",
        "wait_seconds_sum{kind=\"gang\"} 1.505\n",
        "wait_seconds_count{kind=\"gang\"} 2\n"}) {
    CAPTURE(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE("counters kept elsewhere show all their digits") {
  MetricsRegistry registry;
  registry.AddCounter("bytes_total", "Bytes.", {}, [] { return 123456789.0; });
  CHECK(registry.ToText() ==
        "# HELP bytes_total Bytes.\n# TYPE bytes_total counter\n"
        "bytes_total 123456789\n");
}

}  // namespace
}  // namespace thornplank
