// Which workers a step may use, and the reason reported when none has room.
#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"

namespace thornplank::testing {
namespace {

RunProfile HalfOfAWorker() {
  RunProfile profile;
  profile.need = MakeStep(1, 4).need;
  return profile;
}

TEST_CASE("a step that needs advice starts on approved workers only") {
  PlannerCluster cluster(2, 3);
  JobDefinition job = MakeJob(Id(1), {MakeStep(4, 8)});
  job.policy.advice = AdviceTerms{};
  cluster.ledger.Add(job, cluster.now);
  Plan plan = cluster.Round();
  CHECK(plan.starts.empty());
  REQUIRE(plan.waits.size() == 1);
  CHECK(plan.waits[0].reason == WaitReason::kNoRoomOnApprovedWorkers);
  CHECK(plan.waits[0].candidates.size() == 6);

  const StepRef step = plan.waits[0].step;
  const auto asked =
      cluster.advice.NextQuery(step, plan.waits[0].candidates, cluster.now);
  cluster.advice.OnAnswer(step, asked, {{"w0-1", "t1"}, {"w1-2", "t2"}},
                          Milliseconds(3000), cluster.now);
  plan = cluster.Round();
  std::set<std::string> used;
  for (const StartDecision& start : plan.starts) {
    for (const auto& assignment : start.assignments) {
      used.insert(assignment.worker);
    }
  }
  CHECK(used == std::set<std::string>{"w0-1", "w1-2"});
  // Two tasks are not placed yet: the other workers may be asked about.
  REQUIRE(plan.waits.size() == 1);
  CHECK(plan.waits[0].reason == WaitReason::kNoRoomOnApprovedWorkers);
}

// Guards against gang members on unstable workers: a tenth of the workers
// became unreachable and reachable again every 1.5 s. Workers that had just
// come back got members of gangs, and each of these gangs restarted two seconds
// later.
TEST_CASE("workers that were silent recently are used last") {
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
    PlannerCluster cluster(1, 3);
    // The best fit for one of three members, since half of it is in use. The
    // gang needs two workers in any case.
    cluster.workers.at("w0-0").Add({{Id(9), 0, 0}, 0}, 1, HalfOfAWorker(),
                                   cluster.now);
    for (const std::string& id : row.silent) {
      cluster.workers.at(id).OnReportFailed(cluster.now);
    }
    cluster.now += Milliseconds(row.later_ms);
    for (const std::string& id : row.silent) {
      std::vector<RunReport> unexpected;
      cluster.workers.at(id).OnReport(WorkerStatusReport(), cluster.now,
                                      cluster.now, &unexpected);
    }
    cluster.ledger.Add(MakeJob(Id(1), {Gang(3, 4, true)}, 0), cluster.now);
    std::set<std::string> used;
    for (const StartDecision& start : cluster.Round().starts) {
      for (const auto& assignment : start.assignments) {
        used.insert(assignment.worker);
      }
    }
    CHECK_FALSE(used.empty());
    CHECK((used.count("w0-0") > 0) == row.used);
  }
}

TEST_CASE(
    "urgent work that needs advice evicts runs on approved workers only") {
  PlannerCluster cluster(1, 3);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(3, 8)}, 2), cluster.now);
  cluster.Round();
  JobDefinition urgent = MakeJob(Id(2), {MakeStep(1, 8)}, 0);
  urgent.policy.advice = AdviceTerms{};
  cluster.ledger.Add(urgent, cluster.now);
  Plan plan = cluster.Round();
  CHECK(plan.stops.empty());
  const StepRef step{Id(2), 0, 0};
  const auto asked =
      cluster.advice.NextQuery(step, {"w0-0", "w0-1", "w0-2"}, cluster.now);
  cluster.advice.OnAnswer(step, asked, {{"w0-1", "t"}}, Milliseconds(3000),
                          cluster.now);
  plan = cluster.Round();
  REQUIRE(plan.stops.size() == 1);
  CHECK(plan.stops[0].worker == "w0-1");
}

TEST_CASE("workers that may not be given tasks get none") {
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
      {"with an entry from before an outage",
       WorkerAvailability::kEntryOutdated,
       [](WorkerTracker* worker) { worker->MarkEntryOutdated(At(100000)); }},
      {"silent", WorkerAvailability::kSilent,
       [](WorkerTracker* worker) { worker->OnReportFailed(At(0)); }},
      {"in a closed failure domain", WorkerAvailability::kDomainClosed,
       [](WorkerTracker* worker) { worker->set_domain_closed(true); }},
      {"failing", WorkerAvailability::kQuarantined,
       [](WorkerTracker* worker) {
         worker->health().OnRunFailed({"a"}, At(0));
         worker->health().OnRunFailed({"b"}, At(0));
       }},
      {"of another service", WorkerAvailability::kUsable,
       [](WorkerTracker* worker) {
         WorkerRegistration registration = worker->registration();
         registration.service = "other";
         worker->Update(registration, At(0));
       }},
      {"no report under this epoch", WorkerAvailability::kNoReportYet,
       [](WorkerTracker* worker) {
         *worker = WorkerTracker(worker->registration());
       }},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(1, 1);
    WorkerTracker& worker = cluster.workers.begin()->second;
    row.change(&worker);
    CHECK(worker.availability(cluster.now) == row.availability);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), cluster.now);
    const Plan plan = cluster.Round();
    CHECK(plan.starts.empty());
    // The reported reason shows that more room would not help.
    REQUIRE(plan.waits.size() == 1);
    CHECK(plan.waits[0].reason == WaitReason::kNoUsableWorker);
  }
}

