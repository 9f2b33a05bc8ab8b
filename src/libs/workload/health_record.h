// The durable form of the verdicts on workers: what a new leader must know of
// those that are not healthy.
//
// Times are stored as durations, since the clocks of two leaders have nothing
// in common but the wall-clock time of the record.
#ifndef THORNPLANK_WORKLOAD_HEALTH_RECORD_H_
#define THORNPLANK_WORKLOAD_HEALTH_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "workload/worker_health.h"

namespace thornplank {

struct HealthEntry {
  std::string worker;
  // Of the incarnation that was judged; nullopt if it did not report it.
  std::optional<WallTime> incarnation_start;
  HealthState state;
};

inline bool operator==(const HealthEntry& a, const HealthEntry& b) {
  return a.worker == b.worker && a.incarnation_start == b.incarnation_start &&
         a.state == b.state;
}

// Bounds on a record. With more entries the least severe ones are left out.
inline constexpr size_t kMaxHealthEntries = 256;
inline constexpr size_t kMaxHealthRecordBytes = 16 * 1024;

// The entries by severity: exclusions that last longest first.
std::vector<HealthEntry> WorstFirst(std::vector<HealthEntry> entries);

std::string EncodeHealth(const std::vector<HealthEntry>& entries, Time now,
                         WallTime wall_now);
// Returns no entries if the record is too old to matter; nullopt with `error`
// if it cannot be read. Durations out of range are clamped.
std::optional<std::vector<HealthEntry>> DecodeHealth(std::string_view bytes,
                                                     Time now,
                                                     WallTime wall_now,
                                                     Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_HEALTH_RECORD_H_
