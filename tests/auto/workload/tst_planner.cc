// Placement: which workers tasks start on, which tasks wait, and which runs are
// evicted.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"
#include "workload/planner.h"

namespace thornplank::testing {
namespace {

TEST_CASE("filler tasks start where cores are idle") {
  PlannerCluster cluster(1, 3);
  StepSpec busy = MakeStep(1, 1);
  busy.need.cpu_millis = 64000;
  cluster.ledger.Add(MakeJob(Id(1), {busy}), cluster.now);
  REQUIRE(cluster.Round().starts.size() == 1);
  StepSpec filler = MakeStep(4, 0);
  filler.need.cpu_millis = 32000;
  filler.is_filler = true;
  cluster.ledger.Add(MakeJob(Id(2), {filler}), cluster.now);
  const Plan plan = cluster.Round();
  REQUIRE(plan.starts.size() == 1);
  std::map<std::string, int> tasks;
  for (const auto& assignment : plan.starts[0].assignments) {
    ++tasks[assignment.worker];
  }
  // Two workers have all cores idle, enough for two tasks each.
  CHECK(tasks == std::map<std::string, int>{{"w0-1", 2}, {"w0-2", 2}});
}

TEST_CASE("how many tasks of a step start at once") {
  struct Row {
    const char* name;
    StepSpec step;
    size_t started;
  };
  StepSpec labelled = MakeStep(2, 1);
  labelled.required_label = "none-has-it";
  StepSpec apart = MakeStep(9, 1);
  apart.max_per_worker = 1;
  StepSpec huge = MakeStep(1, 9);
  // The cluster has two racks of three workers with eight accelerators each.
  const std::vector<Row> rows = {
      {"all that fit", MakeStep(4, 1), 4},
      {"only as many as fit", MakeStep(10, 5), 6},
      {"a gang as a whole", Gang(6, 8, false), 6},
      {"a gang that lacks room for one member", Gang(7, 8, false), 0},
      {"a gang on one rack", Gang(3, 8, true), 3},
      {"a gang larger than any rack", Gang(4, 8, true), 4},
      {"no worker has its label", labelled, 0},
      {"at most one per worker", apart, 6},
      {"larger than any worker", huge, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(2, 3);
    cluster.ledger.Add(MakeJob(Id(1), {row.step}), cluster.now);
    const Plan plan = cluster.Round();
    size_t started = 0;
    for (const StartDecision& start : plan.starts) {
      started += start.assignments.size();
    }
    CHECK(started == row.started);
  }
}

TEST_CASE("small tasks use gaps and leave whole workers free") {
  PlannerCluster cluster(1, 3);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(3, 2)}), cluster.now);
  cluster.Round();
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 2)}), cluster.now);
  cluster.Round();
  int whole = 0;
  for (const auto& [id, worker] : cluster.workers) {
    whole += worker.room().accelerators == 8 ? 1 : 0;
  }
  CHECK(whole == 2);
}

TEST_CASE(
    "tasks wait for the rack of their data, but not for long in an idle "
    "cluster") {
  PlannerCluster cluster(3, 1);
  StepSpec filler = MakeStep(1, 8);
  filler.required_label = "r0";
  cluster.ledger.Add(MakeJob(Id(1), {filler}), cluster.now);
  cluster.Round();
  StepSpec near = MakeStep(1, 1);
  near.data_rack = "r0";
  cluster.ledger.Add(MakeJob(Id(2), {near}), cluster.now);
  CHECK(cluster.Round().starts.empty());
  StepSpec busy = MakeStep(1, 8);
  busy.required_label = "r1";
  cluster.ledger.Add(MakeJob(Id(0), {busy}), cluster.now);
  CHECK(cluster.Round().starts.size() == 1);
  cluster.now += Milliseconds(1001);
  CHECK(cluster.Round().starts.empty());
  cluster.End("w1-0", {{Id(0), 0, 0}, 0}, RunEnd::kDone);
  CHECK(cluster.Round().starts.size() == 1);
}

TEST_CASE(
    "a task starts neither before its dependencies are done nor before its "
    "time") {
  PlannerCluster cluster(1, 2);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1), MakeStep(1, 1, {0})}),
                     cluster.now);
  JobDefinition scheduled = MakeJob(Id(2), {MakeStep(1, 1)});
  scheduled.occurrences = 3;
  scheduled.first_start = cluster.wall_now + Milliseconds(500);
  scheduled.interval = Milliseconds(1000);
  cluster.ledger.Add(scheduled, cluster.now);
  CHECK(cluster.Round().starts.size() == 1);
  CHECK(cluster.Round().starts.empty());
  cluster.wall_now += Milliseconds(500);
  CHECK(cluster.Round().starts.size() == 1);
  cluster.wall_now += Milliseconds(2000);
  CHECK(cluster.Round().starts.size() == 2);
}

