// Decides to which ready steps a start is owed, and since when.
//
// The planner's preferences are decided one by one, and each of them could
// hold a step back for good. Callers are promised that a task that lasts is
// started again, and that a job does not stay without a running task while
// most of the capacity is idle. A step to which a start is owed passes every
// preference (Preference), but no requirement.
//
// Nothing here is stored: a new leader counts from its first round. Not
// thread-safe.
#ifndef THORNPLANK_WORKLOAD_OBLIGATION_H_
#define THORNPLANK_WORKLOAD_OBLIGATION_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "workload/ready_step.h"

namespace thornplank {

// How long preferences may hold back a start that is owed. A job that has
// nothing running, or a task that lasts, must be started within 3 s; the rest
// is for the record and the start order.
inline constexpr Milliseconds kMaxPreferenceWait{1500};
// Below this share of the service's capacity in use, a start is owed to a job
// that has nothing running.
inline constexpr double kOwedBelowUsedShare = 0.5;

enum class Obligation {
  // A task that lasts is away.
  kLastingTask,
  // No task of the job is active, and most of the capacity is idle.
  kIdleJob,
  // Urgent work within the guarantee of its account.
  kGuaranteed,
};

// Short text for logs.
std::string_view ToText(Obligation obligation);

struct OwedStart {
  Obligation obligation = Obligation::kIdleJob;
  // Since when the task that has waited longest has waited.
  Time since{};
  // Indices of the tasks to start: for a gang all of them, for an idle job the
  // first one.
  std::vector<int> tasks;
};

class OwedStarts {
 public:
  // Called in every round with all ready steps, before any of them is placed.
  // Steps and tasks that wait no longer are forgotten.
  void Observe(const std::vector<ReadyStep>& steps, Time now);
  // The start that is owed to the step now, if any. `used_share` is that of the
  // accelerators of its service, or of its cores if it has no accelerators.
  std::optional<OwedStart> Find(const ReadyStep& step, double used_share,
                                Time now) const;
  // No step waits.
  void Clear() { waits_.clear(); }

 private:
  struct Wait {
    Time seen{};
    // Since when no task of the job has been active.
    std::optional<Time> idle_since;
    std::optional<Time> guaranteed_since;
    // Of a step that lasts: since when each of its tasks has been away.
    std::map<int, Time> away_since;
  };

  static void ObserveTasks(const ReadyStep& step, Time now, Wait* wait);
  static std::optional<OwedStart> FindLasting(const ReadyStep& step,
                                              const Wait& wait, Time now);

  std::map<StepRef, Wait> waits_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_OBLIGATION_H_
