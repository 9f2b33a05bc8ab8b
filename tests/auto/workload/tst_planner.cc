// Where tasks go, which wait, and which give way.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "planner_world.h"
#include "workload/planner.h"

namespace thornplank::testing {
namespace {

TEST_CASE("tasks that fill go where cores are idle, beside full workers too") {
  World world(1, 3);
  StepSpec busy = MakeStep(1, 1);
  busy.need.cpu_millis = 64000;
  world.ledger.Add(MakeJob(Id(1), {busy}), world.now);
  REQUIRE(world.Round().starts.size() == 1);
  StepSpec filler = MakeStep(4, 0);
  filler.need.cpu_millis = 32000;
  filler.is_filler = true;
  world.ledger.Add(MakeJob(Id(2), {filler}), world.now);
  const Plan plan = world.Round();
  REQUIRE(plan.starts.size() == 1);
  std::map<std::string, int> tasks;
  for (const auto& assignment : plan.starts[0].assignments) {
    ++tasks[assignment.worker];
  }
  // Two workers have all their cores idle, for two tasks each.
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
  // Two racks of three workers of eight accelerators.
  const std::vector<Row> rows = {
      {"all that fit", MakeStep(4, 1), 4},
      {"as many as fit", MakeStep(10, 5), 6},
      {"a gang as a whole", Gang(6, 8, false), 6},
      {"a gang that lacks a member's room", Gang(7, 8, false), 0},
      {"a gang on one rack", Gang(3, 8, true), 3},
      {"a gang larger than any rack", Gang(4, 8, true), 4},
      {"without its label", labelled, 0},
      {"at most one a worker", apart, 6},
      {"larger than any worker", huge, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world(2, 3);
    world.ledger.Add(MakeJob(Id(1), {row.step}), world.now);
    const Plan plan = world.Round();
    size_t started = 0;
    for (const StartDecision& start : plan.starts) {
      started += start.assignments.size();
    }
    CHECK(started == row.started);
  }
}

TEST_CASE("small tasks fill gaps and leave whole workers free") {
  World world(1, 3);
  world.ledger.Add(MakeJob(Id(1), {MakeStep(3, 2)}), world.now);
  world.Round();
  world.ledger.Add(MakeJob(Id(2), {MakeStep(1, 2)}), world.now);
  world.Round();
  int whole = 0;
  for (const auto& [id, worker] : world.workers) {
    whole += worker.room().accelerators == 8 ? 1 : 0;
  }
  CHECK(whole == 2);
}

TEST_CASE("tasks wait for their data's rack, and leave an idle cluster's") {
  World world(3, 1);
  StepSpec filler = MakeStep(1, 8);
  filler.required_label = "r0";
  world.ledger.Add(MakeJob(Id(1), {filler}), world.now);
  world.Round();
  StepSpec near = MakeStep(1, 1);
  near.data_rack = "r0";
  world.ledger.Add(MakeJob(Id(2), {near}), world.now);
  CHECK(world.Round().starts.empty());
  StepSpec busy = MakeStep(1, 8);
  busy.required_label = "r1";
  world.ledger.Add(MakeJob(Id(0), {busy}), world.now);
  CHECK(world.Round().starts.size() == 1);
  world.now += Milliseconds(1001);
  CHECK(world.Round().starts.empty());
  world.End("w1-0", {{Id(0), 0, 0}, 0}, RunEnd::kDone);
  CHECK(world.Round().starts.size() == 1);
}

TEST_CASE("a task starts neither before its turn nor before its time") {
  World world(1, 2);
  world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1), MakeStep(1, 1, {0})}),
                   world.now);
  JobDefinition scheduled = MakeJob(Id(2), {MakeStep(1, 1)});
  scheduled.occurrences = 3;
  scheduled.first_start = world.wall_now + Milliseconds(500);
  scheduled.interval = Milliseconds(1000);
  world.ledger.Add(scheduled, world.now);
  CHECK(world.Round().starts.size() == 1);
  CHECK(world.Round().starts.empty());
  world.wall_now += Milliseconds(500);
  CHECK(world.Round().starts.size() == 1);
  world.wall_now += Milliseconds(2000);
  CHECK(world.Round().starts.size() == 2);
}

