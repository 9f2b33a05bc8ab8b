// The registry, with summaries on Boost.Accumulators and histograms on
// Boost.Histogram.
#include "metrics/metrics_registry.h"

#include <array>
#include <iomanip>
#include <limits>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace thornplank {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

// Upper bounds of the buckets, in seconds: the steps of 1, 2 and 5 over the
// range of what is measured, from one call of the store to a long task.
constexpr std::array<double, 15> kBucketBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60};

// Bin i of the axis holds what is above bound i - 1 and at most bound i; the
// axis counts a value on a bound to the next bin, so values are negated.
using BucketAxis = boost::histogram::axis::variable<double>;

std::vector<double> NegatedBounds() {
  std::vector<double> edges(kBucketBounds.rbegin(), kBucketBounds.rend());
  for (double& edge : edges) {
    edge = -edge;
  }
  return edges;
}

// One per quantile: extended_p_square_quantile, which would hold all three,
// reads an uninitialised member (Boost 1.74).
using QuantileAccumulator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::p_square_quantile>>;

QuantileAccumulator MakeAccumulator(double probability) {
  return QuantileAccumulator(accumulators::quantile_probability = probability);
}

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c;
  }
  return escaped;
}

std::string LabelText(const MetricLabels& labels) {
  if (labels.empty()) return "";
  std::string text = "{";
  for (const auto& [name, value] : labels) {
    if (text.size() > 1) text += ',';
    text += name + "=\"" + EscapeLabel(value) + "\"";
  }
  return text + "}";
}

// All digits of whole numbers, as counters and bytes need them.
std::string NumberText(double value) {
  std::ostringstream text;
  text << std::setprecision(std::numeric_limits<double>::max_digits10) << value;
  return text.str();
}

std::string Labelled(MetricLabels labels, const std::string& name,
                     double value) {
  std::ostringstream text;
  text << value;
  labels[name] = text.str();
  return LabelText(labels);
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

struct DurationTotals {
  Duration sum = Duration::zero();
  uint64_t count = 0;

  void Add(Duration value) {
    sum += value;
    ++count;
  }
};

}  // namespace

class Summary::Impl {
 public:
  void Observe(Duration value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (QuantileAccumulator& accumulator : quantiles_) {
      accumulator(ToSeconds(value));
    }
    totals_.Add(value);
  }

  DurationTotals totals() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return totals_;
  }

  Duration quantile(double probability) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (totals_.count == 0) return Duration::zero();
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      if (kQuantiles[i] < probability) continue;
      return FromSeconds(accumulators::p_square_quantile(quantiles_[i]));
    }
    return FromSeconds(accumulators::p_square_quantile(quantiles_.back()));
  }

 private:
  // Guards all that follows.
  mutable std::mutex mutex_;
  // In the order of kQuantiles.
  std::array<QuantileAccumulator, kQuantiles.size()> quantiles_ = {
      MakeAccumulator(kQuantiles[0]), MakeAccumulator(kQuantiles[1]),
      MakeAccumulator(kQuantiles[2])};
  DurationTotals totals_;
};

Summary::Summary() : impl_(std::make_unique<Impl>()) {}
Summary::~Summary() = default;
void Summary::Observe(Duration value) { impl_->Observe(value); }
uint64_t Summary::count() const { return impl_->totals().count; }
Duration Summary::sum() const { return impl_->totals().sum; }
Duration Summary::quantile(double probability) const {
  return impl_->quantile(probability);
}

class Histogram::Impl {
 public:
  void Observe(Duration value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    bins_(-ToSeconds(value));
    totals_.Add(value);
  }

  DurationTotals totals() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return totals_;
  }

  std::vector<Bucket> buckets() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Bucket> buckets;
    uint64_t below = 0;
    // The overflow bin holds the smallest durations.
    const auto bins = static_cast<int>(kBucketBounds.size());
    for (int i = 0; i < bins; ++i) {
      below += static_cast<uint64_t>(bins_.at(bins - 1 - i));
      buckets.push_back(
          {FromSeconds(kBucketBounds[static_cast<size_t>(i)]), below});
    }
    return buckets;
  }

 private:
  // Guards all that follows.
  mutable std::mutex mutex_;
  decltype(boost::histogram::make_histogram(
      BucketAxis(NegatedBounds()))) bins_ =
      boost::histogram::make_histogram(BucketAxis(NegatedBounds()));
  DurationTotals totals_;
};

Histogram::Histogram() : impl_(std::make_unique<Impl>()) {}
Histogram::~Histogram() = default;
void Histogram::Observe(Duration value) { impl_->Observe(value); }
uint64_t Histogram::count() const { return impl_->totals().count; }
Duration Histogram::sum() const { return impl_->totals().sum; }
std::vector<Histogram::Bucket> Histogram::buckets() const {
  return impl_->buckets();
}

