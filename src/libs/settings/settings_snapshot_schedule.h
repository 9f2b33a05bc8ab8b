// Decides when a snapshot of the settings has to be appended again, so that
// retention never takes a record that a new entry needs.
//
// The needed records are those from the offset on that the newest snapshot in
// the stream covers. Decision code: it is told what was read and the time.
#ifndef THORNPLANK_SETTINGS_SETTINGS_SNAPSHOT_SCHEDULE_H_
#define THORNPLANK_SETTINGS_SETTINGS_SNAPSHOT_SCHEDULE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/json.h"
#include "base/time.h"

namespace thornplank {

struct SettingsSnapshotLimits {
  // Needed records beyond which a snapshot is due.
  size_t max_records = 500;
  // Age of the oldest needed record at which a snapshot is due; must be well
  // below the retention of the log service.
  Milliseconds max_age{60000};
  // A snapshot is due when the log has begun to forget and less than this
  // many records stand between what it keeps first and what is needed first.
  int64_t margin = 100;
  // At least this long from one snapshot to the next, unless a needed record
  // is already lost.
  Milliseconds min_interval{5000};
  // Raises the first two by up to a quarter, so that entries with other
  // values do not all append at once; 0 to 1.
  double jitter = 0;
};

class SettingsSnapshotSchedule {
 public:
  explicit SettingsSnapshotSchedule(SettingsSnapshotLimits settings);

  // Each record of the stream in order; `covers` when it is a snapshot.
  // `time` is the log service's.
  void OnRecord(int64_t offset, WallTime time, std::optional<int64_t> covers);
  // The oldest offset that the log still keeps.
  void OnFirstOffset(int64_t first_offset);

  bool IsDue(WallTime now) const;
  // The first record that a new entry needs: all from here on.
  int64_t first_needed() const { return covered_; }

 private:
  struct Needed {
    int64_t offset;
    WallTime time;
  };

  const SettingsSnapshotLimits settings_;
  // Those read from covered_ on, by offset. Never empty once a record was
  // read.
  std::deque<Needed> needed_;
  // What the newest snapshot covers; 0 when there is none.
  int64_t covered_ = 0;
  std::optional<WallTime> newest_snapshot_;
  int64_t first_offset_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_SNAPSHOT_SCHEDULE_H_
