// Long-running tasks and guarantees: which of them are stopped for guaranteed
// work, and which accelerators they leave to it.
#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"
#include "workload/planner.h"

namespace thornplank::testing {
namespace {

constexpr int kRacks = 2;
constexpr int kWorkersPerRack = 4;
constexpr int kAccelerators = 64;

StepSpec LongRunning(int count, int max_unavailable) {
  StepSpec step = MakeStep(count, 1);
  step.long_running = true;
  step.max_unavailable = max_unavailable;
  return step;
}

// 64 accelerators, 16 of them guaranteed to the account "urgent".
PlannerCluster MakeCluster() {
  PlannerCluster cluster(kRacks, kWorkersPerRack);
  cluster.guarantees = {{"urgent", 16}};
  return cluster;
}

void ReportAtWork(PlannerCluster* cluster, int percent = 100) {
  for (auto& [id, worker] : cluster->workers) {
    WorkerStatusReport report;
    report.clock = Milliseconds(1);
    for (const auto& [task, run] : worker.runs()) {
      report.running.push_back({task, run.run, "", percent});
    }
    std::vector<RunReport> unexpected;
    worker.OnReport(report, cluster->now, cluster->now, &unexpected);
    CHECK(unexpected.empty());
  }
}

// Jobs of another account, each with one long-running step.
void Fill(PlannerCluster* cluster, int jobs, int count, int max_unavailable) {
  for (int i = 0; i < jobs; ++i) {
    cluster->ledger.Add(
        MakeJob(Id(100 + i), {LongRunning(count, max_unavailable)}, 2),
        cluster->now);
  }
  cluster->Round();
  ReportAtWork(cluster);
  cluster->now += std::chrono::seconds(10);
}

// The cluster as a new leader finds it: progress from the board, runs
// inherited.
PlannerCluster TakeOver(const PlannerCluster& before) {
  PlannerCluster cluster(kRacks, kWorkersPerRack);
  cluster.guarantees = before.guarantees;
  cluster.now = before.now + std::chrono::seconds(1);
  for (const auto& [id, job] : before.ledger.jobs()) {
    cluster.ledger.Add(job->spec, cluster.now);
    const StepRef ref{id, 0, 0};
    const StepSpec& spec = job->spec.steps[0];
    ProgressBlocks blocks;
    for (int block = 0; block < BlockCount(spec); ++block) {
      blocks[block] = *DecodeBlock(
          EncodeBlock(*before.ledger.FindBlock({ref, block})), nullptr);
    }
    REQUIRE(cluster.ledger.Restore(ref, blocks));
    const StepProgress& progress = job->occurrences[0][0];
    for (size_t i = 0; i < progress.tasks.size(); ++i) {
      const TaskStatus& status = progress.tasks[i];
      if (status.phase != TaskPhase::kActive) continue;
      const TaskRef task{ref, static_cast<int>(i)};
      const RunProfile& profile =
          before.workers.at(status.worker).runs().at(task).profile;
      cluster.workers.at(status.worker)
          .Inherit(task, status.run, profile, cluster.now,
                   cluster.now + std::chrono::seconds(10));
    }
  }
  return cluster;
}

int Active(const PlannerCluster& cluster, const std::string& job) {
  return cluster.ledger.FindStep({job, 0, 0})->active();
}

// Carries the stops out and plans again until nothing more is stopped. Returns
// the number of stops.
int PlanUntilSettled(PlannerCluster* cluster) {
  constexpr int kMaxRounds = 5;
  int stops = 0;
  for (int i = 0; i < kMaxRounds; ++i) {
    const Plan plan = cluster->Round();
    stops += static_cast<int>(plan.stops.size());
    cluster->CarryOutStops();
    if (plan.stops.empty()) break;
  }
  return stops;
}

// Guards against guaranteed accelerators that are lost to long-running tasks of
// other accounts for as long as these last, also after a change of leader.
TEST_CASE(
    "guaranteed work begins although long-running tasks fill the cluster") {
  struct Row {
    const char* name;
    int jobs;
    int count;
    int max_unavailable;
    int stops;
  };
  const std::vector<Row> rows = {
      {"unprotected", 1, 64, 0, 16},
      {"one task may be away", 1, 64, 1, 0},
      {"all tasks may be away", 1, 64, 64, 16},
      {"half the tasks of each job may be away", 16, 4, 2, 16},
  };
  for (const Row& row : rows) {
    for (const bool new_leader : {false, true}) {
      CAPTURE(row.name);
      CAPTURE(new_leader);
      PlannerCluster before = MakeCluster();
      Fill(&before, row.jobs, row.count, row.max_unavailable);
      REQUIRE(before.free_accelerators() == 16 - row.stops);
      PlannerCluster after = TakeOver(before);
      PlannerCluster& cluster = new_leader ? after : before;
      ReportAtWork(&cluster);
      cluster.ledger.Add(MakeJob(Id(1), {MakeStep(4, 4)}, 0, "urgent"),
                         cluster.now);
      CHECK(PlanUntilSettled(&cluster) == row.stops);
      CHECK(Active(cluster, Id(1)) == 4);
      for (int i = 0; i < row.jobs && row.max_unavailable > 1; ++i) {
        CHECK(Active(cluster, Id(100 + i)) >= row.count - row.max_unavailable);
      }
    }
  }
}

// Guards against long-running tasks that stay away after they gave way although
// there is room again.
TEST_CASE("long-running tasks that gave way start again elsewhere") {
  for (const int max_unavailable : {0, 64}) {
    CAPTURE(max_unavailable);
    PlannerCluster cluster = MakeCluster();
    Fill(&cluster, 1, kAccelerators, max_unavailable);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(4, 4)}, 0, "urgent"),
                       cluster.now);
    REQUIRE(PlanUntilSettled(&cluster) == 16);
    REQUIRE(Active(cluster, Id(100)) == kAccelerators - 16);
    for (const char* id : {"new-0", "new-1", "new-2"}) {
      cluster.workers.emplace(id, MakeTracker(MakeWorker(id, "r2")));
    }
    cluster.now += std::chrono::seconds(6);
    CHECK(cluster.Round().stops.empty());
    CHECK(Active(cluster, Id(100)) == kAccelerators);
    CHECK(Active(cluster, Id(1)) == 4);
  }
}

