// Derives the time without progress that a run is given.
#include "workload/stall_rule.h"

#include <algorithm>

namespace thornplank {
namespace {

constexpr int kDonePercent = 100;
// Callers' estimates are too low by up to a half more often than too high.
constexpr double kEstimateMargin = 1.5;
// A run that is slowed tenfold advances by a percent in the time in which it
// did ten before.
constexpr int kOwnPercents = 12;
// A slowed worker runs at a quarter of its speed or less, also while it
// restores a checkpoint.
constexpr int kSlowRestore = 4;

Duration TimesOf(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

// Time for one percent at the rate of the run; zero if that is unknown.
Duration TimePerPercent(const TrackedRun& run) {
  const double rate = run.rate();
  if (rate <= 0) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / rate));
}

// Whether it may still be restoring the checkpoint from which it resumes. That
// is unknown for a run of a previous leader.
bool MayBeRestoring(const TrackedRun& run) {
  const bool has_progress =
      run.baseline.has_value() && run.percent > run.baseline_percent;
  return !has_progress && (run.resumed || run.placed == Time{});
}

}  // namespace

Duration StallRule::Bound(const WorkerTracker& worker, const TrackedRun& run,
                          Duration normal) const {
  const std::string& data_rack = run.profile.data_rack;
  const bool near =
      data_rack.empty() || worker.registration().rack == data_rack;
  const double slowdown = near ? 1 : settings_.bounds.far_slowdown;
  // The speed of a worker that hangs in the middle of a run looks low in one
  // report. Hardware below this speed needs no further allowance: it does more
  // than a tenth of the work within the bound.
  constexpr double kLeastHardware = 0.6;
  const double hardware = std::max(worker.steady_speed(), kLeastHardware);
  const Duration per_percent = TimePerPercent(run);
  Duration expected = per_percent * kDonePercent;
  if (normal > Duration::zero()) {
    expected = TimesOf(normal, slowdown / hardware);
  } else if (expected == Duration::zero()) {
    expected =
        TimesOf(run.profile.estimate, kEstimateMargin * slowdown / hardware);
  }
  if (expected <= Duration::zero()) return settings_.max_time;
  Duration bound = std::max({TimesOf(expected, settings_.share),
                             TimesOf(settings_.min_time, slowdown),
                             per_percent * kOwnPercents});
  if (MayBeRestoring(run)) {
    bound += settings_.bounds.restore_time * kSlowRestore;
  }
  return std::min<Duration>(bound, settings_.max_time);
}

bool StallRule::IsStalled(const WorkerTracker& worker, const TrackedRun& run,
                          Duration normal) const {
  // A run at 100 percent does not show that it goes on.
  if (run.percent >= kDonePercent) return false;
  return run.idle_in_reports() > Bound(worker, run, normal);
}

}  // namespace thornplank
