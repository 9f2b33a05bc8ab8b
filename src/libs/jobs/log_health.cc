// Evidence against bounds.
#include "jobs/log_health.h"

#include <algorithm>

namespace thornplank {
namespace {

// Appends that fail for this long mean that the log is down: the third try
// comes 0.15 s after the first.
constexpr Milliseconds kFailingBound{500};

}  // namespace

LogTrouble LogHealth::Judge(std::optional<Time> read,
                            std::optional<Time> failing, Time now) const {
  if (!read || now - *read > unread_bound_) return LogTrouble::kNotRead;
  if (!failing) return LogTrouble::kNone;
  const Time since = std::max(*failing, own_record_);
  return now - since > kFailingBound ? LogTrouble::kAppendsFail
                                     : LogTrouble::kNone;
}

std::string_view ToText(LogTrouble trouble) {
  switch (trouble) {
    case LogTrouble::kNone:
      return "none";
    case LogTrouble::kNotRead:
      return "not read";
    case LogTrouble::kAppendsFail:
      return "appends fail";
  }
  return "none";
}

}  // namespace thornplank
