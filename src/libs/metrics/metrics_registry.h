// Counters, gauges, summaries and histograms, and their export in the
// Prometheus text format 0.0.4.
//
// Summaries estimate quantiles by the P-square algorithm (Boost.Accumulators)
// for a single process. Histograms (Boost.Histogram) can be added up over
// processes.
#ifndef THORNPLANK_METRICS_METRICS_REGISTRY_H_
#define THORNPLANK_METRICS_METRICS_REGISTRY_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"

namespace thornplank {

class Counter {
 public:
  void Add(uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

// Distribution of durations: count, sum and the quantiles 0.5, 0.9 and 0.99, in
// seconds in the text form.
class Summary {
 public:
  Summary();
  ~Summary();
  void Observe(Duration value);
  uint64_t count() const;
  // The smallest of these quantiles that is not below `probability`, or the
  // largest one if all are; zero without observations.
  Duration quantile(double probability) const;
  Duration sum() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Distribution of durations over fixed buckets, from a millisecond to a minute.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  void Observe(Duration value);
  uint64_t count() const;
  Duration sum() const;

  // An inclusive upper bound and the number of observations up to it.
  struct Bucket {
    Duration bound{};
    uint64_t count = 0;
  };
  // Cumulative buckets, without the one for +Inf.
  std::vector<Bucket> buckets() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

using MetricLabels = std::map<std::string, std::string>;

class MetricsRegistry {
 public:
  MetricsRegistry();
  ~MetricsRegistry();

  // Return the metric of that name and labels, which the first call creates.
  // References stay valid as long as the registry. Thread-safe.
  Counter& counter(const std::string& name, const std::string& help,
                   const MetricLabels& labels = {});
  Summary& summary(const std::string& name, const std::string& help,
                   const MetricLabels& labels = {});
  Histogram& histogram(const std::string& name, const std::string& help,
                       const MetricLabels& labels = {});
  // Adds a gauge whose value is `read()` at the time of ToText().
  void AddGauge(const std::string& name, const std::string& help,
                const MetricLabels& labels, std::function<double()> read);

  // One value of a gauge whose labels are known only at the time of ToText().
  struct GaugeSample {
    MetricLabels labels;
    double value = 0;
  };
  // Adds a gauge whose values and labels are `read()` at the time of ToText().
  void AddGauges(const std::string& name, const std::string& help,
                 std::function<std::vector<GaugeSample>()> read);

  // Adds a counter whose value is kept elsewhere and is `read()` at the time of
  // ToText().
  void AddCounter(const std::string& name, const std::string& help,
                  const MetricLabels& labels, std::function<double()> read);

  // The whole registry in the text format, sorted by metric name.
  std::string ToText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_METRICS_METRICS_REGISTRY_H_
