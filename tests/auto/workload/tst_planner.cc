// Where tasks go, which wait, and which give way.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "workload/planner.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

// A ledger and workers that do at once what the planner decides.
class World {
 public:
  World(int racks, int workers_per_rack) {
    for (int rack = 0; rack < racks; ++rack) {
      for (int i = 0; i < workers_per_rack; ++i) {
        const std::string id =
            "w" + std::to_string(rack) + "-" + std::to_string(i);
        workers.emplace(
            id, MakeTracker(MakeWorker(id, "r" + std::to_string(rack))));
      }
    }
  }

  Plan Round() {
    PlanInputs inputs;
    inputs.ledger = &ledger;
    inputs.workers = &workers;
    inputs.guarantees = &guarantees;
    inputs.advice = &advice;
    inputs.now = now;
    inputs.wall_now = wall_now;
    Plan plan = planner.Decide(inputs);
    for (const StartDecision& start : plan.starts) {
      const int run = ledger.Start(start.step, start.assignments);
      const Job& job = *ledger.Find(start.step.job);
      const StepSpec& spec = *ledger.FindStepSpec(start.step);
      for (const auto& assignment : start.assignments) {
        RunProfile profile;
        profile.need = spec.need;
        profile.priority = job.spec.policy.priority;
        profile.account = job.spec.account;
        profile.gang = spec.gang;
        profile.checkpointable = spec.checkpointable;
        const TaskRef task{start.step, assignment.index};
        WorkerTracker& worker = workers.at(assignment.worker);
        worker.Add(task, run, profile, now);
        worker.OnStartAnswer(task, run, StartOutcome::kAccepted, now);
      }
    }
    for (const StopDecision& stop : plan.stops) {
      workers.at(stop.worker).Find(stop.task)->stop_wanted = true;
    }
    return plan;
  }

  // The stops of a round take effect; a gang ends with any of its members.
  void CarryOutStops() {
    std::set<StepRef> broken;
    for (const auto& [id, worker] : workers) {
      for (const auto& [task, run] : worker.runs()) {
        if (run.stop_wanted && run.profile.gang) broken.insert(task.step);
      }
    }
    for (auto& [id, worker] : workers) {
      for (auto& [task, run] : worker.runs()) {
        if (broken.count(task.step) > 0) run.stop_wanted = true;
      }
    }
    for (auto& [id, worker] : workers) {
      std::vector<TaskRef> stopped;
      for (const auto& [task, run] : worker.runs()) {
        if (run.stop_wanted) stopped.push_back(task);
      }
      for (const TaskRef& task : stopped) {
        End(id, task, RunEnd::kStopped);
      }
    }
  }

  void End(const std::string& id, const TaskRef& task, RunEnd end) {
    WorkerTracker& worker = workers.at(id);
    const int run = worker.Find(task)->run;
    worker.OnStopAnswer(task, run, true, now);
    std::vector<RunReport> unexpected;
    WorkerStatusReport report;
    for (const auto& [other, tracked] : worker.runs()) {
      if (other == task) continue;
      report.running.push_back({other, tracked.run, "", 1});
    }
    worker.OnReport(report, now, now, &unexpected);
    ledger.End(task, run, end, "");
  }

  int64_t free_accelerators() const {
    int64_t free = 0;
    for (const auto& [id, worker] : workers) {
      free += worker.room().accelerators;
    }
    return free;
  }

  JobLedger ledger;
  std::map<std::string, WorkerTracker> workers;
  Guarantees guarantees;
  AdviceBook advice;
  Planner planner{PlannerSettings()};
  Time now = At(0);
  WallTime wall_now = FromUnixMilliseconds(1000100);
};

std::string Id(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

StepSpec Gang(int count, int accelerators, bool same_rack) {
  StepSpec step = MakeStep(count, accelerators);
  step.gang = true;
  step.same_rack = same_rack;
  return step;
}

TEST_CASE("a step that needs advice starts on approved workers only") {
  World world(2, 3);
  JobDefinition job = MakeJob(Id(1), {MakeStep(4, 8)});
  job.policy.advice = AdviceTerms{};
  world.ledger.Add(job, world.now);
  Plan plan = world.Round();
  CHECK(plan.starts.empty());
  REQUIRE(plan.waits.size() == 1);
  CHECK(plan.waits[0].reason == WaitReason::kNoAdvice);
  CHECK(plan.waits[0].candidates.size() == 6);

  const StepRef step = plan.waits[0].step;
  const auto asked =
      world.advice.NextQuestion(step, plan.waits[0].candidates, world.now);
  world.advice.OnAnswer(step, asked, {{"w0-1", "t1"}, {"w1-2", "t2"}},
                        Milliseconds(3000), world.now);
  plan = world.Round();
  std::set<std::string> used;
  for (const StartDecision& start : plan.starts) {
    for (const auto& assignment : start.assignments) {
      used.insert(assignment.worker);
    }
  }
  CHECK(used == std::set<std::string>{"w0-1", "w1-2"});
  // Two tasks have no place yet: the rest of the workers may be asked about.
  REQUIRE(plan.waits.size() == 1);
  CHECK(plan.waits[0].reason == WaitReason::kNoAdvice);
}

TEST_CASE("urgent work that needs advice takes room on approved workers only") {
  World world(1, 3);
  world.ledger.Add(MakeJob(Id(1), {MakeStep(3, 8)}, 2), world.now);
  world.Round();
  JobDefinition urgent = MakeJob(Id(2), {MakeStep(1, 8)}, 0);
  urgent.policy.advice = AdviceTerms{};
  world.ledger.Add(urgent, world.now);
  Plan plan = world.Round();
  CHECK(plan.stops.empty());
  const StepRef step{Id(2), 0, 0};
  const auto asked =
      world.advice.NextQuestion(step, {"w0-0", "w0-1", "w0-2"}, world.now);
  world.advice.OnAnswer(step, asked, {{"w0-1", "t"}}, Milliseconds(3000),
                        world.now);
  plan = world.Round();
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].worker == "w0-1");
}

