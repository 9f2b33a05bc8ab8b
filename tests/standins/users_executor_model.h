// One of the users' executors without its transport: runs under leases, ends
// that are listed until they are recorded, fencing, late orders.
//
// What a task does is told by its payload, a JSON object: work_ms, fail, and
// needs, for each step the thousandths of a core, the megabytes and the
// accelerators of one task, by which the model sees whether its capacity is
// kept to. tail_ms makes a task serve, disturbs_ms adds to the tails beside it.
// With "advised": true a start needs the advisor's ticket. crash_after_ms: the
// executor crashes so long after it has started the task; crash_task names the
// one task of each step that does so, without it all do.
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

// One run, for the checker.
struct RunHistory {
  std::string worker;
  std::string task;
  int run = 0;
  int64_t began_ms = 0;
  // -1 while it runs.
  int64_t ended_ms = -1;
  std::string end_reason;
  // Its end was recorded by the scheduler, under a lease that had not lapsed
  // since. After a lapse the scheduler may have begun the task again, so that
  // the end counts for nothing, for good (the users' rule).
  bool recorded = false;
  // As last reported, and as last ordered.
  int64_t load = 0;
  int pace = kFullPace;
};

class UsersExecutorModel {
 public:
  UsersExecutorModel(std::string name, Resources capacity);

  std::string id() const;
  // Counts its lives, also those under one id.
  int life() const { return life_; }
  // As it is now.
  const Resources& capacity() const { return capacity_; }

  // Every call takes the present in milliseconds, which is the worker's clock.
  StartOutcome Start(const StartOrder& order, int64_t now);
  CallOutcome Stop(const StopOrder& order, int64_t now);
  CallOutcome SetPace(const PaceOrder& order, int64_t now);
  CallOutcome Status(const StatusQuery& query, int64_t now,
                     WorkerStatusReport* report);
  // Whether a report would list an end behind `recorded`.
  bool HasEndBehind(int64_t recorded, int64_t now);

  // Faults.
  void set_fail_all(bool on) { fail_all_ = on; }
  void set_stalled(bool on, int64_t now);
  // From now on work takes this many times as long.
  void set_slowdown(double factor, int64_t now);
  // From now on it has that share of its first capacity. Who starts something
  // may go by the larger one for a while (the users' rule).
  void set_capacity_percent(int64_t percent, int64_t now);
  // Everything ends; a new life begins, under a new id.
  void Crash(int64_t now);
  // The same under the id that it had.
  void Restart(int64_t now);
  // How long after its start the ordered task crashes its executor; nullopt for
  // a task that does not.
  static std::optional<Milliseconds> CrashDelay(const StartOrder& order);

  const std::vector<RunHistory>& history() const { return history_; }
  // Times at which more ran than there is room for.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Run {
    TaskRef task;
    int run = 0;
    Resources need;
    int64_t work_ms = 0;
    bool fails = false;
    // Of a serving task: the tail of its answers when nothing disturbs it.
    int64_t tail_ms = 0;
    // What it adds to the tails of others at full pace.
    int64_t disturbs_ms = 0;
    int pace = kFullPace;
    int64_t began = 0;
    // Work that was done by `since`, when the executor's pace last changed.
    int64_t done_ms = 0;
    int64_t since = 0;
    // Set by a stop: when it will be over.
    int64_t stops_at = -1;
    size_t history = 0;
  };
  struct Ended {
    int64_t number = 0;
    int64_t time = 0;
    // The lease lapsed after it, before it was recorded.
    bool lapsed = false;
    TaskRef task;
    int run = 0;
    RunEnd end = RunEnd::kLost;
    size_t history = 0;
  };

  // Everything ends.
  void EndLife(int64_t now);
  void Advance(int64_t now);
  // Ends that nobody has recorded when the lease lapses.
  void NoteLapse();
  // How the run ends if nothing else happens to it, and when.
  std::pair<int64_t, RunEnd> NextEnd(const Run& run) const;
  void End(std::map<std::string, Run>::iterator run, RunEnd end, int64_t now);
  int64_t Progress(const Run& run, int64_t now) const;
  int64_t Load(const Run& run) const;

  // The most that may be started on it.
  Resources AllowedCapacity(int64_t now) const;

  const std::string name_;
  const Resources whole_;
  Resources capacity_;
  // The largest of the capacities that were in force shortly before.
  Resources former_;
  int64_t resized_at_ = 0;
  int life_ = 1;
  // Of the life that took its id.
  int named_life_ = 1;
  int64_t fence_ = 0;
  int64_t deadline_ = 0;
  bool fail_all_ = false;
  bool stalled_ = false;
  double slowdown_ = 1;
  std::map<std::string, Run> runs_;
  // The highest run that was stopped or has ended, by task.
  std::map<std::string, int> closed_runs_;
  std::deque<Ended> ended_;
  int64_t next_number_ = 1;
  std::vector<RunHistory> history_;
  std::vector<std::string> violations_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_MODEL_H_
