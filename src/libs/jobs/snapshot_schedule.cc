// Limits on the time between snapshots by records, age and retention.
#include "jobs/snapshot_schedule.h"

namespace thornplank {

bool SnapshotSchedule::IsDue(int64_t first_offset, int64_t next_offset,
                             int64_t covered, Time now) {
  if (!appended_at_) appended_at_ = now;
  const int64_t uncovered = next_offset - covered;
  if (uncovered <= 0) return false;
  if (uncovered >= max_records_) return true;
  if (now - *appended_at_ >= max_age_) return true;
  // Once retention removes records, at least a quarter of the kept records must
  // lie before `covered`, the offset of the oldest record that is still needed.
  if (first_offset == 0) return false;
  return (covered - first_offset) * 4 < next_offset - first_offset;
}

}  // namespace thornplank