TEST_CASE("tasks that fill go where cores are idle, beside full workers too") {
  World world(1, 3);
  StepSpec busy = MakeStep(1, 1);
  busy.need.cpu_millis = 64000;
  world.ledger.Add(MakeJob(Id(1), {busy}), world.now);
  REQUIRE(world.Round().starts.size() == 1);
  StepSpec filler = MakeStep(4, 0);
  filler.need.cpu_millis = 32000;
  filler.fills = true;
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

TEST_CASE("why a step waits") {
  struct Row {
    std::string name;
    StepSpec step;
    WaitReason reason;
  };
  StepSpec near = MakeStep(1, 8);
  near.data_rack = "r1";
  const std::vector<Row> rows = {
      {"all are full", MakeStep(1, 8), WaitReason::kNoRoom},
      {"the rack of its data is full", near, WaitReason::kNoRoomNearData},
      {"no rack is free", Gang(2, 8, true), WaitReason::kNoRoomOnOneRack},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world(2, 3);
    world.ledger.Add(MakeJob(Id(1), {MakeStep(6, 8)}), world.now);
    REQUIRE(world.Round().waits.empty());
    world.ledger.Add(MakeJob(Id(2), {row.step}), world.now);
    const Plan plan = world.Round();
    REQUIRE(plan.waits.size() == 1);
    CHECK(plan.waits[0].reason == row.reason);
  }
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

TEST_CASE("workers that must get nothing get nothing") {
  struct Row {
    const char* name;
    std::function<void(WorkerTracker*)> change;
  };
  const std::vector<Row> rows = {
      {"leaving",
       [](WorkerTracker* worker) {
         WorkerRegistration registration = worker->registration();
         registration.draining = true;
         worker->Update(registration, At(0));
       }},
      {"not listed", [](WorkerTracker* worker) { worker->MarkMissing(At(0)); }},
      {"silent", [](WorkerTracker* worker) { worker->OnNoReport(At(0)); }},
      {"failing",
       [](WorkerTracker* worker) {
         worker->OnRunFailed("a", At(0));
         worker->OnRunFailed("b", At(0));
       }},
      {"of another service",
       [](WorkerTracker* worker) {
         WorkerRegistration registration = worker->registration();
         registration.service = "other";
         worker->Update(registration, At(0));
       }},
      {"not heard under this epoch",
       [](WorkerTracker* worker) {
         *worker = WorkerTracker(worker->registration());
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world(1, 1);
    row.change(&world.workers.begin()->second);
    world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), world.now);
    CHECK(world.Round().starts.empty());
  }
}

TEST_CASE("a task that has failed is not tried where runs fail") {
  World world(1, 3);
  world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), world.now);
  const Plan first = world.Round();
  REQUIRE(first.starts.size() == 1);
  const std::string bad = first.starts[0].assignments[0].worker;
  world.End(bad, {{Id(1), 0, 0}, 0}, RunEnd::kFailed);
  world.workers.at(bad).OnRunFailed(Id(1), world.now);
  // Only the worker that failed it has room.
  for (auto& [id, worker] : world.workers) {
    if (id == bad) continue;
    RunProfile all;
    all.need = worker.room();
    worker.Add({{Id(9), 0, 0}, 0}, 1, all, world.now);
  }
  CHECK(world.Round().starts.empty());
  world.ledger.Add(MakeJob(Id(2), {MakeStep(1, 1)}), world.now);
  CHECK(world.Round().starts.size() == 1);
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
  StepSpec kept = MakeStep(1, 8);
  StepSpec saved = MakeStep(1, 8);
  saved.checkpointable = true;
  world.ledger.Add(MakeJob(Id(1), {kept}, 2), world.now);
  world.ledger.Add(MakeJob(Id(2), {saved}, 2), world.now);
  world.Round();
  for (auto& [id, worker] : world.workers) {
    for (auto& [task, run] : worker.runs()) {
      run.began = world.now;
      run.checkpointed = world.now + std::chrono::seconds(5);
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
