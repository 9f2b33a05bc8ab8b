// Comparison of the observed times with their limits.
#include "jobs/log_health.h"

#include <algorithm>

namespace thornplank {
namespace {

// The log counts as down if appends have failed for longer than this. The third
// attempt starts 0.15 s after the first, so several attempts have failed by
// then.
constexpr Milliseconds kMaxFailingTime{500};

}  // namespace

LogProblem LogHealth::Evaluate(std::optional<Time> read,
                               std::optional<Time> failing, Time now) const {
  if (!read || now - *read > max_read_age_) return LogProblem::kNotRead;
  if (!failing) return LogProblem::kNone;
  const Time since = std::max(*failing, own_record_read_at_);
  return now - since > kMaxFailingTime ? LogProblem::kAppendsFail
                                       : LogProblem::kNone;
}

std::string_view ToText(LogProblem problem) {
  switch (problem) {
    case LogProblem::kNone:
      return "none";
    case LogProblem::kNotRead:
      return "not read";
    case LogProblem::kAppendsFail:
      return "appends fail";
  }
  return "none";
}

}  // namespace thornplank
