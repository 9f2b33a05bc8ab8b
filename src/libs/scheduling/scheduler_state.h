// The state that the parts of the scheduler share, and queries on it.
#ifndef THORNPLANK_SCHEDULING_SCHEDULER_STATE_H_
#define THORNPLANK_SCHEDULING_SCHEDULER_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "scheduling/cluster_model.h"
#include "scheduling/event_calendar.h"
#include "scheduling/failure_tracker.h"
#include "scheduling/fragmentation_score.h"
#include "scheduling/gang_table.h"
#include "scheduling/guarantee_placement.h"
#include "scheduling/job_record.h"
#include "scheduling/job_scheduler.h"
#include "scheduling/large_job_reservation.h"
#include "scheduling/run_time_estimator.h"
#include "scheduling/scheduler_actions.h"

namespace thornplank {

struct SchedulerState {
  explicit SchedulerState(SchedulerOptions given);

  JobRecord* FindJob(const std::string& id) const;
  JobClass& ClassOf(const JobRecord& job) { return classes[job.job_class]; }
  // Index of the class of jobs like `spec`, which is added if it is new.
  int FindOrAddClass(const JobSpec& spec);
  void AddWaiting(JobRecord& job);
  void RemoveWaiting(JobRecord& job);
  // Sets the phase and emits a PhaseChanged action.
  void SetPhase(JobRecord& job, JobPhase phase, const std::string& reason);
  void DropPlan(JobRecord& job);
  void ReleaseAllocation(JobRecord& job);

  const AccountGuarantee& Account(const std::string& name) const;
  bool IsLarge(const Shape& shape) const;
  bool IsBorrower(const Gang& gang) const;
  // Expected remaining run time of a job that is not running.
  Duration RemainingTimeOf(const JobRecord& job) const;
  Time ExpectedEnd(const Gang& gang, Time now) const;
  // Expected time from the checkpoint request to a gang of the account until
  // its accelerators are free, including the safety margin.
  Duration LeadTime(const std::string& account) const;
  // The longest lead time over all accounts that borrow now.
  Duration LongestLeadTime() const;
  // Work expected to be lost by stopping the gang now, in accelerator seconds.
  double WorkLost(const Gang& gang, Time now) const;

  const SchedulerOptions options;
  ClusterModel cluster;
  GangTable gangs;
  GuaranteePlacement guarantee_placement;
  RunTimeEstimator estimator;
  FailureTracker failure_tracker;
  EventCalendar calendar;
  FragmentationScore fragmentation;
  LargeJobReservation reservation;
  std::map<std::string, AccountGuarantee> accounts;
  // By id. Final jobs are kept up to a limit.
  std::unordered_map<std::string, std::unique_ptr<JobRecord>> jobs;
  std::vector<JobClass> classes;
  // Waiting jobs that have a plan, by id.
  std::map<std::string, JobRecord*> planned;
  // Accelerators held by borrowing gangs, per account.
  std::map<std::string, int> borrowed;
  // Workers that refused a grant, and when they may get grants again.
  std::map<WorkerIndex, Time> refusing_until;
  // Actions emitted since the last decision was returned to the caller.
  SchedulerActions actions;

 private:
  // Removes the oldest final job if there are more than the limit.
  void DropOldFinalJobs();

  std::map<std::string, int> class_by_key_;
  std::deque<std::string> final_jobs_;
};

// Stops gangs so that their accelerators become free.
class GangStopper {
 public:
  virtual ~GangStopper() = default;
  // Checkpoints the gang and stops it, at the latest after the checkpoint
  // deadline of its account.
  virtual void CheckpointAndStop(Gang& gang, const std::string& reason,
                                 Time now) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_SCHEDULER_STATE_H_
