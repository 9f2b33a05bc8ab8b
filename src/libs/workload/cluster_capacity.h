// Free capacity of every worker during one planning round.
//
// It shrinks as the round places tasks and reserves capacity for steps that
// evicted others. Which workers a step may use is decided here as well. Not
// thread-safe; lives for one round.
#ifndef THORNPLANK_WORKLOAD_CLUSTER_CAPACITY_H_
#define THORNPLANK_WORKLOAD_CLUSTER_CAPACITY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "workload/account_shares.h"
#include "workload/advice_cache.h"
#include "workload/ready_step.h"
#include "workload/resources.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct WorkerCapacity {
  const WorkerTracker* tracker = nullptr;
  // Number of its rack, and of its service, in this round.
  int rack = 0;
  int service = 0;
  // Neither used nor reserved. Changed only by ClusterCapacity, which keeps
  // sums of it.
  Resources free;
  // What runs that are being stopped will free.
  Resources releasing;
  // Number of filler tasks here.
  int64_t filler_tasks = 0;
  // Whether it may be given new tasks.
  bool usable = false;
  // A run here is not known to have survived its start.
  bool unproven = false;
  // A run that is neither urgent nor a filler task is here.
  bool lower_priority_work = false;
  // What urgent runs here use, as a share of the worker.
  double urgent_share = 0;
  // A run on probation is not known to have survived its start. No other task
  // may start here until it has: a crash can then be attributed to that run,
  // and nothing else is lost.
  bool on_probation = false;
  // The worker itself is on probation: it gets one single task at a time, as a
  // test, and guaranteed urgent tasks.
  bool withheld = false;
  // A test runs there. Set for withheld workers.
  bool under_test = false;

  const WorkerRegistration& entry() const { return tracker->registration(); }
  bool IsEmpty() const;
};

// Room for a number of tasks of a step on one worker.
struct Slot {
  // Index into ClusterCapacity::workers().
  size_t worker = 0;
  int64_t tasks = 0;
  // Smaller is better: a tight fit near the data on a trusted worker scores
  // low.
  int64_t score = 0;
  // The worker counts as headroom: see ClusterCapacity::IsHeadroom().
  bool empty = false;
};

inline bool HasLowerScore(const Slot& a, const Slot& b) {
  return a.score < b.score;
}

// Capacity that is reserved for a step until it starts there.
struct CapacityReservation {
  std::map<std::string, int> tasks_by_worker;
  // Resources of one task.
  Resources need;
  Time made{};
  Time until{};
  // Of the step. Capacity for urgent steps is held back from all steps.
  int priority = 0;
};

// Thousandths of a core that one accelerator counts for, according to the
// users' prices.
inline constexpr int64_t kMillisPerAccelerator = 8000;
inline int64_t Weight(const Resources& need) {
  return need.cpu_millis + need.accelerators * kMillisPerAccelerator;
}

// Penalty for a rack other than that of the step's data: more than any
// difference in fit.
inline constexpr int64_t kFarRackPenalty = int64_t{1} << 30;

// Added to a score for each tenth of the normal time that tasks take longer on
// a worker: more than any difference in fit, since a gang runs at the pace of
// its slowest member. All penalties are multiples of it.
inline constexpr int64_t kSlownessStep = int64_t{1} << 21;

// The penalties that a score contains, in multiples of kSlownessStep. Workers
// of one class differ only in how well a step fits them.
inline int64_t PenaltyClass(int64_t score) {
  // Differences in fit are smaller than half a step. Scores below zero are
  // shifted into the positive range, where the division rounds down.
  constexpr int64_t kShift = int64_t{1} << 20;
  return (score + kSlownessStep / 2 + kShift * kSlownessStep) / kSlownessStep -
         kShift;
}

// What one task of the step takes from a worker's free capacity.
Resources ReservedFor(const StepSpec& step);

class ClusterCapacity {
 public:
  // `advice` may be null. Both must outlive this object. If `shares` is not
  // null, the workers and their runs are added to it.
  ClusterCapacity(const std::map<std::string, WorkerTracker>& workers,
                  const AdviceCache* advice, Time now,
                  AccountShares* shares = nullptr,
                  bool shares_headroom = false);

  const std::vector<WorkerCapacity>& workers() const { return workers_; }
  WorkerCapacity& worker(size_t index) { return workers_[index]; }
  const WorkerCapacity& worker(size_t index) const { return workers_[index]; }
  std::optional<size_t> IndexOf(const std::string& id) const;
  int64_t usable_workers(const std::string& service) const;
  // Accelerators in use by urgent runs of the account.
  int64_t UrgentAccelerators(const std::string& account) const;
  // Those of them whose runs are being stopped.
  int64_t UrgentAcceleratorsStopping(const std::string& account) const;
  // The share of the service's accelerators that is in use.
  double UsedShare(const std::string& service) const;
  // The smaller of the used shares of the service's accelerators and cores.
  double LowestUsedShare(const std::string& service) const;
  // Sums over the workers of the service that may be given new tasks.
  Resources FreeCapacity(const std::string& service) const;
  Resources TotalCapacity(const std::string& service) const;
  // The names of all services that have workers.
  std::vector<std::string> Services() const;
  // Use by urgent runs, in workers: each counts as the largest share that it
  // takes of any resource of its worker.
  double UrgentWorkers(const std::string& service) const;

