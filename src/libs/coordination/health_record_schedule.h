// Decides when the verdicts on workers are written beside the progress of
// tasks: when they have changed, and at most once a second.
#ifndef THORNPLANK_COORDINATION_HEALTH_RECORD_SCHEDULE_H_
#define THORNPLANK_COORDINATION_HEALTH_RECORD_SCHEDULE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/health_record.h"

namespace thornplank {

class HealthRecordSchedule {
 public:
  // The store holds these entries.
  void Begin(std::vector<HealthEntry> stored);
  // Returns the record to write now; nullopt if none is due. What it contains
  // counts as stored only after OnStored(), so that it is written again
  // otherwise.
  std::optional<std::string> TakeDue(std::vector<HealthEntry> entries, Time now,
                                     WallTime wall_now);
  void OnStored();

 private:
  std::vector<HealthEntry> stored_;
  std::vector<HealthEntry> written_;
  // When the last write began; the epoch of the clock before the first.
  Time last_written_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_HEALTH_RECORD_SCHEDULE_H_
