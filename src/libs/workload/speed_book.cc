// Rates of siblings and the speeds that follow.
#include "workload/speed_book.h"

#include <algorithm>
#include <vector>

namespace thornplank {
namespace {

// Spells of slowness last 5 to 7 s; a worker without new evidence for as long
// counts as sound again.
constexpr std::chrono::seconds kEvidenceLasts{6};
constexpr std::chrono::seconds kStepLasts{60};
constexpr double kNewWeight = 0.6;

}  // namespace

double SpeedBook::SoundRate(const Step& step) {
  if (step.rates.size() < 2) return 0;
  std::vector<double> rates;
  for (const auto& [worker, rate] : step.rates) {
    rates.push_back(rate);
  }
  // The upper median: of two, the faster one.
  const auto middle =
      rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

void SpeedBook::Observe(const std::string& worker, const StepRef& step,
                        double rate, double slowdown, Time now) {
  Step& siblings = steps_[step];
  siblings.last = now;
  siblings.rates[worker] = rate * slowdown;
  const double sound = SoundRate(siblings);
  if (sound <= 0) return;
  const double ratio = siblings.rates[worker] / sound;
  Speed& speed = speeds_[worker];
  const bool fresh = now - speed.last < kEvidenceLasts;
  speed.value =
      fresh ? speed.value * (1 - kNewWeight) + ratio * kNewWeight : ratio;
  speed.last = now;
}

double SpeedBook::speed(const std::string& worker, Time now) const {
  const auto it = speeds_.find(worker);
  if (it == speeds_.end()) return 1;
  return now - it->second.last < kEvidenceLasts ? it->second.value : 1;
}

Duration SpeedBook::SoundDuration(const StepRef& step) const {
  const auto it = steps_.find(step);
  const double rate = it == steps_.end() ? 0 : SoundRate(it->second);
  if (rate <= 0) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(100 / rate));
}

void SpeedBook::Forget(Time now) {
  for (auto it = steps_.begin(); it != steps_.end();) {
    const auto step = it++;
    if (now - step->second.last > kStepLasts) steps_.erase(step);
  }
  for (auto it = speeds_.begin(); it != speeds_.end();) {
    const auto speed = it++;
    if (now - speed->second.last > kStepLasts) speeds_.erase(speed);
  }
}

}  // namespace thornplank
