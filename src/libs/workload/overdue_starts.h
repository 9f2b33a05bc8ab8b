// Steps that have waited for too long although they fit into idle room.
//
// The planner may hold back a step that fits, for a while. A step that has
// waited for longer than any wait with a bound lasts, beside room that stays
// idle, is held by something that does not end. This is judged from the
// workers' room alone and not by the planner's own rules, so that a fault there
// shows. Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_OVERDUE_STARTS_H_
#define THORNPLANK_WORKLOAD_OVERDUE_STARTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_ledger.h"
#include "workload/planner.h"
#include "workload/worker_tracker.h"

namespace thornplank {

// Whether the waiting tasks of a step, or the whole gang, fit into what is idle
// on usable workers: at least one task of a step that is no gang.
bool FitsIdleRoom(const Job& job, const StepRef& step,
                  const std::map<std::string, WorkerTracker>& workers,
                  Time now);

struct OverdueStart {
  StepRef step;
  WaitReason reason = WaitReason::kNoRoom;
  // Since its last start, or since it was first seen to wait.
  Milliseconds waited{0};
  int tasks = 0;
};

// For how long the room must have been idle: room that was just freed is about
// to be used.
inline constexpr std::chrono::seconds kIdleTime{3};

class OverdueStarts {
 public:
  // Takes the plan of a round.
  void Observe(const Plan& plan, Time now);
  // Checks steps that have waited for longer than `bound`, a limited number at
  // a time, and returns those that are newly found overdue, or wait for another
  // reason than when they were last returned. To be called regularly.
  std::vector<OverdueStart> Review(
      const JobLedger& ledger,
      const std::map<std::string, WorkerTracker>& workers, Time now,
      Milliseconds bound);
  // Steps found overdue that still wait.
  size_t count() const;

 private:
  struct Wait {
    Time since{};
    WaitReason reason = WaitReason::kNoRoom;
    // Since when it has fit into idle room at each check; nullopt if it did not
    // at the last one.
    std::optional<Time> fits_since;
    bool overdue = false;
    // As last returned.
    std::optional<WaitReason> told;
  };

  std::vector<StepRef> StepsToCheck(Time now, Milliseconds bound);

  // Of the last round.
  std::map<StepRef, Wait> waits_;
  // Where the next check of steps that fit at their last one begins, and that
  // of the others.
  StepRef next_fitting_;
  StepRef next_other_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_OVERDUE_STARTS_H_
