// Forecasts when a run ends, from its measured progress or its estimate.
#ifndef THORNPLANK_WORKLOAD_RUN_FORECAST_H_
#define THORNPLANK_WORKLOAD_RUN_FORECAST_H_

#include "base/time.h"
#include "workload/worker_tracker.h"

namespace thornplank {

// A run that is overdue, or nearly done, is not expected to end sooner: its end
// has yet to be reported and recorded.
inline constexpr Milliseconds kMinForecast{200};
// Estimates beyond this are taken for mistakes.
inline constexpr Milliseconds kMaxEstimate{std::chrono::hours(24)};

// Whether an announced estimate can be used.
inline bool IsUsableEstimate(Milliseconds estimate) {
  return estimate > Milliseconds::zero() && estimate <= kMaxEstimate;
}

// Time until the run ends and its capacity is free, at least kMinForecast.
// Duration::max() if nothing is known of it or it runs until it is cancelled.
Duration ForecastRemaining(const TrackedRun& run, Time now);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_RUN_FORECAST_H_
