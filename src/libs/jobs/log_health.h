// Whether the log stores what this entry appends, derived from the results of
// appends and reads.
//
// While the log is down only urgent jobs are accepted, so a false alarm turns
// callers away. The answers to appends may be lost although the records are
// stored; a record of this entry that is read back from the stream proves that
// appends arrive.
//
// Not thread-safe.
#ifndef THORNPLANK_JOBS_LOG_HEALTH_H_
#define THORNPLANK_JOBS_LOG_HEALTH_H_

#include <optional>
#include <string_view>

#include "base/time.h"

namespace thornplank {

enum class LogProblem { kNone, kNotRead, kAppendsFail };

std::string_view ToText(LogProblem problem);

class LogHealth {
 public:
  // The log counts as down if the last successful read is older than
  // `max_read_age`.
  explicit LogHealth(Milliseconds max_read_age) : max_read_age_(max_read_age) {}

  // To be called when a record that this entry appended was read back.
  void HandleOwnRecord(Time now) { own_record_read_at_ = now; }

  // `read`: when the stream was last read; nullopt if never. `failing`: since
  // when appends have failed; nullopt if none is pending or none has failed
  // since the last success.
  LogProblem Evaluate(std::optional<Time> read, std::optional<Time> failing,
                      Time now) const;

 private:
  const Milliseconds max_read_age_;
  Time own_record_read_at_ = Time::min();
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_LOG_HEALTH_H_
