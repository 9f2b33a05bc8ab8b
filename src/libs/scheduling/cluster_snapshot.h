// Figures about all gangs, computed once per decision and shared by its steps.
#ifndef THORNPLANK_SCHEDULING_CLUSTER_SNAPSHOT_H_
#define THORNPLANK_SCHEDULING_CLUSTER_SNAPSHOT_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/large_job_reservation.h"
#include "scheduling/scheduler_state.h"

namespace thornplank {

struct GangView {
  const Gang* gang = nullptr;
  bool borrower = false;
  bool urgent = false;
  // Being checkpointed or stopped.
  bool stopping = false;
  Time expected_end;
};

struct ClusterSnapshot {
  ClusterSnapshot(const SchedulerState& state, Time now);

  // Accelerators that the account borrows, divided by its share by weight of
  // all accelerators. 0 if it borrows nothing.
  double BorrowedToShareRatio(const SchedulerState& state,
                              const std::string& account) const;
  std::vector<ExpectedRelease> Releases() const;
  // Accelerators that are claimed, or in use and not expected to be free by
  // `at`.
  AcceleratorsByWorker InUseAt(const ClusterModel& cluster, Time at) const;
  // Accelerators of usable workers that borrowers hold or that are being
  // released. Urgent borrowers count only if `urgent_too`.
  AcceleratorsByWorker Reclaimable(const ClusterModel& cluster,
                                   bool urgent_too) const;
  // When the last gang in each rack is expected to end; `now` for idle racks.
  std::vector<Time> RackEndTimes(const ClusterModel& cluster, Time now) const;
  // For each worker, the work lost per borrowed accelerator if its borrowers
  // are stopped, in seconds.
  std::vector<double> DisplacementCost(const SchedulerState& state,
                                       Time now) const;

  std::vector<GangView> gangs;
  // Accelerators held by borrowing gangs, by account.
  std::map<std::string, int> borrowed;
  double total_weight = 0;
  int total_capacity = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_CLUSTER_SNAPSHOT_H_
