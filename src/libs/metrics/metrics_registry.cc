// The registry, and summaries on Boost.Accumulators.
#include "metrics/metrics_registry.h"

#include <array>
#include <mutex>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace thornplank {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

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

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

class Summary::Impl {
 public:
  void Observe(Duration value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (QuantileAccumulator& accumulator : quantiles_) {
      accumulator(ToSeconds(value));
    }
    sum_ += value;
    ++count_;
  }

  uint64_t count() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return count_;
  }

  Duration sum() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return sum_;
  }

  Duration quantile(double probability) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (count_ == 0) return Duration::zero();
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
  Duration sum_ = Duration::zero();
  uint64_t count_ = 0;
};

Summary::Summary() : impl_(std::make_unique<Impl>()) {}
Summary::~Summary() = default;
void Summary::Observe(Duration value) { impl_->Observe(value); }
uint64_t Summary::count() const { return impl_->count(); }
Duration Summary::sum() const { return impl_->sum(); }
Duration Summary::quantile(double probability) const {
  return impl_->quantile(probability);
}

class MetricsRegistry::Impl {
 public:
  // One metric name with all its label sets. Exactly one of the three maps
  // is used, the one that `type` names.
  struct Family {
    std::string help;
    std::string type;
    std::map<MetricLabels, std::unique_ptr<Counter>> counters;
    std::map<MetricLabels, std::unique_ptr<Summary>> summaries;
    std::map<MetricLabels, std::function<double()>> gauges;
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
      text << name << LabelText(labels) << ' ' << read() << '\n';
    }
    for (const auto& [labels, summary] : family.summaries) {
      for (double probability : kQuantiles) {
        MetricLabels with_quantile = labels;
        std::ostringstream quantile;
        quantile << probability;
        with_quantile["quantile"] = quantile.str();
        text << name << LabelText(with_quantile) << ' '
             << ToSeconds(summary->quantile(probability)) << '\n';
      }
      text << name << "_sum" << LabelText(labels) << ' '
           << ToSeconds(summary->sum()) << '\n';
      text << name << "_count" << LabelText(labels) << ' ' << summary->count()
           << '\n';
    }
  }
  return text.str();
}

}  // namespace thornplank
