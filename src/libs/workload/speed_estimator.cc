// Estimates speeds from the rates of sibling tasks.
#include "workload/speed_estimator.h"

#include <algorithm>
#include <vector>

namespace thornplank {
namespace {

// Temporary slowness lasts 5 to 7 s; a worker without new evidence for as long
// is assumed to have its steady speed.
constexpr std::chrono::seconds kEvidenceLifetime{6};
constexpr std::chrono::seconds kStepLifetime{60};
// Limits the evaluations of a step: one of 200 tasks is reported on dozens of
// times a second.
constexpr Milliseconds kEvaluationInterval{200};
constexpr double kNewWeight = 0.6;
// Percentages are whole numbers: a rate observed over fewer percent is less
// exact than workers of one service differ.
constexpr int kMinPercent = 15;
// The rate is the mean over the run so far. Of one that is slowed late in its
// work it says nothing about the hardware.
constexpr int kMaxPercent = 60;
// A worker below this ratio is temporarily slowed: the slowest hardware of one
// service takes 2.2 times as long as the usual one, a slowed worker four times
// or more.
constexpr double kSlowestHardware = 0.35;
// Single tasks differ in their work, so they say nothing about hardware within
// this ratio of the usual one.
constexpr double kUnevenWork = 0.65;
// A worker that was taken for slower hardware is observed further up to here.
constexpr double kUsualSpeed = 0.9;
// Siblings that are not a gang are comparable only if there are at least this
// many and the middle half of their rates differs by at most this factor.
constexpr size_t kMinSiblings = 4;
constexpr double kMaxSpread = 1.35;

}  // namespace

double SpeedEstimator::NormalRate(const Step& step) const {
  if (step.rates.size() < (step.gang ? 2 : kMinSiblings)) return 0;
  std::vector<double> rates;
  rates.reserve(step.rates.size());
  for (const auto& [index, rate] : step.rates) {
    rates.push_back(rate.value / steady_speed(rate.worker));
  }
  std::sort(rates.begin(), rates.end());
  const size_t quarter = rates.size() / 4;
  const double spread =
      rates[rates.size() - 1 - quarter] / std::max(rates[quarter], 1e-9);
  if (!step.gang && spread > kMaxSpread) return 0;
  // The upper median: of two rates, the faster one.
  return rates[rates.size() / 2];
}

void SpeedEstimator::Observe(const std::string& worker,
                             const ProgressSample& sample, Time now) {
  Step& step = steps_[sample.task.step];
  step.gang = sample.gang;
  step.last_seen = now;
  const double rate = sample.rate * sample.slowdown;
  step.rates[sample.task.index] = {worker, rate};
  // Few siblings are evaluated at every report: an urgent gang may end within
  // two seconds.
  if (step.rates.size() < kMinSiblings ||
      now - step.evaluated >= kEvaluationInterval) {
    step.normal_rate = NormalRate(step);
    step.evaluated = now;
  }
  if (step.normal_rate <= 0) return;
  const double ratio = rate / step.normal_rate;
  if (sample.gang || ShowsHardware(worker, sample, ratio)) {
    if (sample.percent_observed >= kMinPercent) UpdateSteady(worker, ratio);
  }
  Recent& recent = recent_[worker];
  const bool fresh = now - recent.last_seen < kEvidenceLifetime;
  recent.speed =
      fresh ? recent.speed * (1 - kNewWeight) + ratio * kNewWeight : ratio;
  recent.last_seen = now;
}

// A single task shows hardware only where that is far slower than the usual
// one, or no longer is.
bool SpeedEstimator::ShowsHardware(const std::string& worker,
                                   const ProgressSample& sample,
                                   double ratio) const {
  if (!sample.advancing || sample.percent_observed > kMaxPercent) return false;
  return ratio < kUnevenWork || steady_speed(worker) < kUsualSpeed;
}

void SpeedEstimator::UpdateSteady(const std::string& worker, double ratio) {
  if (ratio < kSlowestHardware) return;
  const auto [known, is_new] = steady_.emplace(worker, ratio);
  if (is_new) return;
  known->second = known->second * (1 - kNewWeight) + ratio * kNewWeight;
}

double SpeedEstimator::speed(const std::string& worker, Time now) const {
  const auto it = recent_.find(worker);
  const bool fresh =
      it != recent_.end() && now - it->second.last_seen < kEvidenceLifetime;
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
    if (now - step->second.last_seen > kStepLifetime) steps_.erase(step);
  }
  for (auto it = recent_.begin(); it != recent_.end();) {
    const auto recent = it++;
    if (now - recent->second.last_seen > kStepLifetime) recent_.erase(recent);
  }
}

}  // namespace thornplank
