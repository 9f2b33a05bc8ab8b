// Which workers a step may use, and why it waits when none has room.
#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "planner_world.h"

namespace thornplank::testing {
namespace {

RunProfile HalfOfAWorker() {
  RunProfile profile;
  profile.need = MakeStep(1, 4).need;
  return profile;
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
      world.advice.NextQuery(step, plan.waits[0].candidates, world.now);
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

// A tenth of the workers went down and up every 1.5 s: those that had just come
// back got members of gangs, and each such gang began again two seconds later.
TEST_CASE("workers that fall silent by turns are used last") {
  struct Row {
    const char* name;
    std::set<std::string> silent;
    int64_t later_ms;
    // Whether w0-0, the best fit, gets a member.
    bool used;
  };
  const std::vector<Row> rows = {
      {"none", {}, 500, true},
      {"one, a moment ago", {"w0-0"}, 500, false},
      {"one, long ago", {"w0-0"}, 7000, true},
      {"all", {"w0-0", "w0-1", "w0-2"}, 500, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world(1, 3);
    // Fits best: half of it is in use.
    world.workers.at("w0-0").Add({{Id(9), 0, 0}, 0}, 1, HalfOfAWorker(),
                                 world.now);
    for (const std::string& id : row.silent) {
      world.workers.at(id).OnReportFailed(world.now);
    }
    world.now += Milliseconds(row.later_ms);
    for (const std::string& id : row.silent) {
      std::vector<RunReport> unexpected;
      world.workers.at(id).OnReport(WorkerStatusReport(), world.now, world.now,
                                    &unexpected);
    }
    world.ledger.Add(MakeJob(Id(1), {Gang(2, 4, true)}, 0), world.now);
    std::set<std::string> used;
    for (const StartDecision& start : world.Round().starts) {
      for (const auto& assignment : start.assignments) {
        used.insert(assignment.worker);
      }
    }
    CHECK_FALSE(used.empty());
    CHECK((used.count("w0-0") > 0) == row.used);
  }
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
      world.advice.NextQuery(step, {"w0-0", "w0-1", "w0-2"}, world.now);
  world.advice.OnAnswer(step, asked, {{"w0-1", "t"}}, Milliseconds(3000),
                        world.now);
  plan = world.Round();
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].worker == "w0-1");
}

TEST_CASE("workers that must get nothing get nothing") {
  struct Row {
    const char* name;
    WorkerAvailability availability;
    std::function<void(WorkerTracker*)> change;
  };
  const std::vector<Row> rows = {
      {"leaving", WorkerAvailability::kLeaving,
       [](WorkerTracker* worker) {
         WorkerRegistration registration = worker->registration();
         registration.draining = true;
         worker->Update(registration, At(0));
       }},
      {"not listed", WorkerAvailability::kNotListed,
       [](WorkerTracker* worker) { worker->MarkMissing(At(0)); }},
      {"silent", WorkerAvailability::kSilent,
       [](WorkerTracker* worker) { worker->OnReportFailed(At(0)); }},
      {"in a domain that takes no new work", WorkerAvailability::kDomainClosed,
       [](WorkerTracker* worker) { worker->set_domain_closed(true); }},
      {"failing", WorkerAvailability::kQuarantined,
       [](WorkerTracker* worker) {
         worker->trust().OnRunFailed("a", At(0));
         worker->trust().OnRunFailed("b", At(0));
       }},
      {"of another service", WorkerAvailability::kUsable,
       [](WorkerTracker* worker) {
         WorkerRegistration registration = worker->registration();
         registration.service = "other";
         worker->Update(registration, At(0));
       }},
      {"not heard under this epoch", WorkerAvailability::kNoReportYet,
       [](WorkerTracker* worker) {
         *worker = WorkerTracker(worker->registration());
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world(1, 1);
    WorkerTracker& worker = world.workers.begin()->second;
    row.change(&worker);
    CHECK(worker.availability(world.now) == row.availability);
    world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), world.now);
    const Plan plan = world.Round();
    CHECK(plan.starts.empty());
    // Somebody who waits in vain hears that it is not for want of room.
    REQUIRE(plan.waits.size() == 1);
    CHECK(plan.waits[0].reason == WaitReason::kNoUsableWorker);
  }
}

// Guards against a start on a worker whose capacity has shrunk under its runs.
TEST_CASE("a worker that has shrunk takes what fits into the rest") {
  struct Row {
    const char* name;
    // Of the worker, whose run holds 4 accelerators and 4 cores.
    Resources capacity;
    // That run was told to stop.
    bool stopping;
    // Of the task that waits.
    Resources need;
    bool starts;
  };
  const Resources whole = {64000, 256000, 8};
  const Resources small = {64000, 256000, 2};
  const Resources accelerators = {1000, 1000, 1};
  const Resources cores = {1000, 1000, 0};
  const std::vector<Row> rows = {
      {"as it was", whole, false, accelerators, true},
      {"room is left", {64000, 256000, 5}, false, accelerators, true},
      {"just full", {64000, 256000, 4}, false, accelerators, false},
      {"held more than it has now", small, false, accelerators, false},
      {"what is being stopped still counts", small, true, accelerators, false},
      {"of another kind than the task needs", small, false, cores, false},
      {"less memory", {64000, 3000, 8}, false, accelerators, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world(1, 1);
    WorkerTracker& worker = world.workers.begin()->second;
    RunProfile profile;
    profile.need = {4000, 4000, 4};
    const TaskRef present{{Id(9), 0, 0}, 0};
    worker.Add(present, 1, profile, world.now);
    worker.Find(present)->stop_wanted = row.stopping;
    WorkerRegistration registration = worker.registration();
    registration.capacity = row.capacity;
    worker.Update(registration, world.now);
    StepSpec step = MakeStep(1, 0);
    step.need = row.need;
    world.ledger.Add(MakeJob(Id(1), {step}), world.now);
    CHECK(world.Round().starts.size() == (row.starts ? 1 : 0));
  }
}

TEST_CASE(
    "urgent work takes room on a worker that has shrunk, no more than fits") {
  World world(1, 1);
  world.ledger.Add(MakeJob(Id(1), {MakeStep(4, 2)}, 2), world.now);
  world.Round();
  WorkerTracker& worker = world.workers.begin()->second;
  WorkerRegistration registration = worker.registration();
  registration.capacity.accelerators = 4;
  worker.Update(registration, world.now);
  world.ledger.Add(MakeJob(Id(2), {MakeStep(1, 2)}, 0), world.now);
  // Three of the four make way: two for what the worker lost, one for the task.
  Plan plan = world.Round();
  CHECK(plan.stops.size() == 3);
  CHECK(plan.starts.empty());
  world.CarryOutStops();
  plan = world.Round();
  REQUIRE(plan.starts.size() == 1);
  CHECK(plan.starts[0].step.job == Id(2));
  CHECK(worker.room().accelerators == 0);
}

TEST_CASE("a task that has failed is not tried where runs fail") {
  World world(1, 3);
  world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), world.now);
  const Plan first = world.Round();
  REQUIRE(first.starts.size() == 1);
  const std::string bad = first.starts[0].assignments[0].worker;
  world.End(bad, {{Id(1), 0, 0}, 0}, RunEnd::kFailed);
  world.workers.at(bad).trust().OnRunFailed(Id(1), world.now);
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

// Marks the waiting task of the job as one under which a worker was lost.
void PutOnProbation(World* world, const std::string& job) {
  const StepRef step{job, 0, 0};
  const int run = world->ledger.RecordStart(step, {{0, "gone"}});
  LostRun lost;
  lost.worker = "gone";
  lost.crashed = true;
  lost.began = true;
  world->ledger.RecordRunEnd({step, 0}, run, RunEnd::kWorkerCrashed, "", lost);
}

// Guards against two tasks that lose their workers together time after time, so
// that the sound one is given up with the other.
TEST_CASE(
    "a task under which a worker was lost starts beside proven runs only") {
  struct Row {
    const char* name;
    // Whether the task that is there is on probation, and the one that comes.
    bool present;
    bool coming;
    // Whether a report has shown the one that is there.
    bool proven;
    bool starts;
  };
  const std::vector<Row> rows = {
      {"sound tasks", false, false, false, true},
      {"beside one that is not proven yet", false, true, false, false},
      {"beside a proven one", false, true, true, true},
      {"a sound one beside one on probation", true, false, false, false},
      {"a sound one beside one that the worker bore", true, false, true, true},
      {"two on probation", true, true, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    World world(1, 1);
    WorkerTracker& worker = world.workers.begin()->second;
    world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), world.now);
    world.Round();
    const TaskRef present{{Id(1), 0, 0}, 0};
    REQUIRE(worker.Find(present) != nullptr);
    worker.Find(present)->profile.on_probation = row.present;
    if (row.proven) {
      WorkerStatusReport report;
      report.running.push_back({present, 1, "", 5});
      std::vector<RunReport> unexpected;
      worker.OnReport(report, world.now, world.now, &unexpected);
    }
    world.ledger.Add(MakeJob(Id(2), {MakeStep(1, 1)}), world.now);
    if (row.coming) PutOnProbation(&world, Id(2));
    CHECK(world.Round().starts.size() == (row.starts ? 1 : 0));
  }
}

TEST_CASE("a start that a worker has borne for a while is proven") {
  for (const int after_ms : {199, 200}) {
    CAPTURE(after_ms);
    World world(1, 1);
    world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), world.now);
    world.Round();
    world.ledger.Add(MakeJob(Id(2), {MakeStep(1, 1)}), world.now);
    PutOnProbation(&world, Id(2));
    world.now += Milliseconds(after_ms);
    CHECK(world.Round().starts.size() == (after_ms == 200 ? 1 : 0));
  }
}

TEST_CASE("two tasks on probation do not start together in one round") {
  World world(1, 1);
  for (const int job : {1, 2}) {
    world.ledger.Add(MakeJob(Id(job), {MakeStep(1, 1)}), world.now);
    PutOnProbation(&world, Id(job));
  }
  CHECK(world.Round().starts.size() == 1);
  CHECK(world.Round().starts.empty());
}

TEST_CASE("a task under which a worker was lost goes where least runs") {
  World world(1, 3);
  for (const std::string id : {"w0-0", "w0-1"}) {
    RunProfile some;
    some.need = {1000, 1000, 4};
    WorkerTracker& worker = world.workers.at(id);
    worker.Add({{Id(9), 0, 0}, 0}, 1, some, world.now);
    WorkerStatusReport report;
    report.running.push_back({{{Id(9), 0, 0}, 0}, 1, "", 5});
    std::vector<RunReport> unexpected;
    worker.OnReport(report, world.now, world.now, &unexpected);
  }
  world.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), world.now);
  PutOnProbation(&world, Id(1));
  const Plan plan = world.Round();
  REQUIRE(plan.starts.size() == 1);
  CHECK(plan.starts[0].assignments[0].worker == "w0-2");
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

}  // namespace
}  // namespace thornplank::testing
