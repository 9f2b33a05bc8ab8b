// What the evictions for one step may stop in all.
#include "workload/stop_limits.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "planner_cluster.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr int64_t kGuarantee = 8;

// For whom runs are stopped.
enum class Claim {
  // The step exceeds the guarantee of its account.
  kNone,
  // It is within the guarantee, but is not owed its room.
  kReclaims,
  kOwed,
};

// A run of a step of `members` tasks with as many accelerators each.
struct Victim {
  int job = 0;
  int members = 1;
  bool gang = false;
  int accelerators = 1;
  int run = 1;
  int priority = 0;
  bool expected = false;
};

// Runs of one account that is guaranteed 8 accelerators.
class Victims {
 public:
  explicit Victims(int64_t used)
      : capacity_(workers_, nullptr, At(0), nullptr, false),
        budgets_(&ledger_, &workers_),
        balance_(&capacity_, &ledger_, &guarantees_) {
    balance_.OnStarted("north", used);
  }

  StopLimits LimitsFor(Claim claim) {
    StopLimits::Sources sources;
    sources.ledger = &ledger_;
    sources.budgets = &budgets_;
    sources.balance = &balance_;
    sources.may_reclaim = claim != Claim::kNone;
    sources.is_owed = claim == Claim::kOwed;
    return StopLimits(sources);
  }

  // The next task of the job's only step.
  TrackedRun Add(const Victim& victim) {
    const std::string id = Id(victim.job);
    if (ledger_.Find(id) == nullptr) {
      StepSpec step = MakeStep(victim.members, victim.accelerators);
      step.gang = victim.gang;
      ledger_.Add(MakeJob(id, {step}, victim.priority), At(0));
    }
    TrackedRun run;
    run.task = {{id, 0, 0}, next_task_[victim.job]++};
    run.run = victim.run;
    run.profile.need = MakeStep(1, victim.accelerators).need;
    run.profile.priority = victim.priority;
    run.profile.gang = victim.gang;
    run.profile.account = "north";
    return run;
  }

 private:
  const std::map<std::string, WorkerTracker> workers_;
  const Guarantees guarantees_ = {{"north", kGuarantee}};
  JobLedger ledger_;
  ClusterCapacity capacity_;
  DisruptionBudgets budgets_;
  UrgentBalance balance_;
  std::map<int, int> next_task_;
};