TEST_CASE("urgent jobs take room from those whose loss is least") {
  World world(1, 2);
  // A stop saves what a checkpointable task has done, at whatever moment.
  StepSpec kept = MakeStep(1, 8);
  StepSpec saved = MakeStep(1, 8);
  saved.checkpointable = true;
  world.ledger.Add(MakeJob(Id(1), {kept}, 2), world.now);
  world.ledger.Add(MakeJob(Id(2), {saved}, 2), world.now);
  world.Round();
  for (auto& [id, worker] : world.workers) {
    for (auto& [task, run] : worker.runs()) {
      run.began = world.now;
    }
  }
  world.now += std::chrono::seconds(5);
  world.ledger.Add(MakeJob(Id(3), {Gang(2, 4, true)}, 0), world.now);
  const Plan plan = world.Round();
  CHECK(plan.starts.empty());
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].task.step.job == Id(2));
  SUBCASE("the room is kept for it") {
    world.CarryOutStops();
    world.ledger.Add(MakeJob(Id(4), {MakeStep(8, 1)}, 0), world.now);
    const Plan next = world.Round();
    REQUIRE_FALSE(next.starts.empty());
    CHECK(next.starts[0].step.job == Id(3));
  }
  SUBCASE("no more runs are stopped while it waits") {
    CHECK(world.Round().stops.empty());
  }
}

TEST_CASE("a guarantee is reclaimed from accounts beyond theirs only") {
  for (const bool beyond : {true, false}) {
    CAPTURE(beyond);
    World world(1, 2);
    world.guarantees = {{"north", 8}, {"south", beyond ? 8 : 16}};
    world.ledger.Add(MakeJob(Id(1), {MakeStep(16, 1)}, 0, "south"), world.now);
    world.Round();
    world.ledger.Add(MakeJob(Id(2), {MakeStep(1, 8)}, 0, "north"), world.now);
    CHECK(world.Round().stops.empty() == !beyond);
  }
}

TEST_CASE("jobs of lower priority leave workers empty while urgent ones come") {
  World world(2, 5);
  // Two of ten workers are kept empty.
  world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 8)}, 0), world.now);
  world.Round();
  world.ledger.Add(MakeJob(Id(2), {MakeStep(20, 8)}, 1), world.now);
  world.Round();
  CHECK(world.free_accelerators() == 16);
  SUBCASE("a gang is not placed in part") {
    world.ledger.Add(MakeJob(Id(3), {Gang(2, 8, false)}, 1), world.now);
    CHECK(world.Round().starts.empty());
  }
  SUBCASE("an urgent job takes them without a stop") {
    world.ledger.Add(MakeJob(Id(3), {MakeStep(2, 8)}, 0), world.now);
    const Plan plan = world.Round();
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].assignments.size() == 2);
    CHECK(plan.stops.empty());
  }
  SUBCASE("small tasks fill what is in use") {
    world.ledger.Add(MakeJob(Id(3), {MakeStep(1, 0)}, 2), world.now);
    CHECK(world.Round().starts.size() == 1);
    CHECK(world.free_accelerators() == 16);
  }
  SUBCASE("they are filled once no urgent job has come for a while") {
    world.now += Milliseconds(5001);
    world.Round();
    CHECK(world.free_accelerators() == 0);
  }
}

// What must hold in every state that random work leads to.
void CheckWorld(const World& world) {
  for (const auto& [id, worker] : world.workers) {
    RC_ASSERT(worker.room().accelerators >= 0);
    RC_ASSERT(worker.room().cpu_millis >= 0);
    RC_ASSERT(worker.room().memory_mb >= 0);
  }
  std::map<StepRef, std::set<int>> gang_runs;
  for (const auto& [id, job] : world.ledger.jobs()) {
    for (size_t s = 0; s < job->spec.steps.size(); ++s) {
      const StepRef ref{id, 0, static_cast<int>(s)};
      const StepProgress& progress = *world.ledger.FindStep(ref);
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
    World world(2, 3);
    world.guarantees = {{"north", 16}, {"south", 8}};
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
      world.ledger.Add(
          MakeJob(Id(i), {first, MakeStep(1, 1, {0})}, priority, account),
          world.now);
      world.Round();
      CheckWorld(world);
      world.CarryOutStops();
      for (auto& [id, worker] : world.workers) {
        std::vector<TaskRef> ending;
        for (const auto& [task, run] : worker.runs()) {
          if (*rc::gen::inRange(0, 3) == 0) ending.push_back(task);
        }
        for (const TaskRef& task : ending) {
          const StepSpec* spec = world.ledger.FindStepSpec(task.step);
          if (spec->gang) continue;
          world.End(id, task,
                    *rc::gen::element(RunEnd::kDone, RunEnd::kFailed));
        }
      }
      world.now += Milliseconds(*rc::gen::inRange(1, 2000));
    }
  }));
}

}  // namespace
}  // namespace thornplank::testing