TEST_CASE("urgent jobs evict the runs with the least unsaved work") {
  PlannerCluster cluster(1, 2);
  // The work of a checkpointable task is saved whenever it is stopped.
  StepSpec unsaved = MakeStep(1, 8);
  StepSpec saved = MakeStep(1, 8);
  saved.checkpointable = true;
  cluster.ledger.Add(MakeJob(Id(1), {unsaved}, 2), cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {saved}, 2), cluster.now);
  cluster.Round();
  for (auto& [id, worker] : cluster.workers) {
    for (auto& [task, run] : worker.runs()) {
      run.began = cluster.now;
    }
  }
  cluster.now += std::chrono::seconds(5);
  cluster.ledger.Add(MakeJob(Id(3), {Gang(2, 4, true)}, 0), cluster.now);
  const Plan plan = cluster.Round();
  CHECK(plan.starts.empty());
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].task.step.job == Id(2));
  SUBCASE("the room is reserved for it") {
    cluster.CarryOutStops();
    cluster.ledger.Add(MakeJob(Id(4), {MakeStep(8, 1)}, 0), cluster.now);
    const Plan next = cluster.Round();
    REQUIRE_FALSE(next.starts.empty());
    CHECK(next.starts[0].step.job == Id(3));
  }
  SUBCASE("no more runs are stopped while it waits") {
    CHECK(cluster.Round().stops.empty());
  }
}

// A new leader knows few of its workers at first. It took those for the whole
// cluster, evicted runs for urgent jobs and spread gangs over racks although
// workers that it had yet to ask were empty.
TEST_CASE("while workers are still asked what they run, nothing is rash") {
  struct Row {
    const char* name;
    bool surveying;
    std::vector<StepSpec> steps;
    int priority;
    bool starts;
    bool evicts;
  };
  const StepSpec small = Gang(2, 4, true);
  const StepSpec wide = Gang(2, 8, true);
  const std::vector<Row> rows = {
      {"urgent, fits on what is known", true, {small}, 0, true, false},
      {"urgent, fits on one rack only after an eviction",
       true,
       {wide},
       0,
       false,
       false},
      {"the same once all are known", false, {wide}, 0, false, true},
      {"not urgent", true, {small}, 2, false, false},
      {"not urgent, once all are known", false, {small}, 2, true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(1, 2);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 8)}, 2), cluster.now);
    cluster.Round();
    cluster.now += std::chrono::seconds(5);
    cluster.surveying = row.surveying;
    cluster.ledger.Add(MakeJob(Id(2), row.steps, row.priority), cluster.now);
    const Plan plan = cluster.Round();
    CHECK(plan.starts.empty() != row.starts);
    CHECK(plan.stops.empty() != row.evicts);
  }
}

// Guards against evictions, after an outage of the store, from the few workers
// whose capacity is known, while others have free room.
TEST_CASE("while entries are awaited, steps are placed without evictions") {
  struct Row {
    const char* name;
    bool awaiting_entries;
    StepSpec step;
    int priority;
    bool starts;
    bool evicts;
  };
  const StepSpec small = Gang(2, 4, true);
  const StepSpec wide = Gang(2, 8, true);
  const std::vector<Row> rows = {
      {"urgent, fits on what is known", true, small, 0, true, false},
      {"urgent, fits only after an eviction", true, wide, 0, false, false},
      {"the same once all entries are read", false, wide, 0, false, true},
      {"not urgent, fits on what is known", true, small, 2, true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(1, 2);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 8)}, 2), cluster.now);
    cluster.Round();
    cluster.now += std::chrono::seconds(5);
    cluster.awaiting_entries = row.awaiting_entries;
    cluster.ledger.Add(MakeJob(Id(2), {row.step}, row.priority), cluster.now);
    const Plan plan = cluster.Round();
    CHECK(plan.starts.empty() != row.starts);
    CHECK(plan.stops.empty() != row.evicts);
  }
}

TEST_CASE("a guarantee is reclaimed only from accounts above their own") {
  for (const bool beyond : {true, false}) {
    CAPTURE(beyond);
    PlannerCluster cluster(1, 2);
    cluster.guarantees = {{"north", 8}, {"south", beyond ? 8 : 16}};
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(16, 1)}, 0, "south"),
                       cluster.now);
    cluster.Round();
    cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 8)}, 0, "north"),
                       cluster.now);
    CHECK(cluster.Round().stops.empty() == !beyond);
  }
}

