// Decides which waiting tasks start where, and which runs are evicted.
//
// Steps are placed in order of urgency, by best fit: gangs as a whole, on one
// rack if they ask for it; single tasks one by one where they leave the
// smallest gaps. Urgent jobs (priority 0) that find no room evict runs of lower
// priority, those with the least unsaved work first; the room is reserved for
// them until they start.
//
// Steps leave room for others in one of two ways. With held capacity active,
// waiting gangs hold what they need on the workers where they can start soonest
// (GangHolds), and as many workers stay empty for urgent steps as these needed
// recently (UrgentHeadroom). Otherwise steps yield while the free capacity is
// smaller than the demand of waiting gangs of higher priority, and a fixed
// share of the workers stays empty. A step to which a start is owed passes all
// of that (OwedStarts). Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_PLANNER_H_
#define THORNPLANK_WORKLOAD_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "workload/account_waits.h"
#include "workload/advice_cache.h"
#include "workload/cluster_capacity.h"
#include "workload/equal_stop_limiter.h"
#include "workload/feature_state.h"
#include "workload/guarantee_demand.h"
#include "workload/hold_history.h"
#include "workload/job_ledger.h"
#include "workload/obligation.h"
#include "workload/scheduling_features.h"
#include "workload/step_queue.h"
#include "workload/urgent_headroom.h"
#include "workload/victim_selection.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct PlannerSettings {
  // How long a step waits for the rack of its data, or for a single rack,
  // before it uses others in an idle cluster. Long enough for a few tasks to
  // end.
  Milliseconds rack_wait{1000};
  // The share of workers that jobs of lower priority leave empty, so that an
  // urgent job can start without an eviction.
  double headroom = 0.2;
  // Upper bound on the share of each resource that is held back from steps for
  // waiting steps of higher priority, beyond the headroom. The rest stays
  // available to lower priorities.
  double max_reserved_share = 0.3;
  // Upper bound on the share of workers that is left empty for urgent steps
  // according to their recent use.
  double max_headroom = 0.3;
  // How long a step whose last start crashed its worker waits for a worker on
  // which nothing else runs: the next crash would take that with it.
  Milliseconds isolation_wait{600};
  // How long headroom is left after the last urgent step was seen.
  Milliseconds headroom_retention{5000};
  // See StepQueue. Longer than batch tasks take, so that an account that only
  // waits for its turn does not count as starved.
  Milliseconds max_share_wait{8000};
  WorkerBounds bounds;
  SchedulingFeatures features;
};

struct StartDecision {
  StepRef step;
  std::vector<JobLedger::Assignment> assignments;
  // How the step was placed, for the log; of an owed start also to what it is
  // owed and which preferences it passed.
  std::string reason;
  // Where others were evicted for it: when that was decided.
  std::optional<Time> preempted_at;
};

struct StopDecision {
  std::string worker;
  TaskRef task;
  int run = 0;
  std::string reason;
  // The run used capacity that was held for a gang, which needs it now.
  bool returns_held = false;
  // Of the run, and of the step for which it is stopped.
  int priority = 0;
  int for_priority = 0;
  // Since its placement; nullopt if a previous leader placed it.
  std::optional<Duration> age;
};

// Why a ready step is not placed, or only in part.
enum class WaitReason {
  // The service has no worker that may be given tasks.
  kNoUsableWorker,
  kNoRoom,
  kNoRoomNearData,
  kNoRoomOnOneRack,
  // Others are being evicted for it.
  kPreempting,
  // The free capacity is held back for steps of higher priority.
  kYieldsToHigherPriority,
  // None of the workers approved for it so far has room.
  kNoRoomOnApprovedWorkers,
  // A new leader has yet to ask many workers what they run.
  kSurveying,
  // A gang has lost members, and others of that run may still be on their
  // workers.
  kMembersUnsettled,
  // Too many workers were lost under its tasks, and it is not known whether
  // they crashed.
  kWorkersMissing,
  // Its tasks must not be stopped, and the accelerators are guaranteed to other
  // accounts.
  kGuaranteedToOthers,
};

std::string_view ToText(WaitReason reason);

