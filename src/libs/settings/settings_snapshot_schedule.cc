// Tracks the needed records and decides when a snapshot is due.
#include "settings/settings_snapshot_schedule.h"

namespace thornplank {
namespace {

// Fraction by which a jitter of 1 raises the limits.
constexpr double kMaxJitterShare = 0.25;

}  // namespace

SettingsSnapshotSchedule::SettingsSnapshotSchedule(
    SettingsSnapshotLimits limits)
    : limits_(limits) {}

void SettingsSnapshotSchedule::OnRecord(int64_t offset, WallTime time,
                                        std::optional<int64_t> covers) {
  needed_.push_back({offset, time});
  // Ignores a snapshot that covers less than the newest one, or that claims to
  // cover records after itself.
  if (!covers || *covers <= covered_offset_ || *covers > offset) return;
  covered_offset_ = *covers;
  newest_snapshot_time_ = time;
  while (needed_.front().offset < covered_offset_) needed_.pop_front();
}

void SettingsSnapshotSchedule::OnFirstOffset(int64_t first_offset) {
  first_offset_ = first_offset;
}

bool SettingsSnapshotSchedule::IsDue(WallTime now) const {
  if (first_offset_ > covered_offset_) return true;
  if (needed_.empty()) return false;
  if (newest_snapshot_time_ &&
      now - *newest_snapshot_time_ < limits_.min_interval) {
    return false;
  }
  const double factor = 1 + kMaxJitterShare * limits_.jitter;
  if (needed_.size() > limits_.max_records * factor) return true;
  const auto max_age =
      std::chrono::duration_cast<Milliseconds>(limits_.max_age * factor);
  if (now - needed_.front().time > max_age) return true;
  return first_offset_ > 0 &&
         first_needed_offset() - first_offset_ < limits_.retention_margin;
}

}  // namespace thornplank
