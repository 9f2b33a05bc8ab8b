// One round of placing: what is guaranteed first, then urgent work, then the
// borrowers around the reservation of the oldest large job.
#ifndef THORNPLANK_SCHEDULING_PLACEMENT_ROUND_H_
#define THORNPLANK_SCHEDULING_PLACEMENT_ROUND_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/cluster_survey.h"
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
  void RunFor(JobRecord& job);
  // Starts the plans whose accelerators have come free and drops those that
  // can no longer be carried out.
  void ServePlans();

 private:
  bool MayStart(const JobRecord& job) const;
  bool MayBorrow(const JobClass& job_class) const;

  void PlaceGuaranteed();
  void PlaceGuaranteedOf(JobClass& job_class);
  bool TryGuaranteed(JobRecord& job);
  bool TakeCells(JobRecord& job, const CellOwner& owner);

  void PlaceUrgent();
  bool TryUrgent(JobRecord& job);
  bool ClaimFromBorrowers(JobRecord& job, const std::string& reason);

  bool PlaceBorrowers();
  bool TryBorrow(JobRecord& job);
  double ScoreOf(const JobRecord& job) const;
  AcceleratorsByWorker RoomFor(const JobRecord& job, bool past_reservation);
  // What its expected end keeps the job off: the reservation and events, by
  // name. Jobs of one class with the same limits have the same room.
  std::set<std::string> LimitsOf(const JobRecord& job) const;
  bool KeepsOffReservation(const JobRecord& job, Time end) const;
  // Looks at what borrowing weighs.
  void SurveyBorrowing();
  void StartBorrowing(JobRecord& job, const Placement& placement,
                      const std::string& reason);

  void KeepReservation();
  JobRecord* OldestLargeJob() const;
  void Reserve(JobRecord& job);

  void PlaceProbes();
  JobRecord* ProbeFor(WorkerIndex worker) const;

  void Plan(JobRecord& job, const std::vector<WorkerIndex>& workers,
            const std::string& reason);
  bool IsFreeNow(const JobRecord& job,
                 const std::vector<WorkerIndex>& workers) const;
  const AcceleratorsByWorker& AsideFor(const std::string& event);

  SchedulerState& state_;
  GangStarter& starter_;
  const Time now_;
  ClusterSurvey survey_;
  std::vector<double> displacement_cost_;
  AcceleratorsByWorker set_aside_;
  std::vector<Time> rack_ends_;
  // In use past the start of the reservation; kept up to date while placing.
  AcceleratorsByWorker outlasting_;
  std::map<std::string, AcceleratorsByWorker> aside_for_event_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_PLACEMENT_ROUND_H_
