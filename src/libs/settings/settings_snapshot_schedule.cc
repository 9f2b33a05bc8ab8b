// The conditions under which a snapshot is due.
#include "settings/settings_snapshot_schedule.h"

namespace thornplank {
namespace {

constexpr double kJitterShare = 0.25;

}  // namespace

SettingsSnapshotSchedule::SettingsSnapshotSchedule(
    SettingsSnapshotLimits settings)
    : settings_(settings) {}

void SettingsSnapshotSchedule::OnRecord(int64_t offset, WallTime time,
                                        std::optional<int64_t> covers) {
  needed_.push_back({offset, time});
  // A snapshot that covers less than the newest one moves nothing.
  if (!covers || *covers <= covered_ || *covers > offset) return;
  covered_ = *covers;
  newest_snapshot_ = time;
  while (needed_.front().offset < covered_) needed_.pop_front();
}

void SettingsSnapshotSchedule::OnFirstOffset(int64_t first_offset) {
  first_offset_ = first_offset;
}

bool SettingsSnapshotSchedule::IsDue(WallTime now) const {
  if (first_offset_ > covered_) return true;
  if (needed_.empty()) return false;
  if (newest_snapshot_ && now - *newest_snapshot_ < settings_.min_interval) {
    return false;
  }
  const double factor = 1 + kJitterShare * settings_.jitter;
  if (needed_.size() > settings_.max_records * factor) return true;
  const auto max_age =
      std::chrono::duration_cast<Milliseconds>(settings_.max_age * factor);
  if (now - needed_.front().time > max_age) return true;
  return first_offset_ > 0 && first_needed() - first_offset_ < settings_.margin;
}

}  // namespace thornplank