// Guards against a service that is interrupted although work that ends by
// itself could give way, however much of that is lost.
TEST_CASE("runs that are not long-running give way first") {
  for (const bool one_rack : {false, true}) {
    for (const FeatureMode shares : {FeatureMode::kOff, FeatureMode::kOn}) {
      CAPTURE(one_rack);
      CAPTURE(static_cast<int>(shares));
      SchedulingFeatures features;
      features.account_shares = shares;
      PlannerCluster cluster(kRacks, kWorkersPerRack, WorkerBounds(), features);
      cluster.guarantees = {{"urgent", 16}};
      StepSpec ending = MakeStep(32, 1);
      ending.data_rack = "r0";
      cluster.ledger.Add(MakeJob(Id(2), {ending}, 2, "south"), cluster.now);
      cluster.Round();
      cluster.now += std::chrono::seconds(100);
      Fill(&cluster, 1, 32, 0);
      REQUIRE(cluster.free_accelerators() == 0);
      StepSpec step = Gang(4, 4, true);
      step.gang = one_rack;
      cluster.ledger.Add(MakeJob(Id(1), {step}, 0, "urgent"), cluster.now);
      const Plan plan = cluster.Round();
      CHECK(plan.stops.size() == 16);
      for (const StopDecision& stop : plan.stops) {
        CHECK(stop.task.step.job == Id(2));
      }
    }
  }
}

// Guards against services that are interrupted for work that nobody was
// promised room for.
TEST_CASE("only guaranteed work stops long-running tasks") {
  struct Row {
    const char* name;
    const char* account;
    int priority;
    // Of one accelerator each.
    std::vector<int> tasks_of_jobs;
    size_t stops;
  };
  const std::vector<Row> rows = {
      {"within its guarantee", "urgent", 0, {16}, 16},
      {"several jobs within it", "urgent", 0, {8, 8}, 16},
      {"beyond its guarantee", "urgent", 0, {17}, 0},
      {"the second is beyond it", "urgent", 0, {12, 8}, 12},
      {"an account without a guarantee", "south", 0, {4}, 0},
      {"lower priority", "urgent", 1, {4}, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster = MakeCluster();
    Fill(&cluster, 1, kAccelerators, 0);
    REQUIRE(cluster.free_accelerators() == 0);
    int number = 1;
    for (const int tasks : row.tasks_of_jobs) {
      JobDefinition job =
          MakeJob(Id(number), {MakeStep(tasks, 1)}, row.priority, row.account);
      job.accepted += Milliseconds(number++);
      cluster.ledger.Add(job, cluster.now);
    }
    CHECK(cluster.Round().stops.size() == row.stops);
  }
}

// Guards against guaranteed work that waits for ever behind long-running tasks
// since its objective has passed meanwhile.
TEST_CASE("guaranteed work that is late still gets its room") {
  PlannerCluster cluster = MakeCluster();
  Fill(&cluster, 1, kAccelerators, 0);
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(4, 4)}, 0, "urgent"),
                     cluster.now);
  cluster.wall_now += std::chrono::minutes(10);
  CHECK(PlanUntilSettled(&cluster) == 16);
  CHECK(Active(cluster, Id(1)) == 4);
}

