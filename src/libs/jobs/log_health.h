// Whether the log takes what this entry appends, told from appends and reads.
//
// While the log is down nothing but urgent jobs is taken, so that a wrong word
// refuses callers. Answers may be lost though the records are stored: a record
// of this entry that comes back by the stream shows that appends arrive.
#ifndef THORNPLANK_JOBS_LOG_HEALTH_H_
#define THORNPLANK_JOBS_LOG_HEALTH_H_

#include <optional>
#include <string_view>

#include "base/time.h"

namespace thornplank {

enum class LogTrouble { kNone, kNotRead, kAppendsFail };

std::string_view ToText(LogTrouble trouble);

class LogHealth {
 public:
  // `unread_bound`: without a read for longer the log is down.
  explicit LogHealth(Milliseconds unread_bound) : unread_bound_(unread_bound) {}

  // A record that this entry appended was read.
  void OnOwnRecord(Time now) { own_record_ = now; }

  // `read`: when the stream was last read. `failing`: since when no append was
  // confirmed, where some wait.
  LogTrouble Judge(std::optional<Time> read, std::optional<Time> failing,
                   Time now) const;

 private:
  const Milliseconds unread_bound_;
  Time own_record_ = Time::min();
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_LOG_HEALTH_H_