  void Reserve(const CapacityReservation& reservation);
  void Release(const CapacityReservation& reservation);
  // Whether all workers that it names may be given tasks. Urgent tasks may use
  // withheld workers.
  bool AllUsable(const CapacityReservation& reservation) const;
  // Accounts for a task of the step that was placed on the worker.
  void Occupy(const std::string& id, const ReadyStep& step);

  // Whether the worker counts as headroom for urgent steps: it runs nothing;
  // or, if urgent runs may share it, nothing else than those, and its hardware
  // is not slow.
  bool IsHeadroom(const WorkerCapacity& worker) const;
  bool MayUse(const ReadyStep& step, const WorkerCapacity& worker) const;
  // Like MayUse(), but without the approval of the advice service that the
  // step may need.
  bool MeetsRequirements(const ReadyStep& step,
                         const WorkerCapacity& worker) const;
  // Whether a task of the step may test the worker, which is withheld.
  bool MayTest(const ReadyStep& step, const WorkerCapacity& worker) const;
  // Workers to ask the advice service about for the step, from best to worst.
  std::vector<std::string> CandidatesForAdvice(const ReadyStep& step) const;
  // Workers on which tasks of the step fit.
  std::vector<Slot> FreeSlots(const ReadyStep& step) const;
  // Takes capacity that is held for other steps off the slot of the step, which
  // may leave no tasks. Returns true if the slot became smaller.
  bool Shrink(const ReadyStep& step, const Resources& held, Slot* slot) const;
  // Number of workers of the service that count as headroom, less what urgent
  // runs use of them.
  int64_t EmptyWorkers(const std::string& service) const;
  // How many more tasks of the step the worker may run under the step's
  // `max_per_worker`.
  int64_t RemainingTaskLimit(const ReadyStep& step,
                             const WorkerTracker& tracker) const;
  bool IsNear(const ReadyStep& step, const Slot& slot) const;
  // Whether some rack, when empty, has room for all waiting tasks of the step.
  bool AnyRackCanHold(const ReadyStep& step) const;

 private:
  // Kept by service, since work of one service cannot use the workers of
  // another.
  struct ServiceSums {
    std::string name;
    // Over the workers that may be given new tasks. More may be reserved on a
    // worker than is free so far; it then counts as full.
    Resources free;
    Resources capacity;
    int64_t usable_workers = 0;
    int64_t empty_workers = 0;
    // What urgent runs use of these, in workers.
    double urgent_use_of_headroom = 0;
    int64_t total_accelerators = 0;
    int64_t used_accelerators = 0;
    int64_t total_cpu_millis = 0;
    int64_t used_cpu_millis = 0;
    double urgent_workers = 0;
  };

  // Withholds workers on probation, those with the newest evidence first.
  void WithholdOnProbation();
  void Withhold(WorkerCapacity* worker);
  // Like MeetsRequirements() and MayUse(), for withheld workers too.
  bool MeetsRequirementsOf(const ReadyStep& step,
                           const WorkerCapacity& worker) const;
  bool IsApproved(const ReadyStep& step, const WorkerCapacity& worker) const;
  void AddWorker(const WorkerTracker& tracker, Time now, AccountShares* shares);
  int NumberOfRack(const std::string& rack);
  int NumberOfService(const std::string& service);
  const ServiceSums& SumsOf(const std::string& service) const;
  void ChangeFree(WorkerCapacity* worker, const Resources& change);
  bool MostAreTrusted() const { return suspects_ * 2 < usable_workers_; }
  int64_t Score(const ReadyStep& step, const WorkerCapacity& worker,
                int64_t tasks) const;
  // Idle thousandths of a core that filler tasks of the step would find.
  static int64_t IdleCpuMillis(const ReadyStep& step,
                               const WorkerCapacity& worker);
  static int64_t MaxFillers(const ReadyStep& step,
                            const WorkerCapacity& worker);
  void ApplyReservation(const CapacityReservation& reservation, bool reserve);

  const AdviceCache* const advice_;
  const Time now_;
  const bool shares_headroom_;
  // In the order of the workers' ids.
  std::vector<WorkerCapacity> workers_;
  std::unordered_map<std::string_view, int> rack_numbers_;
  // Indexes into workers_ by number of the rack.
  std::vector<std::vector<size_t>> rack_members_;
  std::map<std::string, int64_t> urgent_accelerators_;
  std::map<std::string, int64_t> urgent_accelerators_stopping_;
  int64_t usable_workers_ = 0;
  int64_t suspects_ = 0;
  // By number of the service; there are few.
  std::vector<ServiceSums> services_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_CLUSTER_CAPACITY_H_
