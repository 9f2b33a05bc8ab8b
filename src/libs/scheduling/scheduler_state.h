// What the parts of the scheduler share, and the questions they all ask of it.
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
  // The class of jobs like `spec`, made when new.
  int FindOrAddClass(const JobSpec& spec);
  void AddWaiting(JobRecord& job);
  void RemoveWaiting(JobRecord& job);
  // Records the phase and tells the carrier.
  void SetPhase(JobRecord& job, JobPhase phase, const std::string& reason);
  void DropPlan(JobRecord& job);
  void ReleaseAllocation(JobRecord& job);

  const AccountGuarantee& Account(const std::string& name) const;
  bool IsLarge(const Shape& shape) const;
  bool IsBorrower(const Gang& gang) const;
  // Run time still expected of a job that is not running.
  Duration RemainingTimeOf(const JobRecord& job) const;
  Time ExpectedEnd(const Gang& gang, Time now) const;
  // From the order to save a gang of the account until its accelerators are
  // free, with the margin.
  Duration ReclaimLeadTime(const std::string& account) const;
  // The longest of all accounts that borrow.
  Duration LongestReclaimLeadTime() const;
  // In accelerator seconds.
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
  std::unordered_map<std::string, std::unique_ptr<JobRecord>> jobs;
  std::vector<JobClass> classes;
  // Waiting jobs that hold a plan, by id.
  std::map<std::string, JobRecord*> planned;
  // Accelerators held by borrowing gangs, per account.
  std::map<std::string, int> borrowed;
  // Until when a worker that refused a grant is left alone.
  std::map<WorkerIndex, Time> refusing_until;
  SchedulerActions actions;

 private:
  // Final jobs beyond a bound are forgotten, the oldest first.
  void DropOldFinalJobs();

  std::map<std::string, int> class_by_key_;
  std::deque<std::string> final_jobs_;
};

// Stops borrowers for a claim of a guarantee, an event or urgent work.
class GangStopper {
 public:
  virtual ~GangStopper() = default;
  // Saves the gang and stops it at its account's deadline at the latest.
  virtual void CheckpointAndStop(Gang& gang, const std::string& reason,
                                 Time now) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_SCHEDULER_STATE_H_
