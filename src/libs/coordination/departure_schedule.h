// Decides when the record of announced departures is replaced: when it has
// changed, a few times a second at most. Not thread-safe.
#ifndef THORNPLANK_COORDINATION_DEPARTURE_SCHEDULE_H_
#define THORNPLANK_COORDINATION_DEPARTURE_SCHEDULE_H_

#include <optional>
#include <vector>

#include "base/time.h"
#include "workload/departure_record.h"

namespace thornplank {

class DepartureSchedule {
 public:
  // The store holds this record.
  void Begin(std::vector<DepartingWorker> stored);
  // Returns the record to write now, in place of the stored one; nullopt if
  // none is due or a write is pending. `wanted` is ordered by worker.
  std::optional<std::vector<DepartingWorker>> TakeDue(
      std::vector<DepartingWorker> wanted, Time now);
  // What the last call of TakeDue returned is stored.
  void OnStored();

 private:
  std::vector<DepartingWorker> stored_;
  std::optional<std::vector<DepartingWorker>> pending_;
  // When the last write began; the epoch of the clock before the first.
  Time last_written_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_DEPARTURE_SCHEDULE_H_