// Guards against accounts that are brought below their guarantee by steps which
// are owed nothing, and against gangs that are counted as one of their members.
TEST_CASE("urgent runs are stopped only for what their account may lose") {
  struct Row {
    const char* name;
    int64_t used;
    Claim claim;
    // In the order in which they are taken.
    std::vector<Victim> victims;
  };
  const std::vector<Row> rows = {
      {"batch work has no limit",
       0,
       Claim::kNone,
       {{1, 2, false, 8, 9, 1, true}, {1, 2, false, 8, 9, 1, true}}},
      {"nothing for a step beyond its guarantee",
       64,
       Claim::kNone,
       {{1, 1, false, 1, 1, 0, false}}},
      {"nothing of an account within its guarantee",
       8,
       Claim::kOwed,
       {{1, 1, false, 1, 1, 0, false}}},
      {"until the excess is used up",
       10,
       Claim::kReclaims,
       {{1, 3, false, 1, 1, 0, true},
        {1, 3, false, 1, 1, 0, true},
        {1, 3, false, 1, 1, 0, false}}},
      {"a run larger than the excess, not for a step that is not owed",
       10,
       Claim::kReclaims,
       {{1, 1, false, 4, 1, 0, false}, {2, 1, false, 2, 1, 0, true}}},
      {"a run larger than the excess, for an owed step",
       10,
       Claim::kOwed,
       {{1, 1, false, 4, 1, 0, true}, {2, 1, false, 1, 1, 0, false}}},
      {"a gang counts as a whole",
       12,
       Claim::kReclaims,
       {{1, 5, true, 1, 1, 0, false}, {2, 4, true, 1, 1, 0, true}}},
      {"its other members cost nothing more",
       12,
       Claim::kReclaims,
       {{1, 4, true, 1, 1, 0, true},
        {1, 4, true, 1, 1, 0, true},
        {2, 1, false, 1, 1, 0, false}}},
      {"a gang that exceeds the excess, for an owed step",
       9,
       Claim::kOwed,
       {{1, 5, true, 1, 1, 0, true},
        {1, 5, true, 1, 1, 0, true},
        {2, 1, false, 1, 1, 0, false}}},
      {"a second start may be stopped",
       16,
       Claim::kReclaims,
       {{1, 1, false, 1, 2, 0, true}}},
      {"a third one only for an owed step",
       16,
       Claim::kReclaims,
       {{1, 1, false, 1, 3, 0, false}}},
      {"and then it is stopped",
       16,
       Claim::kOwed,
       {{1, 1, false, 1, 3, 0, true}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Victims victims(row.used);
    StopLimits limits = victims.LimitsFor(row.claim);
    for (const Victim& victim : row.victims) {
      const TrackedRun run = victims.Add(victim);
      CHECK(limits.MayTake(run) == victim.expected);
      CHECK(limits.Take(run) == victim.expected);
    }
  }
}

// Guards against evictions that are counted though they were not chosen: the
// later ones would find the limits used up.
TEST_CASE("runs that exceed a limit together are not counted") {
  Victims victims(10);
  StopLimits limits = victims.LimitsFor(Claim::kReclaims);
  const TrackedRun first = victims.Add({1, 3, false, 1});
  const TrackedRun second = victims.Add({1, 3, false, 1});
  const TrackedRun third = victims.Add({1, 3, false, 1});
  CHECK_FALSE(limits.TakeAll({&first, &second, &third}));
  CHECK(limits.TakeAll({&first, &second}));
  CHECK_FALSE(limits.MayTake(third));
}

// Guards against a third start that is stopped while a first one would do, and
// against an account that is brought below its guarantee without need.
TEST_CASE("runs that only an owed step may stop are the last resort") {
  struct Row {
    const char* name;
    int64_t used;
    Victim victim;
    bool last_resort;
  };
  const std::vector<Row> rows = {
      {"within the excess", 10, {1, 1, false, 2}, false},
      {"beyond the excess", 10, {1, 1, false, 3}, true},
      {"the rest of a gang is beyond it", 10, {1, 3, true, 1}, true},
      {"a gang within it", 11, {1, 3, true, 1}, false},
      {"second start", 10, {1, 1, false, 1, 2}, false},
      {"third start", 10, {1, 1, false, 1, 3}, true},
      {"third start of batch work", 10, {1, 1, false, 1, 3, 1}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Victims victims(row.used);
    const StopLimits limits = victims.LimitsFor(Claim::kOwed);
    CHECK(limits.IsLastResort(victims.Add(row.victim)) == row.last_resort);
  }
}

// Guards against protected long-running tasks of one step that are stopped
// together although each one alone is within the limit.
TEST_CASE("protected tasks are stopped up to the limit of their step") {
  PlannerCluster cluster(1, 1);
  StepSpec lasting = MakeStep(4, 1);
  lasting.long_running = true;
  lasting.max_unavailable = 2;
  cluster.ledger.Add(MakeJob(Id(1), {lasting}, 1), cluster.now);
  cluster.Round();
  std::vector<const TrackedRun*> runs;
  for (auto& [id, worker] : cluster.workers) {
    std::vector<RunReport> unexpected;
    WorkerStatusReport report;
    for (const auto& [task, run] : worker.runs()) {
      report.running.push_back({task, run.run, "", 100});
    }
    worker.OnReport(report, cluster.now, cluster.now, &unexpected);
    for (const auto& [task, run] : worker.runs()) runs.push_back(&run);
  }
  REQUIRE(runs.size() == 4);
  const ClusterCapacity capacity(cluster.workers, nullptr, cluster.now, nullptr,
                                 false);
  DisruptionBudgets budgets(&cluster.ledger, &cluster.workers);
  const UrgentBalance balance(&capacity, &cluster.ledger, &cluster.guarantees);
  StopLimits::Sources sources;
  sources.ledger = &cluster.ledger;
  sources.budgets = &budgets;
  sources.balance = &balance;
  StopLimits limits(sources);
  CHECK(limits.Take(*runs[0]));
  CHECK(limits.Take(*runs[1]));
  CHECK_FALSE(limits.Take(*runs[2]));
  // A copy counts on from there by itself.
  SUBCASE("and not those that were stopped before") {
    budgets.OnStop(runs[0]->task.step);
    StopLimits later(sources);
    CHECK(later.Take(*runs[1]));
    CHECK_FALSE(later.Take(*runs[2]));
  }
}

}  // namespace
}  // namespace thornplank::testing
