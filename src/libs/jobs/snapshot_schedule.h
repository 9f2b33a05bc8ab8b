// Decides when the coordinator appends the next snapshot of the job stream.
//
// No I/O: the caller passes in the offsets that the log reports. Not
// thread-safe.
#ifndef THORNPLANK_JOBS_SNAPSHOT_SCHEDULE_H_
#define THORNPLANK_JOBS_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace thornplank {

class SnapshotSchedule {
 public:
  // A snapshot is due after `max_records` records or `max_age`, whichever comes
  // first, and earlier if retention requires it.
  SnapshotSchedule(int64_t max_records, Duration max_age)
      : max_records_(max_records), max_age_(max_age) {}

  // Whether a snapshot is due. `first_offset` and `next_offset` are the ends of
  // the stream in the log; `covered` is the offset up to which the newest
  // complete snapshot covers the stream.
  bool IsDue(int64_t first_offset, int64_t next_offset, int64_t covered,
             Time now);
  // To be called when a snapshot is being appended.
  void MarkAppended(Time now) { appended_at_ = now; }

 private:
  const int64_t max_records_;
  const Duration max_age_;
  // When the last snapshot was appended. Set by the first call of IsDue, so
  // that a new coordinator does not append a snapshot at once.
  std::optional<Time> appended_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_SNAPSHOT_SCHEDULE_H_