// Guards against a start on a worker whose capacity was reduced below what its
// runs use.
TEST_CASE("a worker with reduced capacity gets only what still fits") {
  struct Row {
    const char* name;
    // New capacity of the worker, whose run uses 4 accelerators and 4 cores.
    Resources capacity;
    // Whether that run is being stopped.
    bool stopping;
    // Resources of the waiting task.
    Resources need;
    bool starts;
  };
  const Resources whole = {64000, 256000, 8};
  const Resources small = {64000, 256000, 2};
  const Resources accelerators = {1000, 1000, 1};
  const Resources cores = {1000, 1000, 0};
  const std::vector<Row> rows = {
      {"unchanged", whole, false, accelerators, true},
      {"room is left", {64000, 256000, 5}, false, accelerators, true},
      {"just full", {64000, 256000, 4}, false, accelerators, false},
      {"in use beyond its capacity", small, false, accelerators, false},
      {"what is being stopped still counts", small, true, accelerators, false},
      {"beyond a resource that the task does not need", small, false, cores,
       false},
      {"less memory", {64000, 3000, 8}, false, accelerators, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(1, 1);
    WorkerTracker& worker = cluster.workers.begin()->second;
    RunProfile profile;
    profile.need = {4000, 4000, 4};
    const TaskRef present{{Id(9), 0, 0}, 0};
    worker.Add(present, 1, profile, cluster.now);
    worker.Find(present)->stop_wanted = row.stopping;
    WorkerRegistration registration = worker.registration();
    registration.capacity = row.capacity;
    worker.Update(registration, cluster.now);
    StepSpec step = MakeStep(1, 0);
    step.need = row.need;
    cluster.ledger.Add(MakeJob(Id(1), {step}), cluster.now);
    CHECK(cluster.Round().starts.size() == (row.starts ? 1 : 0));
  }
}

TEST_CASE(
    "evictions on a worker with reduced capacity cover the excess first") {
  PlannerCluster cluster(1, 1);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(4, 2)}, 2), cluster.now);
  cluster.Round();
  WorkerTracker& worker = cluster.workers.begin()->second;
  WorkerRegistration registration = worker.registration();
  registration.capacity.accelerators = 4;
  worker.Update(registration, cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 2)}, 0), cluster.now);
  // Three of the four are evicted: two for the capacity that the worker lost,
  // one for the task.
  Plan plan = cluster.Round();
  CHECK(plan.stops.size() == 3);
  CHECK(plan.starts.empty());
  cluster.CarryOutStops();
  plan = cluster.Round();
  REQUIRE(plan.starts.size() == 1);
  CHECK(plan.starts[0].step.job == Id(2));
  CHECK(worker.room().accelerators == 0);
}

TEST_CASE("a task that has failed does not start where runs fail") {
  PlannerCluster cluster(1, 3);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), cluster.now);
  const Plan first = cluster.Round();
  REQUIRE(first.starts.size() == 1);
  const std::string bad = first.starts[0].assignments[0].worker;
  cluster.End(bad, {{Id(1), 0, 0}, 0}, RunEnd::kFailed);
  cluster.workers.at(bad).health().OnRunFailed({Id(1)}, cluster.now);
  // Only the worker on which it failed has room.
  for (auto& [id, worker] : cluster.workers) {
    if (id == bad) continue;
    RunProfile all;
    all.need = worker.room();
    worker.Add({{Id(9), 0, 0}, 0}, 1, all, cluster.now);
  }
  CHECK(cluster.Round().starts.empty());
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 1)}), cluster.now);
  CHECK(cluster.Round().starts.size() == 1);
}

// Marks the waiting task of the job as one that lost a worker.
// `survived`: from the start of the run until the worker crashed; by default
// its start was not the cause.
void PutOnProbation(PlannerCluster* cluster, const std::string& job,
                    Milliseconds survived = Milliseconds(900)) {
  const StepRef step{job, 0, 0};
  const int run = cluster->ledger.RecordStart(step, {{0, "gone"}});
  LostRun lost;
  lost.worker = "gone";
  lost.crashed = true;
  lost.began = true;
  lost.survived = survived;
  cluster->ledger.RecordRunEnd({step, 0}, run, RunEnd::kWorkerCrashed, "",
                               lost);
}

