// Counters, gauges, summaries and histograms, shown in the Prometheus text
// format 0.0.4.
//
// Summaries use Boost.Accumulators (P-square quantiles), histograms
// Boost.Histogram. Quantiles of one process are read from a summary;
// histograms can be added up over processes.
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

// Distribution of durations, in seconds in the text form: count, sum and the
// quantiles 0.5, 0.9, 0.99.
class Summary {
 public:
  Summary();
  ~Summary();
  void Observe(Duration value);
  uint64_t count() const;
  // The kept quantile next above `probability`; zero without observations.
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

  // An upper bound and how many observations were at most that.
  struct Bucket {
    Duration bound{};
    uint64_t count = 0;
  };
  // Cumulative, without the one that holds all.
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

  // The metric of that name and labels, made at the first call. References
  // stay valid as long as the registry. Thread-safe.
  Counter& counter(const std::string& name, const std::string& help,
                   const MetricLabels& labels = {});
  Summary& summary(const std::string& name, const std::string& help,
                   const MetricLabels& labels = {});
  Histogram& histogram(const std::string& name, const std::string& help,
                       const MetricLabels& labels = {});
  // A gauge is read when the text is made.
  void AddGauge(const std::string& name, const std::string& help,
                const MetricLabels& labels, std::function<double()> read);

  // Gauges whose labels are known only when the text is made.
  struct GaugeSample {
    MetricLabels labels;
    double value = 0;
  };
  void AddGauges(const std::string& name, const std::string& help,
                 std::function<std::vector<GaugeSample>()> read);

  // A counter that is kept elsewhere, read when the text is made.
  void AddCounter(const std::string& name, const std::string& help,
                  const MetricLabels& labels, std::function<double()> read);

  // The whole registry in text format, sorted by name.
  std::string ToText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_METRICS_METRICS_REGISTRY_H_
