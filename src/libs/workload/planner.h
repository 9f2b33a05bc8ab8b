// Decides which waiting tasks start where, and which runs give way.
//
// Steps are looked at in order of urgency. Each is placed by best fit: gangs as
// a whole and on one rack where they ask for it, single tasks one by one where
// they leave the smallest gaps. Urgent jobs (priority 0) that find no room take
// it from runs of lower priority, those first whose unsaved work is least; the
// room is kept for them until they start.
#ifndef THORNPLANK_WORKLOAD_PLANNER_H_
#define THORNPLANK_WORKLOAD_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "workload/advice_cache.h"
#include "workload/cluster_rooms.h"
#include "workload/job_ledger.h"
#include "workload/room_reclaim.h"
#include "workload/worker_bounds.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct PlannerSettings {
  // A step waits this long for the rack of its data, or for one rack, before it
  // takes others in an idle cluster. Long enough for a few tasks to end.
  Milliseconds rack_patience{1000};
  // The share of workers that jobs of lower priority leave empty, so that an
  // urgent job starts without a stop first.
  double headroom = 0.2;
  // The share of each resource that waiting steps keep from those of lower
  // priority, beyond the headroom. What is left is for the steps behind.
  double most_kept = 0.3;
  // Headroom is kept for this long after the last urgent step was seen.
  Milliseconds urgent_memory{5000};
  WorkerBounds bounds;
};

struct StartDecision {
  StepRef step;
  std::vector<JobLedger::Assignment> assignments;
  // For the log: what decided.
  std::string reason;
  // Where room was taken from others for it: since when it waits for that.
  std::optional<Time> preempted_at;
};

struct StopDecision {
  std::string worker;
  TaskRef task;
  int run = 0;
  std::string reason;
};

// Why a step with tasks whose turn has come is not placed, or not wholly.
enum class WaitReason {
  // The service has no worker that may be given tasks.
  kNoUsableWorker,
  kNoRoom,
  kNoRoomNearData,
  kNoRoomOnOneRack,
  // Others were told to stop for it.
  kRoomIsMade,
  // Steps of higher priority wait for what is free.
  kOthersFirst,
  // Of the workers that it is allowed on, as far as known, none has room.
  kNoAdvice,
};

std::string_view ToText(WaitReason reason);

struct WaitDecision {
  StepRef step;
  WaitReason reason = WaitReason::kNoRoom;
  // With kNoAdvice: workers to ask about, the best first.
  std::vector<std::string> candidates;
};

struct Plan {
  std::vector<StartDecision> starts;
  std::vector<StopDecision> stops;
  std::vector<WaitDecision> waits;
};

struct PlanInputs {
  const JobLedger* ledger = nullptr;
  const std::map<std::string, WorkerTracker>* workers = nullptr;
  const Guarantees* guarantees = nullptr;
  // May be null where no queue needs advice.
  const AdviceCache* advice = nullptr;
  Time now{};
  WallTime wall_now{};
};

class Planner {
 public:
  explicit Planner(PlannerSettings settings) : settings_(settings) {}

  Plan Decide(const PlanInputs& inputs);

 private:
  class Round;

  // Whether urgent steps of the service came lately.
  bool ExpectsUrgent(const std::string& service, Time now) const;

  PlannerSettings settings_;
  // When urgent steps were seen last, by service.
  std::map<std::string, Time> last_urgent_;
  std::map<StepRef, RoomReservation> reservations_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_PLANNER_H_