// Guards against a stop that takes away more tasks of a step than it may miss,
// counting those that are away for another reason.
TEST_CASE("a stop counts the tasks of its step that are away") {
  struct Row {
    const char* name;
    void (*disturb)(PlannerCluster*);
    size_t stops;
  };
  const std::vector<Row> rows = {
      {"all are at work", [](PlannerCluster*) {}, 8},
      {"one has failed",
       [](PlannerCluster* cluster) {
         WorkerTracker& worker = cluster->workers.at("w0-0");
         cluster->End("w0-0", worker.runs().begin()->first, RunEnd::kFailed);
         ReportAtWork(cluster);
       },
       7},
      {"one begins",
       [](PlannerCluster* cluster) {
         cluster->workers.at("w0-0").runs().begin()->second.percent = 0;
       },
       0},
      {"one is being stopped",
       [](PlannerCluster* cluster) {
         cluster->workers.at("w0-0").runs().begin()->second.stop_wanted = true;
       },
       7},
      {"a worker does not answer",
       [](PlannerCluster* cluster) {
         cluster->workers.at("w0-0").OnReportFailed(cluster->now);
       },
       0},
      {"a new leader has no report of one worker",
       [](PlannerCluster* cluster) {
         *cluster = TakeOver(*cluster);
         for (auto& [id, worker] : cluster->workers) {
           for (auto& [task, run] : worker.runs()) {
             if (id == "w0-0") continue;
             run.stage = RunStage::kRunning;
             run.percent = 100;
           }
         }
       },
       0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster = MakeCluster();
    cluster.guarantees = {{"urgent", 8}};
    Fill(&cluster, 1, kAccelerators, 8);
    REQUIRE(cluster.free_accelerators() == 0);
    row.disturb(&cluster);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(8, 1)}, 0, "urgent"),
                       cluster.now);
    // Tasks that find room start in the first round.
    size_t stops = cluster.Round().stops.size();
    stops += cluster.Round().stops.size();
    CHECK(stops == row.stops);
  }
}

// Guards against several steps, each within the limit, that together take away
// more tasks of a step than it may miss in one round.
TEST_CASE("stops of one round count together") {
  PlannerCluster cluster = MakeCluster();
  cluster.guarantees = {{"urgent", 8}, {"other", 8}};
  Fill(&cluster, 1, kAccelerators, 16);
  REQUIRE(cluster.free_accelerators() == 0);
  // 4 of the 16 that may be away are.
  for (int i = 0; i < 4; ++i) {
    auto& runs = cluster.workers.at("w0-0").runs();
    std::next(runs.begin(), i)->second.percent = 0;
  }
  cluster.ledger.Add(MakeJob(Id(1), {MakeStep(8, 1)}, 0, "urgent"),
                     cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {MakeStep(8, 1)}, 0, "other"), cluster.now);
  CHECK(cluster.Round().stops.size() == 8);
}