struct WaitDecision {
  StepRef step;
  WaitReason reason = WaitReason::kNoRoom;
  // With kNoRoomOnApprovedWorkers: workers to ask about, from best to worst.
  std::vector<std::string> candidates;
};

struct Plan {
  std::vector<StartDecision> starts;
  std::vector<StopDecision> stops;
  std::vector<WaitDecision> waits;
  // Waits of accounts for their share that have begun or ended.
  std::vector<AccountWait> account_waits;
  // For the log.
  std::vector<HoldChange> hold_changes;
  std::vector<FeatureChange> feature_changes;
  std::optional<EqualStopLimitChange> equal_stop_limit_change;
};

// Held capacity after a round; zero while the feature is inactive.
struct HeldCapacityUse {
  // Workers left empty for urgent steps, of all services.
  int64_t headroom_workers = 0;
  // Accelerators that are free and held for gangs.
  int64_t held_free_accelerators = 0;
  // Accelerators on held workers that borrowers use.
  int64_t lent_accelerators = 0;
  // Visits of workers in search of holds, as a measure of the cost.
  int64_t worker_visits = 0;
};

struct PlanInputs {
  const JobLedger* ledger = nullptr;
  const std::map<std::string, WorkerTracker>* workers = nullptr;
  const Guarantees* guarantees = nullptr;
  // May be null if no queue needs advice.
  const AdviceCache* advice = nullptr;
  // Many workers are not known yet. Only urgent steps are placed, without
  // evictions, and none leaves its rack.
  bool surveying = false;
  // After an outage of the store the capacity of some workers is not known yet.
  // Steps are placed on the others, without evictions, and none leaves its
  // rack.
  bool awaiting_entries = false;
  Time now{};
  WallTime wall_now{};
};

class Planner {
 public:
  explicit Planner(PlannerSettings settings)
      : settings_(settings),
        equal_stops_(settings.bounds.equal_stop_half_life()),
        held_state_("held_capacity", settings.features.held_capacity) {}

  Plan Decide(const PlanInputs& inputs);

  // Of the last round.
  const HeldCapacityUse& held_use() const { return held_use_; }
  // Whether stops between accounts of one priority are held back.
  bool limits_equal_stops() const { return equal_stops_.limited(); }

 private:
  class Round;

  // Whether urgent steps of the service were seen recently.
  bool ExpectsUrgent(const std::string& service, Time now) const;
  std::vector<FeatureChange> UpdateFeatures(const PlanInputs& inputs);

  // The services in which accounts have shares in the next round. In `auto`
  // mode those in which the last round left a step waiting for capacity, if the
  // configuration guarantees accelerators to several accounts.
  SharedServices ServicesWithShares(const Guarantees& guarantees) const;

  PlannerSettings settings_;
  // Where the last round left a step waiting for capacity.
  std::set<std::string> scarce_services_;
  AccountWaits account_waits_;
  // When urgent steps were last seen, by service.
  std::map<std::string, Time> last_urgent_;
  std::map<StepRef, CapacityReservation> reservations_;
  // Of waiting urgent steps whose last reclaim could not be completed.
  struct ReclaimRetry {
    int failures = 0;
    Time not_before{};
  };
  std::map<StepRef, ReclaimRetry> reclaim_retries_;
  EqualStopLimiter equal_stops_;
  // Of the ledger in the last round.
  int64_t urgent_completions_ = 0;
  // Of gangs for which borrowers are stopped. Unlike those above, they hold
  // back nothing from steps of higher priority.
  std::map<StepRef, CapacityReservation> gang_reservations_;
  FeatureState held_state_;
  // By service.
  std::map<std::string, UrgentHeadroom> headrooms_;
  HoldHistory hold_history_;
  HeldCapacityUse held_use_;
  // Since when steps that crashed their worker at the start wait for an empty
  // one.
  std::map<StepRef, Time> isolated_since_;
  // Of waiting urgent steps that are owed their room, or fit into what is left
  // of the guarantee of their account.
  struct GuaranteeWait {
    bool owed = false;
    // Since when that holds.
    Time since{};
  };
  std::map<StepRef, GuaranteeWait> guarantee_waits_;
  OwedStarts owed_starts_;
  GuaranteeDemand guarantee_demand_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PLANNER_H_