// Guards against two tasks that repeatedly lose their workers together, so that
// the one that is not the cause is given up as well.
TEST_CASE("a task that lost a worker starts beside proven runs only") {
  struct Row {
    const char* name;
    // Whether the present task and the new one are on probation.
    bool present;
    bool incoming;
    // Whether the worker has survived the start of the present run.
    bool proven;
    bool starts;
  };
  const std::vector<Row> rows = {
      {"no task on probation", false, false, false, true},
      {"beside one that is not proven yet", false, true, false, false},
      {"beside a proven one", false, true, true, true},
      {"another task beside one on probation", true, false, false, false},
      {"another task beside a proven one on probation", true, false, true,
       true},
      {"two on probation", true, true, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(1, 1);
    WorkerTracker& worker = cluster.workers.begin()->second;
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), cluster.now);
    cluster.Round();
    const TaskRef present{{Id(1), 0, 0}, 0};
    REQUIRE(worker.Find(present) != nullptr);
    worker.Find(present)->profile.on_probation = row.present;
    // A report that comes sooner proves nothing.
    WorkerStatusReport report;
    report.running.push_back({present, 1, "", 5});
    std::vector<RunReport> unexpected;
    worker.OnReport(report, cluster.now, cluster.now, &unexpected);
    if (row.proven) cluster.now += Milliseconds(200);
    cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 1)}), cluster.now);
    if (row.incoming) PutOnProbation(&cluster, Id(2));
    CHECK(cluster.Round().starts.size() == (row.starts ? 1 : 0));
  }
}

TEST_CASE("a run is proven once its worker has survived it for a while") {
  for (const int after_ms : {199, 200}) {
    CAPTURE(after_ms);
    PlannerCluster cluster(1, 1);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), cluster.now);
    cluster.Round();
    cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 1)}), cluster.now);
    PutOnProbation(&cluster, Id(2));
    cluster.now += Milliseconds(after_ms);
    CHECK(cluster.Round().starts.size() == (after_ms == 200 ? 1 : 0));
  }
}

// Guards against tasks that crash their workers at each start and take the same
// sound ones with them every time, until those are given up as well.
TEST_CASE("a task that crashed its worker at the start waits to be alone") {
  PlannerCluster cluster(1, 1);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), cluster.now);
  cluster.Round();
  cluster.now += std::chrono::seconds(1);
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(1, 1)}), cluster.now);
  PutOnProbation(&cluster, Id(2), Milliseconds(20));
  CHECK(cluster.Round().starts.empty());
  cluster.now += Milliseconds(599);
  CHECK(cluster.Round().starts.empty());
  SUBCASE("until there is an empty worker") {
    cluster.End("w0-0", {{Id(1), 0, 0}, 0}, RunEnd::kDone);
    CHECK(cluster.Round().starts.size() == 1);
  }
  SUBCASE("for a while") {
    cluster.now += Milliseconds(1);
    CHECK(cluster.Round().starts.size() == 1);
  }
}

TEST_CASE("two tasks on probation do not start together in one round") {
  PlannerCluster cluster(1, 1);
  for (const int job : {1, 2}) {
    cluster.ledger.Add(MakeJob(Id(job), {MakeStep(1, 1)}), cluster.now);
    PutOnProbation(&cluster, Id(job));
  }
  CHECK(cluster.Round().starts.size() == 1);
  CHECK(cluster.Round().starts.empty());
}

TEST_CASE("a task that lost a worker starts where least is in use") {
  PlannerCluster cluster(1, 3);
  for (const std::string id : {"w0-0", "w0-1"}) {
    RunProfile some;
    some.need = {1000, 1000, 4};
    WorkerTracker& worker = cluster.workers.at(id);
    worker.Add({{Id(9), 0, 0}, 0}, 1, some, cluster.now);
    WorkerStatusReport report;
    report.running.push_back({{{Id(9), 0, 0}, 0}, 1, "", 5});
    std::vector<RunReport> unexpected;
    worker.OnReport(report, cluster.now, cluster.now, &unexpected);
  }
  cluster.now += Milliseconds(200);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(1, 1)}), cluster.now);
  PutOnProbation(&cluster, Id(1));
  const Plan plan = cluster.Round();
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
    PlannerCluster cluster(2, 3);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(6, 8)}), cluster.now);
    REQUIRE(cluster.Round().waits.empty());
    cluster.ledger.Add(MakeJob(Id(2), {row.step}), cluster.now);
    const Plan plan = cluster.Round();
    REQUIRE(plan.waits.size() == 1);
    CHECK(plan.waits[0].reason == row.reason);
  }
}

}  // namespace
}  // namespace thornplank::testing
