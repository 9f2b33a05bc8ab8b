// One round of placement. Guaranteed jobs are placed first, then urgent jobs,
// then borrowers are backfilled around the reservation of the oldest large job.
#ifndef THORNPLANK_SCHEDULING_PLACEMENT_ROUND_H_
#define THORNPLANK_SCHEDULING_PLACEMENT_ROUND_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/cluster_snapshot.h"
#include "scheduling/scheduler_state.h"

namespace thornplank {

// Starts an attempt of a job on the given workers, one worker per member.
class GangStarter {
 public:
  virtual ~GangStarter() = default;
  virtual void StartGang(JobRecord& job,
                         const std::vector<WorkerIndex>& workers,
                         const std::string& reason, Time now) = 0;
};

class PlacementRound {
 public:
  // `state` and `starter` must outlive the object, which serves a single
  // decision at `now`.
  PlacementRound(SchedulerState& state, GangStarter& starter, Time now);

  // Tries to place every waiting job. Returns false if it stopped early because
  // it has started as many borrowers as one decision may; another round is then
  // due.
  bool Run();
  // Tries to place one job that was just submitted, when nothing else changed.
  void RunForJob(JobRecord& job);
  // Starts the plans whose accelerators have become free and drops the plans
  // that can no longer be carried out.
  void StartReadyPlans();

 private:
  // Whether the job has no plan, is not backing off after a refusal, and its
  // event, if any, has started.
  bool MayStart(const JobRecord& job) const;
  bool MayBorrow(const JobClass& job_class) const;

  void PlaceGuaranteed();
  void PlaceGuaranteedClass(JobClass& job_class);
  bool TryGuaranteed(JobRecord& job);
  bool AllocateCells(JobRecord& job, const CellOwner& owner);

  void PlaceUrgent();
  bool TryUrgent(JobRecord& job);
  // Plans the job on accelerators that borrowers have to give back.
  bool ClaimFromBorrowers(JobRecord& job, const std::string& reason);

  bool PlaceBorrowers();
  bool TryBorrow(JobRecord& job);
  double ScoreOf(const JobRecord& job) const;
  AcceleratorsByWorker BorrowableAccelerators(const JobRecord& job,
                                              bool ignore_reservation);
  // The constraints on the job that follow from its expected end: the names of
  // the events whose accelerators it must avoid, and "" for the reservation.
  // Jobs of one class with the same constraints may use the same accelerators.
  std::set<std::string> ConstraintsOf(const JobRecord& job) const;
  bool MustAvoidReservation(const JobRecord& job, Time end) const;
  // Computes the input to the costs and limits of borrowing.
  void PrepareBorrowing();
  void StartBorrowing(JobRecord& job, const Placement& placement,
                      const std::string& reason);

  void UpdateReservation();
  JobRecord* OldestLargeJob() const;
  void Reserve(JobRecord& job);

  void PlaceProbes();
  JobRecord* FindProbeJob(WorkerIndex worker) const;

  void MakePlan(JobRecord& job, const std::vector<WorkerIndex>& workers,
                const std::string& reason);
  bool IsFreeNow(const JobRecord& job,
                 const std::vector<WorkerIndex>& workers) const;
  const AcceleratorsByWorker& ReservedForEvent(const std::string& event);

  SchedulerState& state_;
  GangStarter& starter_;
  const Time now_;
  ClusterSnapshot snapshot_;
  std::vector<double> displacement_cost_;
  AcceleratorsByWorker unused_reserved_;
  std::vector<Time> rack_end_times_;
  // Accelerators in use past the start of the reservation; updated while gangs
  // are started. Empty until PrepareBorrowing.
  AcceleratorsByWorker in_use_at_start_;
  std::map<std::string, AcceleratorsByWorker> reserved_for_event_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_ROUND_H_