// Guards against tasks that must not be stopped on accelerators that an account
// may ask for at any time.
TEST_CASE("protected tasks leave the accelerators of other accounts") {
  struct Row {
    const char* name;
    Guarantees guarantees;
    int jobs;
    int count;
    int max_unavailable;
    bool gang;
    int started;
  };
  const std::vector<Row> rows = {
      {"unprotected", {{"urgent", 16}}, 1, 64, 0, false, 64},
      {"one may be away", {{"urgent", 16}}, 1, 64, 1, false, 48},
      {"enough may be away", {{"urgent", 16}}, 1, 64, 16, false, 64},
      {"one too few may be away", {{"urgent", 16}}, 1, 64, 15, false, 48},
      {"all may be away", {{"urgent", 16}}, 1, 64, 64, false, 64},
      // Of the first job 31 tasks must stay, of the second all 17 that start.
      {"two jobs", {{"urgent", 16}}, 2, 32, 1, false, 49},
      {"two jobs of which half may be away",
       {{"urgent", 16}},
       2,
       32,
       16,
       false,
       64},
      {"two guarantees", {{"urgent", 16}, {"south", 8}}, 1, 64, 1, false, 40},
      {"its own guarantee", {{"north", 16}}, 1, 64, 1, false, 64},
      {"no guarantee", {}, 1, 64, 1, false, 64},
      {"a gang that fits", {{"urgent", 16}}, 1, 48, 40, true, 48},
      {"a gang ends with any member", {{"urgent", 16}}, 1, 56, 40, true, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(kRacks, kWorkersPerRack);
    cluster.guarantees = row.guarantees;
    for (int i = 0; i < row.jobs; ++i) {
      StepSpec step = LongRunning(row.count, row.max_unavailable);
      step.gang = row.gang;
      cluster.ledger.Add(MakeJob(Id(100 + i), {step}, 2), cluster.now);
    }
    cluster.Round();
    CHECK(kAccelerators - cluster.free_accelerators() == row.started);
    ReportAtWork(&cluster);
    cluster.now += std::chrono::seconds(1);
    cluster.Round();
    CHECK(kAccelerators - cluster.free_accelerators() == row.started);
  }
}

// Guards against runs that are stopped for tasks which may not start in their
// place.
TEST_CASE("nothing is stopped for tasks that leave guaranteed accelerators") {
  for (const bool gang : {false, true}) {
    CAPTURE(gang);
    PlannerCluster cluster = MakeCluster();
    cluster.ledger.Add(MakeJob(Id(100), {MakeStep(kAccelerators, 1)}, 2),
                       cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 0);
    StepSpec step = LongRunning(kAccelerators, 1);
    step.gang = gang;
    cluster.ledger.Add(MakeJob(Id(1), {step}, 0, "south"), cluster.now);
    CHECK(cluster.Round().stops.size() == (gang ? 0 : 48));
    cluster.CarryOutStops();
    CHECK(cluster.Round().stops.empty());
    CHECK(Active(cluster, Id(1)) == (gang ? 0 : 48));
  }
}

// Guards against a guarantee that is counted twice: what its account uses of it
// is no longer free, and its own tasks may be protected.
TEST_CASE("what an account uses of its guarantee is not kept free again") {
  for (const bool protected_too : {false, true}) {
    CAPTURE(protected_too);
    PlannerCluster cluster = MakeCluster();
    StepSpec step = protected_too ? LongRunning(16, 1) : MakeStep(16, 1);
    cluster.ledger.Add(MakeJob(Id(1), {step}, 0, "urgent"), cluster.now);
    cluster.Round();
    REQUIRE(Active(cluster, Id(1)) == 16);
    // The headroom is given up when no urgent step has come for a while.
    cluster.now += std::chrono::seconds(6);
    cluster.ledger.Add(MakeJob(Id(2), {LongRunning(48, 1)}, 2), cluster.now);
    cluster.Round();
    CHECK(Active(cluster, Id(2)) == 48);
  }
}

// The first `count` workers are lost for good, with all that runs there.
void LoseWorkers(PlannerCluster* cluster, int count) {
  for (int i = 0; i < count; ++i) {
    const auto worker = cluster->workers.begin();
    for (const auto& [task, run] : worker->second.runs()) {
      LostRun lost;
      lost.worker = worker->first;
      lost.began = true;
      lost.survived = std::chrono::seconds(10);
      cluster->ledger.RecordRunEnd(task, run.run, RunEnd::kWorkerSilent, "",
                                   lost);
    }
    cluster->workers.erase(worker);
  }
}

// Guards against long-running tasks that wait beside idle workers for ever:
// workers were lost, and the guarantees of others exceed what is left, though
// nobody asks for them. And against a guarantee that cannot be met then without
// stopping more of these tasks than may be away.
TEST_CASE("long-running tasks that lose their room run beside guarantees") {
  constexpr int kCount = 22;
  constexpr int kGuaranteed = 10;
  struct Row {
    const char* name;
    int lost;
    // Of them, that run in the end.
    int running;
    // Seconds from the restart until an account asks for its guarantee.
    int asked_after_s;
    bool new_leader = false;
    // To what its guarantee is raised before.
    int raised_to = kGuaranteed;
  };
  const std::vector<Row> rows = {
      {"none lost", 0, kCount, 0},
      {"an eighth lost", 1, kCount, 0},
      {"an eighth lost, asked later", 1, kCount, 2},
      {"an eighth lost, asked much later", 1, kCount, 10},
      {"a quarter lost", 2, kCount, 0},
      {"a quarter lost, another leader", 2, kCount, 2, true},
      {"three eighths lost", 3, kCount, 0},
      {"three eighths lost, another leader", 3, kCount, 10, true},
      {"half lost", 4, kCount, 0},
      {"half lost, asked later", 4, kCount, 2},
      {"half lost, another leader", 4, kCount, 10, true},
      {"more than half lost", 5, 14, 2},
      {"a quarter lost, the guarantee raised", 2, kCount, 2, false, 14},
      {"three eighths lost, the guarantee raised, another leader", 3, kCount, 2,
       true, 14},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    PlannerCluster before(kRacks, kWorkersPerRack);
    for (const char* account : {"east", "south", "urgent", "west"}) {
      before.guarantees[account] = kGuaranteed;
    }
    Fill(&before, 1, kCount, 1);
    REQUIRE(Active(before, Id(100)) == kCount);
    LoseWorkers(&before, row.lost);
    PlannerCluster after = TakeOver(before);
    for (auto it = after.workers.begin(); it != after.workers.end();) {
      const auto worker = it++;
      const bool is_lost = before.workers.count(worker->first) == 0;
      if (is_lost) after.workers.erase(worker);
    }
    PlannerCluster& cluster = row.new_leader ? after : before;
    ReportAtWork(&cluster);
    CHECK(cluster.Round().stops.empty());
    CHECK(Active(cluster, Id(100)) == row.running);
    cluster.guarantees["urgent"] = row.raised_to;
    if (row.asked_after_s > 0) ReportAtWork(&cluster);
    cluster.now += std::chrono::seconds(row.asked_after_s);
    JobDefinition job =
        MakeJob(Id(1), {MakeStep(row.raised_to, 1)}, 0, "urgent");
    cluster.ledger.Add(job, cluster.now);
    CHECK(PlanUntilSettled(&cluster) <= 1);
    CHECK(Active(cluster, Id(1)) == row.raised_to);
    CHECK(Active(cluster, Id(100)) >= row.running - 1);
  }
}

// Guards against tasks that take the room of accounts which have asked for
// their guarantees a moment ago and will do so again.
TEST_CASE("tasks that lost their room leave what was recently asked for") {
  struct Row {
    const char* name;
    // From the end of the urgent work until the workers are lost.
    std::chrono::seconds since;
    int running;
  };
  // 40 accelerators are left. "west" has asked for its ten, and "south" may ask
  // for its 20 at any time.
  const std::vector<Row> rows = {
      {"a moment ago", std::chrono::seconds(1), 10},
      {"a while ago", std::chrono::seconds(50), 10},
      {"long ago", kDemandMemory + std::chrono::seconds(1), 20},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    PlannerCluster cluster(kRacks, kWorkersPerRack);
    cluster.guarantees = {{"south", 20}, {"urgent", 10}, {"west", 10}};
    Fill(&cluster, 1, 22, 1);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(10, 1)}, 0, "west"),
                       cluster.now);
    cluster.Round();
    REQUIRE(Active(cluster, Id(1)) == 10);
    for (auto& [id, worker] : cluster.workers) {
      const std::map<TaskRef, TrackedRun> runs = worker.runs();
      for (const auto& [task, run] : runs) {
        if (task.step.job == Id(1)) cluster.End(id, task, RunEnd::kDone);
      }
    }
    cluster.now += row.since;
    LoseWorkers(&cluster, 3);
    REQUIRE(Active(cluster, Id(100)) == 0);
    ReportAtWork(&cluster);
    cluster.Round();
    CHECK(Active(cluster, Id(100)) == row.running);
  }
}

}  // namespace
}  // namespace thornplank::testing