// Guards against capacity that stays reserved for a gang which can no longer
// start there, and against the same reclaim in every round.
TEST_CASE("a reclaim that cannot be completed is given up for a while") {
  PlannerCluster cluster(1, 4);
  cluster.guarantees = {{"north", 16}, {"south", 8}, {"west", 8}};
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(3, 8)}, 0, "south"), cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 8)}, 0, "east"), cluster.now);
  cluster.Round();
  REQUIRE(cluster.free_accelerators() == 0);
  cluster.ledger.Add(MakeJob(Id(3), {Gang(2, 8, false)}, 0, "north"),
                     cluster.now);
  // Brings the needs of the account beyond its guarantee.
  StepSpec elsewhere = MakeStep(1, 8);
  elsewhere.required_label = "none";
  cluster.ledger.Add(MakeJob(Id(4), {elsewhere}, 0, "north"), cluster.now);
  // It waits for runs to end first, as it is not owed its room.
  CHECK(cluster.Round().stops.empty());
  cluster.now += PlannerSettings().max_share_wait;
  const Plan reclaim = cluster.Round();
  REQUIRE(reclaim.stops.size() == 2);
  cluster.CarryOutStops();
  cluster.workers.at(reclaim.stops[0].worker).set_domain_closed(true);
  cluster.ledger.Add(MakeJob(Id(5), {MakeStep(1, 8)}, 0, "west"), cluster.now);
  cluster.now += Milliseconds(100);
  const Plan given_up = cluster.Round();
  CHECK(given_up.stops.empty());
  // Within a guarantee too, so that only a reservation would hold it back.
  REQUIRE(given_up.starts.size() == 1);
  REQUIRE(given_up.starts[0].step.job == Id(5));
  cluster.End(given_up.starts[0].assignments[0].worker,
              {given_up.starts[0].step, 0}, RunEnd::kDone);
  // Completions, so that these stops are not what holds back the next ones.
  cluster.ledger.Add(MakeJob(Id(6), {MakeStep(2, 0)}, 0, "north"), cluster.now);
  const StepRef other{Id(6), 0, 0};
  const int run = cluster.ledger.RecordStart(other, {{0, "x"}, {1, "x"}});
  for (const int task : {0, 1}) {
    cluster.ledger.RecordRunEnd({other, task}, run, RunEnd::kDone, "");
  }
  const Milliseconds delay = WorkerBounds().reclaim_retry_delay(1);
  cluster.now += delay - Milliseconds(1);
  CHECK(cluster.Round().stops.empty());
  cluster.now += Milliseconds(1);
  // One of the other workers is free.
  CHECK(cluster.Round().stops.size() == 1);
}

// Guards against a guarantee that is withheld while runs of cancelled jobs of
// the account are still on a worker: they are no need of it any more.
TEST_CASE("runs of ended jobs do not use up what an account is owed") {
  PlannerCluster cluster(1, 2);
  cluster.guarantees = {{"north", 8}};
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 8)}, 0, "north"), cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 8)}, 0, "east"), cluster.now);
  REQUIRE(cluster.Round().starts.size() == 2);
  cluster.ledger.Cancel(Id(1));
  cluster.ledger.Add(MakeJob(Id(3), {MakeStep(1, 8)}, 0, "north"), cluster.now);
  const Plan plan = cluster.Round();
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].task.step.job == Id(2));
}

// While stops exceed completions, accounts get back only what they are owed.
TEST_CASE("stops between accounts wait for completions unless they are owed") {
  for (const bool owed : {false, true}) {
    CAPTURE(owed);
    PlannerCluster cluster(1, 4);
    cluster.guarantees = {{"north", 8}, {"south", 8}};
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(32, 1)}, 0, "east"),
                       cluster.now);
    cluster.Round();
    cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 8)}, 0, "north"),
                       cluster.now);
    REQUIRE(cluster.Round().stops.size() == 8);
    cluster.CarryOutStops();
    REQUIRE(cluster.Round().starts.size() == 1);
    cluster.ledger.Add(MakeJob(Id(3), {MakeStep(1, 8)}, 0, "south"),
                       cluster.now);
    if (!owed) {
      cluster.ledger.Add(MakeJob(Id(4), {MakeStep(1, 8)}, 0, "south"),
                         cluster.now);
      // Otherwise it would wait for runs to end in any case.
      CHECK(cluster.Round().stops.empty());
      cluster.now += PlannerSettings().max_share_wait;
    }
    const Plan plan = cluster.Round();
    CHECK(plan.stops.size() == (owed ? 8 : 0));
    CHECK(plan.equal_stop_limit_change.has_value() == !owed);
    if (owed) continue;
    CHECK(cluster.planner.limits_equal_stops());
    // All runs of another account on one worker end, more than what the count
    // of stops has decayed to.
    int ended = 0;
    for (auto& [id, worker] : cluster.workers) {
      while (ended < 8 && !worker.runs().empty()) {
        const TaskRef task = worker.runs().begin()->first;
        if (task.step.job != Id(1)) break;
        cluster.End(id, task, RunEnd::kDone);
        ++ended;
      }
    }
    REQUIRE(ended == 8);
    const Plan after = cluster.Round();
    REQUIRE(after.equal_stop_limit_change);
    CHECK_FALSE(after.equal_stop_limit_change->limited);
  }
}

