// Compares recent stops with recent completions.
#include "workload/equal_stop_limiter.h"

namespace thornplank {
namespace {

// Less than one stop in excess is a remainder of counts that decay.
constexpr double kLeastExcess = 1;

}  // namespace

void EqualStopLimiter::OnStops(int64_t runs, Time now) {
  if (runs > 0) stops_.Add(static_cast<double>(runs), now);
}

void EqualStopLimiter::OnCompletions(int64_t tasks, Time now) {
  if (tasks > 0) completions_.Add(static_cast<double>(tasks), now);
}

bool EqualStopLimiter::MayStop(Time now) const {
  return stops_.At(now) - completions_.At(now) < kLeastExcess;
}

std::optional<EqualStopLimitChange> EqualStopLimiter::EndRound(Time now) {
  const bool limited = (limited_ || withheld_) && !MayStop(now);
  withheld_ = false;
  if (limited == limited_) return std::nullopt;
  limited_ = limited;
  return EqualStopLimitChange{limited, stops_.At(now), completions_.At(now)};
}

}  // namespace thornplank
