// When the coordinator should append the next snapshot of the job stream.
//
// Decision code, fed with the offsets that the log shows.
#ifndef THORNPLANK_JOBS_SNAPSHOT_SCHEDULE_H_
#define THORNPLANK_JOBS_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace thornplank {

class SnapshotSchedule {
 public:
  // After `max_records` records or `max_age`, whichever comes first.
  SnapshotSchedule(int64_t max_records, Duration max_age)
      : max_records_(max_records), max_age_(max_age) {}

  // Whether one is due. `first_offset` and `next_offset` are the log's,
  // `covered` is what the newest whole snapshot in the stream covers.
  bool Due(int64_t first_offset, int64_t next_offset, int64_t covered,
           Time now);
  // A snapshot was handed to the log.
  void Appended(Time now) { appended_at_ = now; }

 private:
  const int64_t max_records_;
  const Duration max_age_;
  // Set from the first look on, so that a new coordinator does not append one
  // at once.
  std::optional<Time> appended_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_SNAPSHOT_SCHEDULE_H_