TEST_CASE(
    "jobs of lower priority leave workers empty while urgent ones arrive") {
  PlannerCluster cluster(2, 5);
  // Two of the ten workers are left empty.
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 8)}, 0), cluster.now);
  cluster.Round();
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(20, 8)}, 1), cluster.now);
  cluster.Round();
  CHECK(cluster.free_accelerators() == 16);
  SUBCASE("a gang is not placed in part") {
    cluster.ledger.Add(MakeJob(Id(3), {Gang(2, 8, false)}, 1), cluster.now);
    CHECK(cluster.Round().starts.empty());
  }
  SUBCASE("an urgent job uses them without an eviction") {
    cluster.ledger.Add(MakeJob(Id(3), {MakeStep(2, 8)}, 0), cluster.now);
    const Plan plan = cluster.Round();
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].assignments.size() == 2);
    CHECK(plan.stops.empty());
  }
  SUBCASE("small tasks use workers that are not empty") {
    cluster.ledger.Add(MakeJob(Id(3), {MakeStep(1, 0)}, 2), cluster.now);
    CHECK(cluster.Round().starts.size() == 1);
    CHECK(cluster.free_accelerators() == 16);
  }
  SUBCASE("they are used once no urgent job has come for a while") {
    cluster.now += Milliseconds(5001);
    cluster.Round();
    CHECK(cluster.free_accelerators() == 0);
  }
}

// Invariants that must hold in every state that random work leads to.
void CheckInvariants(const PlannerCluster& cluster) {
  for (const auto& [id, worker] : cluster.workers) {
    RC_ASSERT(worker.room().accelerators >= 0);
    RC_ASSERT(worker.room().cpu_millis >= 0);
    RC_ASSERT(worker.room().memory_mb >= 0);
  }
  std::map<StepRef, std::set<int>> gang_runs;
  for (const auto& [id, job] : cluster.ledger.jobs()) {
    for (size_t s = 0; s < job->spec.steps.size(); ++s) {
      const StepRef ref{id, 0, static_cast<int>(s)};
      const StepProgress& progress = *cluster.ledger.FindStep(ref);
      if (job->spec.steps[s].gang && progress.active() > 0) {
        RC_ASSERT(progress.waiting == 0);
      }
      if (progress.active() + progress.done == 0) continue;
      RC_ASSERT(JobLedger::IsReady(*job, 0, static_cast<int>(s)));
    }
  }
}

TEST_CASE("no sequence of work breaks capacity, gangs or order") {
  CHECK(rc::check([] {
    PlannerCluster cluster(2, 3);
    cluster.guarantees = {{"north", 16}, {"south", 8}};
    const int rounds = *rc::gen::inRange(1, 25);
    for (int i = 0; i < rounds; ++i) {
      StepSpec first =
          MakeStep(*rc::gen::inRange(1, 8), *rc::gen::element(0, 1, 2, 4, 8));
      first.gang = *rc::gen::arbitrary<bool>();
      first.same_rack = *rc::gen::arbitrary<bool>();
      first.max_per_worker = *rc::gen::element(0, 0, 1, 3);
      const int priority = *rc::gen::inRange(0, 3);
      const std::string account =
          *rc::gen::element<std::string>("north", "south");
      cluster.ledger.Add(
          MakeJob(Id(i), {first, MakeStep(1, 1, {0})}, priority, account),
          cluster.now);
      cluster.Round();
      CheckInvariants(cluster);
      cluster.CarryOutStops();
      for (auto& [id, worker] : cluster.workers) {
        std::vector<TaskRef> ending;
        for (const auto& [task, run] : worker.runs()) {
          if (*rc::gen::inRange(0, 3) == 0) ending.push_back(task);
        }
        for (const TaskRef& task : ending) {
          const StepSpec* spec = cluster.ledger.FindStepSpec(task.step);
          if (spec->gang) continue;
          cluster.End(id, task,
                      *rc::gen::element(RunEnd::kDone, RunEnd::kFailed));
        }
      }
      cluster.now += Milliseconds(*rc::gen::inRange(1, 2000));
    }
  }));
}

}  // namespace
}  // namespace thornplank::testing
