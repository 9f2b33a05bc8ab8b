// Rates of siblings and the speeds that follow.
#include "workload/speed_estimator.h"

#include <algorithm>
#include <vector>

namespace thornplank {
namespace {

// Spells of slowness last 5 to 7 s; a worker without new evidence for as long
// is believed to be what it is for good.
constexpr std::chrono::seconds kEvidenceLasts{6};
constexpr std::chrono::seconds kStepLasts{60};
// A step of 200 tasks is reported on dozens of times a second.
constexpr Milliseconds kJudgedEvery{200};
constexpr double kNewWeight = 0.6;
// A percentage is whole; told by less, a rate is off by more than workers of
// one service differ.
constexpr int kTellingOfHardware = 15;
// Hardware of one service differs by less (0.8 to 1.3 seen); a worker below is
// slowed for a while.
constexpr double kSlowestHardware = 0.6;
// Siblings that are no gang tell only if there are as many, and if the middle
// half of them differs by at most this factor.
constexpr size_t kTellingSiblings = 4;
constexpr double kMostSpread = 1.35;

}  // namespace

double SpeedEstimator::NormalRate(const Step& step) const {
  if (step.rates.size() < (step.gang ? 2 : kTellingSiblings)) return 0;
  std::vector<double> rates;
  rates.reserve(step.rates.size());
  for (const auto& [index, rate] : step.rates) {
    rates.push_back(rate.value / steady_speed(rate.worker));
  }
  std::sort(rates.begin(), rates.end());
  const size_t quarter = rates.size() / 4;
  const double spread =
      rates[rates.size() - 1 - quarter] / std::max(rates[quarter], 1e-9);
  if (!step.gang && spread > kMostSpread) return 0;
  // The upper median: of two, the faster one.
  return rates[rates.size() / 2];
}

void SpeedEstimator::Observe(const std::string& worker,
                             const ProgressSample& pace, Time now) {
  Step& step = steps_[pace.task.step];
  step.gang = pace.gang;
  step.last = now;
  const double rate = pace.rate * pace.slowdown;
  step.rates[pace.task.index] = {worker, rate};
  // Few siblings are judged at once: an urgent gang is over in two seconds.
  if (step.rates.size() < kTellingSiblings ||
      now - step.judged >= kJudgedEvery) {
    step.normal_rate = NormalRate(step);
    step.judged = now;
  }
  if (step.normal_rate <= 0) return;
  const double ratio = rate / step.normal_rate;
  if (pace.gang && pace.percent_observed >= kTellingOfHardware)
    Learn(worker, ratio);
  Recent& recent = recent_[worker];
  const bool fresh = now - recent.last < kEvidenceLasts;
  recent.speed =
      fresh ? recent.speed * (1 - kNewWeight) + ratio * kNewWeight : ratio;
  recent.last = now;
}

void SpeedEstimator::Learn(const std::string& worker, double ratio) {
  if (ratio < kSlowestHardware) return;
  const auto [known, is_new] = steady_.emplace(worker, ratio);
  if (is_new) return;
  known->second = known->second * (1 - kNewWeight) + ratio * kNewWeight;
}

double SpeedEstimator::speed(const std::string& worker, Time now) const {
  const auto it = recent_.find(worker);
  const bool fresh =
      it != recent_.end() && now - it->second.last < kEvidenceLasts;
  return fresh ? it->second.speed : steady_speed(worker);
}

double SpeedEstimator::steady_speed(const std::string& worker) const {
  const auto it = steady_.find(worker);
  return it == steady_.end() ? 1 : it->second;
}

Duration SpeedEstimator::NormalDuration(const StepRef& step) const {
  const auto it = steps_.find(step);
  const double rate = it == steps_.end() ? 0 : it->second.normal_rate;
  if (rate <= 0) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(100 / rate));
}

void SpeedEstimator::DropStale(Time now) {
  for (auto it = steps_.begin(); it != steps_.end();) {
    const auto step = it++;
    if (now - step->second.last > kStepLasts) steps_.erase(step);
  }
  for (auto it = recent_.begin(); it != recent_.end();) {
    const auto recent = it++;
    if (now - recent->second.last > kStepLasts) recent_.erase(recent);
  }
}

}  // namespace thornplank
