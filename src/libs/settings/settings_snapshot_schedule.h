// Decides when an entry has to append a new snapshot of the settings, so that
// retention never removes a record that a new entry needs.
//
// A new entry needs the records from the offset on that the newest snapshot in
// the stream covers. Decision code: no I/O and no clock; the caller passes in
// what was read and the time.
#ifndef THORNPLANK_SETTINGS_SETTINGS_SNAPSHOT_SCHEDULE_H_
#define THORNPLANK_SETTINGS_SETTINGS_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/json.h"
#include "base/time.h"

namespace thornplank {

struct SettingsSnapshotLimits {
  // A snapshot is due when more than this many records are needed.
  size_t max_records = 500;
  // A snapshot is due when the oldest needed record is older than this; must be
  // well below the retention period of the log service.
  Milliseconds max_age{60000};
  // A snapshot is due when the log has begun to remove records and fewer than
  // this many are left between the first kept and the first needed one.
  int64_t retention_margin = 100;
  // Minimum time between two snapshots, unless a needed record is already lost.
  Milliseconds min_interval{5000};
  // Raises max_records and max_age by up to a quarter, so that entries with
  // different jitter do not all append at the same time; 0 to 1.
  double jitter = 0;
};

class SettingsSnapshotSchedule {
 public:
  explicit SettingsSnapshotSchedule(SettingsSnapshotLimits limits);

  // To be called for each record of the stream in order. `covers` is set for a
  // readable snapshot: it covers all records before that offset. `time` is the
  // time at which the log service appended the record.
  void OnRecord(int64_t offset, WallTime time, std::optional<int64_t> covers);
  // `first_offset` is the oldest offset that the log still keeps.
  void OnFirstOffset(int64_t first_offset);

  bool IsDue(WallTime now) const;
  // Offset of the first record that a new entry needs.
  int64_t first_needed_offset() const { return covered_offset_; }

 private:
  struct NeededRecord {
    int64_t offset;
    WallTime time;
  };

  const SettingsSnapshotLimits limits_;
  // The records read from covered_offset_ on, by offset. Never empty once a
  // record was read.
  std::deque<NeededRecord> needed_;
  // The newest snapshot covers all records before this offset; 0 if there is
  // none.
  int64_t covered_offset_ = 0;
  std::optional<WallTime> newest_snapshot_time_;
  // The oldest offset that the log still keeps.
  int64_t first_offset_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_SNAPSHOT_SCHEDULE_H_
