// One look over all gangs, taken at the start of a decision and shared by its
// steps.
#ifndef THORNPLANK_SCHEDULING_CLUSTER_SURVEY_H_
#define THORNPLANK_SCHEDULING_CLUSTER_SURVEY_H_

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
  // Already being saved or stopped.
  bool leaving = false;
  Time expected_end;
};

struct ClusterSurvey {
  ClusterSurvey(const SchedulerState& state, Time now);

  // Accelerators that each account borrows over its share of all by weight.
  double BorrowedOverShare(const SchedulerState& state,
                           const std::string& account) const;
  std::vector<ExpectedRelease> Releases() const;
  // Accelerators per worker in use or claimed and not expected free by `at`.
  AcceleratorsByWorker Outlasting(const ClusterModel& cluster, Time at) const;
  // Accelerators per worker that only borrowers hold, urgent ones excepted
  // unless `urgent_too`.
  AcceleratorsByWorker Reclaimable(const ClusterModel& cluster,
                                   bool urgent_too) const;
  // When the last gang of each rack is expected to end; `now` for an idle one.
  std::vector<Time> RackEnds(const ClusterModel& cluster, Time now) const;
  // Work lost per borrowed accelerator when a worker is cleared.
  std::vector<double> DisplacementCost(const SchedulerState& state,
                                       Time now) const;

  std::vector<GangView> gangs;
  std::map<std::string, int> borrowed;
  double total_weight = 0;
  int total_capacity = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_CLUSTER_SURVEY_H_
