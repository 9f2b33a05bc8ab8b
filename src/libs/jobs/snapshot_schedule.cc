// The bounds of snapshots by records, age and retention.
#include "jobs/snapshot_schedule.h"

namespace thornplank {

bool SnapshotSchedule::Due(int64_t first_offset, int64_t next_offset,
                           int64_t covered, Time now) {
  if (!appended_at_) appended_at_ = now;
  const int64_t uncovered = next_offset - covered;
  if (uncovered <= 0) return false;
  if (uncovered >= max_records_) return true;
  if (now - *appended_at_ >= max_age_) return true;
  // Retention has begun to take records: the oldest needed one, at `covered`,
  // must keep a quarter of what is kept before it.
  if (first_offset == 0) return false;
  return (covered - first_offset) * 4 < next_offset - first_offset;
}

}  // namespace thornplank