namespace {

void WriteSumAndCount(const std::string& name, const MetricLabels& labels,
                      Duration sum, uint64_t count, std::ostream& text) {
  text << name << "_sum" << LabelText(labels) << ' ' << ToSeconds(sum) << '\n';
  text << name << "_count" << LabelText(labels) << ' ' << count << '\n';
}

void WriteSummary(const std::string& name, const MetricLabels& labels,
                  const Summary& summary, std::ostream& text) {
  for (const double probability : kQuantiles) {
    text << name << Labelled(labels, "quantile", probability) << ' '
         << ToSeconds(summary.quantile(probability)) << '\n';
  }
  WriteSumAndCount(name, labels, summary.sum(), summary.count(), text);
}

void WriteHistogram(const std::string& name, const MetricLabels& labels,
                    const Histogram& histogram, std::ostream& text) {
  for (const Histogram::Bucket& bucket : histogram.buckets()) {
    text << name << "_bucket" << Labelled(labels, "le", ToSeconds(bucket.bound))
         << ' ' << bucket.count << '\n';
  }
  MetricLabels all = labels;
  all["le"] = "+Inf";
  text << name << "_bucket" << LabelText(all) << ' ' << histogram.count()
       << '\n';
  WriteSumAndCount(name, labels, histogram.sum(), histogram.count(), text);
}

}  // namespace

class MetricsRegistry::Impl {
 public:
  // One metric name with all its label sets. Exactly one of the maps is used,
  // the one that `type` names; counters kept elsewhere are in `gauges`.
  struct Family {
    std::string help;
    std::string type;
    std::map<MetricLabels, std::unique_ptr<Counter>> counters;
    std::map<MetricLabels, std::unique_ptr<Summary>> summaries;
    std::map<MetricLabels, std::unique_ptr<Histogram>> histograms;
    std::map<MetricLabels, std::function<double()>> gauges;
    std::function<std::vector<GaugeSample>()> gauge_rows;
  };

  Family& family(const std::string& name, const std::string& help,
                 const std::string& type) {
    Family& family = families[name];
    if (family.type.empty()) {
      family.help = help;
      family.type = type;
    }
    return family;
  }

  // Guards `families`; gauges run under it and must not use the registry.
  mutable std::mutex mutex;
  std::map<std::string, Family> families;
};

MetricsRegistry::MetricsRegistry() : impl_(std::make_unique<Impl>()) {}
MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::counter(const std::string& name,
                                  const std::string& help,
                                  const MetricLabels& labels) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  auto& slot = impl_->family(name, help, "counter").counters[labels];
  if (slot == nullptr) slot = std::make_unique<Counter>();
  return *slot;
}

Summary& MetricsRegistry::summary(const std::string& name,
                                  const std::string& help,
                                  const MetricLabels& labels) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  auto& slot = impl_->family(name, help, "summary").summaries[labels];
  if (slot == nullptr) slot = std::make_unique<Summary>();
  return *slot;
}

void MetricsRegistry::AddGauge(const std::string& name, const std::string& help,
                               const MetricLabels& labels,
                               std::function<double()> read) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->family(name, help, "gauge").gauges[labels] = std::move(read);
}

void MetricsRegistry::AddGauges(
    const std::string& name, const std::string& help,
    std::function<std::vector<GaugeSample>()> read) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->family(name, help, "gauge").gauge_rows = std::move(read);
}

Histogram& MetricsRegistry::histogram(const std::string& name,
                                      const std::string& help,
                                      const MetricLabels& labels) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  auto& slot = impl_->family(name, help, "histogram").histograms[labels];
  if (slot == nullptr) slot = std::make_unique<Histogram>();
  return *slot;
}

void MetricsRegistry::AddCounter(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels,
                                 std::function<double()> read) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->family(name, help, "counter").gauges[labels] = std::move(read);
}

std::string MetricsRegistry::ToText() const {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  std::ostringstream text;
  for (const auto& [name, family] : impl_->families) {
    text << "# HELP " << name << ' ' << family.help << '\n';
    text << "# TYPE " << name << ' ' << family.type << '\n';
    for (const auto& [labels, counter] : family.counters) {
      text << name << LabelText(labels) << ' ' << counter->value() << '\n';
    }
    for (const auto& [labels, read] : family.gauges) {
      text << name << LabelText(labels) << ' ' << NumberText(read()) << '\n';
    }
    if (family.gauge_rows) {
      for (const GaugeSample& row : family.gauge_rows()) {
        text << name << LabelText(row.labels) << ' ' << NumberText(row.value)
             << '\n';
      }
    }
    for (const auto& [labels, summary] : family.summaries) {
      WriteSummary(name, labels, *summary, text);
    }
    for (const auto& [labels, histogram] : family.histograms) {
      WriteHistogram(name, labels, *histogram, text);
    }
  }
  return text.str();
}

}  // namespace thornplank
