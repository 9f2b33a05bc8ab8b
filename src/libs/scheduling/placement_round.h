// One round of placing: what is guaranteed first, then urgent work, then the
// borrowers around the reservation of the oldest large job.
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

// Starts an attempt on the given workers, one per member.
class GangStarter {
 public:
  virtual ~GangStarter() = default;
  virtual void StartGang(JobRecord& job,
                         const std::vector<WorkerIndex>& workers,
                         const std::string& reason, Time now) = 0;
};

class PlacementRound {
 public:
  // Both outlive the object, which serves one decision at `now`.
  PlacementRound(SchedulerState& state, GangStarter& starter, Time now);

  // Looks at every waiting job. Returns false when it stopped early, having
  // started as many borrowers as one decision may: another round is due.
  bool Run();
  // Looks at one job that was just submitted; nothing else has changed.
  void RunForJob(JobRecord& job);
  // Starts the plans whose accelerators have come free and drops those that
  // can no longer be carried out.
  void StartReadyPlans();

 private:
  bool MayStart(const JobRecord& job) const;
  bool MayBorrow(const JobClass& job_class) const;

  void PlaceGuaranteed();
  void PlaceGuaranteedClass(JobClass& job_class);
  bool TryGuaranteed(JobRecord& job);
  bool AllocateCells(JobRecord& job, const CellOwner& owner);

  void PlaceUrgent();
  bool TryUrgent(JobRecord& job);
  bool ClaimFromBorrowers(JobRecord& job, const std::string& reason);

  bool PlaceBorrowers();
  bool TryBorrow(JobRecord& job);
  double ScoreOf(const JobRecord& job) const;
  AcceleratorsByWorker BorrowableAccelerators(const JobRecord& job,
                                              bool ignore_reservation);
  // What its expected end keeps the job off: the reservation and events, by
  // name. Jobs of one class with the same limits have the same room.
  std::set<std::string> ConstraintsOf(const JobRecord& job) const;
  bool MustAvoidReservation(const JobRecord& job, Time end) const;
  // Looks at what borrowing weighs.
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
  // In use past the start of the reservation; kept up to date while placing.
  AcceleratorsByWorker in_use_at_start_;
  std::map<std::string, AcceleratorsByWorker> reserved_for_event_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_ROUND_H_
