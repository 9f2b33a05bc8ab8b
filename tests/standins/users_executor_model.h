// Model of one of the users' executors, without its transport: runs under a
// lease, ends of runs that are reported until the scheduler has recorded them
// (at most 500 in a report, the earliest first), fencing by epochs, and orders
// that arrive late.
//
// The payload of a task is a JSON object that determines its behaviour:
//   work_ms         run time; 100 by default
//   fail            whether the run fails
//   needs           for each step, thousandths of a core, megabytes and
//                   accelerators of one task; the model uses it to detect that
//                   its capacity is exceeded
//   tail_ms         the task serves requests, with this tail latency
//   disturbs_ms     added to the tail latencies of other tasks on the executor
//   advised         whether a start needs a ticket of the advisor
//   crash_after_ms  the executor crashes this long after the start of the task
//   crash_task      index of the one task of each step that crashes the
//                   executor; if absent, all do
#ifndef THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_MODEL_H_
#define THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "coordination/worker_calls.h"
#include "workload/resources.h"

namespace thornplank::standins {

// One run, as the control interface reports it to checkers.
struct RunHistory {
  std::string worker;
  std::string task;
  int run = 0;
  int64_t began_ms = 0;
  // -1 while the run lasts.
  int64_t ended_ms = -1;
  // RunEnd as text, or "crashed".
  std::string end_reason;
  // Whether the scheduler recorded the end of the run before the lease lapsed.
  // By the users' rule an end recorded later never counts, because after a
  // lapse the scheduler may have started the task again.
  bool recorded = false;
  // Length of the checkpoint that the start carried; 0 without one.
  int64_t resumed_bytes = 0;
  // As last reported.
  int64_t load = 0;
  // As last ordered, in percent.
  int pace = kFullPace;
};

class UsersExecutorModel {
 public:
  UsersExecutorModel(std::string name, Resources capacity);

  std::string id() const;
  // Number of the incarnation, counting those that kept their id as well.
  int incarnation() const { return incarnation_; }
  // The present capacity.
  const Resources& capacity() const { return capacity_; }
  // What the runs use, those that are being stopped included.
  Resources in_use(int64_t now);

  // All functions take the current time in milliseconds. Deadlines and reports
  // use the same clock.
  StartOutcome Start(const StartOrder& order, int64_t now);
  CallOutcome Stop(const StopOrder& order, int64_t now);
  CallOutcome SetPace(const PaceOrder& order, int64_t now);
  CallOutcome Status(const StatusQuery& query, int64_t now,
                     WorkerStatusReport* report);
  // Whether a report would list an end with a number above `recorded`.
  bool HasEndAfter(int64_t recorded, int64_t now);

  // Faults.
  void set_fail_all(bool on) { fail_all_ = on; }
  void set_stalled(bool on, int64_t now);
  // From now on runs take `factor` times as long as their payload says.
  void set_slowdown(double factor, int64_t now);
  // Sets the capacity to a share of the initial one. For kResizeGraceMs starts
  // may still rely on a larger previous capacity (the users' rule).
  void set_capacity_percent(int64_t percent, int64_t now);
  // Ends all runs and begins a new incarnation with a new id.
  void Crash(int64_t now);
  // Ends all runs and begins a new incarnation with the same id.
  void Restart(int64_t now);
  // How long after its start the task of `order` crashes the executor; nullopt
  // if it does not.
  static std::optional<Milliseconds> CrashDelay(const StartOrder& order);

  const std::vector<RunHistory>& history() const { return history_; }
  // Includes ends that are due by `now`, such as those of lapsed leases on an
  // executor that nobody calls.
  const std::vector<RunHistory>& HistoryAt(int64_t now);
  // One message per start that exceeded the capacity.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Run {
    TaskRef task;
    int run = 0;
    Resources required;
    int64_t work_ms = 0;
    bool fails = false;
    // As reported from the start of the run on; empty if it has none.
    std::string checkpoint;
    // Tail latency of a serving task while no other task disturbs it; 0 for
    // other tasks.
    int64_t tail_ms = 0;
    // Added to the tail latencies of other tasks while this one runs at full
    // pace.
    int64_t disturbs_ms = 0;
    int pace = kFullPace;
    int64_t began = 0;
    // Work done by `progress_since`, when the slowdown of the executor last
    // changed.
    int64_t progress_ms = 0;
    int64_t progress_since = 0;
    // When an ordered stop takes effect; -1 without one.
    int64_t stop_effective_at = -1;
    // Index in history_.
    size_t history_index = 0;
  };
  // An end that the scheduler has not recorded yet.
  struct UnrecordedEnd {
    // Ends of an incarnation are numbered from 1.
    int64_t number = 0;
    int64_t time = 0;
    // Whether the lease lapsed after the end and before it was recorded.
    bool lapsed = false;
    TaskRef task;
    int run = 0;
    RunEnd end = RunEnd::kLost;
    std::string checkpoint;
    size_t history_index = 0;
  };

  // Ends all runs and resets the state of the incarnation.
  void EndIncarnation(int64_t now);
  // Ends the runs whose ends were due by `now`.
  void Advance(int64_t now);
  // Marks the unrecorded ends that precede the lapse of the lease.
  void MarkLapsedEnds();
  // When and how the run ends unless a further order changes it.
  std::pair<int64_t, RunEnd> NextEnd(const Run& run) const;
  void EndRun(std::map<std::string, Run>::iterator run, RunEnd end,
              int64_t now);
  int64_t Progress(const Run& run, int64_t now) const;
  // The load that reports show: the tail latency in milliseconds of a serving
  // task, else the processor use in thousandths of a core.
  int64_t Load(const Run& run) const;
  // Capacity that starts may use at `now`.
  Resources AllowedCapacity(int64_t now) const;

  const std::string name_;
  const Resources full_capacity_;
  Resources capacity_;
  // The largest capacity that starts could use before the last change.
  Resources previous_capacity_;
  int64_t resized_at_ = 0;
  int incarnation_ = 1;
  // Number of the incarnation that began with the present id.
  int id_incarnation_ = 1;
  // Highest epoch seen; orders with a lower one are fenced.
  int64_t highest_epoch_ = 0;
  // End of the lease of all runs.
  int64_t lease_end_ = 0;
  bool fail_all_ = false;
  bool stalled_ = false;
  double slowdown_ = 1;
  // By task.
  std::map<std::string, Run> runs_;
  // The highest run number that was stopped or has ended, by task.
  std::map<std::string, int> last_closed_runs_;
  std::deque<UnrecordedEnd> unrecorded_ends_;
  int64_t next_end_number_ = 1;
  std::vector<RunHistory> history_;
  std::vector<std::string> violations_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_MODEL_H_
