// Measured progress first, then the estimate.
#include "workload/run_forecast.h"

#include <algorithm>

namespace thornplank {

Duration ForecastRemaining(const TrackedRun& run, Time now) {
  if (run.profile.long_running) return Duration::max();
  const Duration measured = run.remaining(now);
  if (measured != Duration::max()) {
    return std::max<Duration>(measured, kMinForecast);
  }
  const Milliseconds estimate = run.profile.estimate;
  if (!IsUsableEstimate(estimate)) return Duration::max();
  // A run that no report has shown yet is expected to need its whole time.
  const Duration elapsed =
      run.began == Time{} ? Duration::zero() : now - run.began;
  return std::max<Duration>(estimate - elapsed, kMinForecast);
}

}  // namespace thornplank
