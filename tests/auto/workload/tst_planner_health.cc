// Placement on workers on probation.
#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"

namespace thornplank::testing {
namespace {

class HealthCluster : public PlannerCluster {
 public:
  HealthCluster(int racks, int workers_per_rack, bool compared = true)
      : PlannerCluster(racks, workers_per_rack) {
    for (auto& [id, worker] : workers) {
      worker.health().set_compared(compared);
    }
  }

  void Fail(const std::string& id, int64_t when = 0) {
    workers.at(id).health().OnRunFailed({"failed", At(when), At(when)},
                                        At(when));
  }

  std::set<std::string> WorkersOf(const Plan& plan, const std::string& job) {
    std::set<std::string> used;
    for (const StartDecision& start : plan.starts) {
      if (start.step.job != job) continue;
      for (const auto& assignment : start.assignments) {
        used.insert(assignment.worker);
      }
    }
    return used;
  }
};

// Guards against gangs of many members that lose the work of all on a worker on
// which a run has just failed.
TEST_CASE("a gang does not start on a worker on probation") {
  struct Row {
    const char* name;
    bool compared;
    int priority;
    bool starts;
  };
  const std::vector<Row> rows = {
      {"large gang", true, 1, false},
      {"urgent gang without a guarantee", true, 0, false},
      {"the feature is off", false, 1, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HealthCluster cluster(1, 8, row.compared);
    cluster.Fail("w0-0");
    cluster.ledger.Add(MakeJob(Id(1), {Gang(8, 8, false)}, row.priority),
                       cluster.now);
    CHECK(cluster.Round().starts.size() == (row.starts ? 1 : 0));
    cluster.ledger.Add(MakeJob(Id(2), {Gang(7, 8, false)}, row.priority),
                       cluster.now);
    const std::set<std::string> used =
        cluster.WorkersOf(cluster.Round(), Id(2));
    CHECK(used.size() == (row.starts ? 0 : 7));
    CHECK(used.count("w0-0") == 0);
  }
}

// Guards against a worker on probation that stays so for want of a test, since
// capacity is held back for others, and against one that gets many tasks before
// the test has ended.
TEST_CASE("a worker on probation gets one single task at a time") {
  struct Row {
    const char* name;
    int gang;
    // Accelerators in use on each of the other workers.
    int used;
  };
  const std::vector<Row> rows = {
      {"idle cluster", 0, 0},
      {"crowded cluster", 0, 6},
      {"crowded, and a gang waits for more than there is", 16, 7},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HealthCluster cluster(1, 8);
    for (auto& [id, worker] : cluster.workers) {
      if (id == "w0-0" || row.used == 0) continue;
      RunProfile profile;
      profile.need = {1000, 1000, row.used};
      worker.Add({{Id(9), 0, 0}, 0}, 1, profile, At(0));
    }
    cluster.Fail("w0-0");
    cluster.now = At(100);
    if (row.gang > 0) {
      cluster.ledger.Add(MakeJob(Id(1), {Gang(row.gang, 8, false)}, 1),
                         cluster.now);
    }
    cluster.ledger.Add(MakeJob(Id(2), {MakeStep(200, 1)}, 2), cluster.now);
    StepSpec checkpointable = MakeStep(200, 1);
    checkpointable.checkpointable = true;
    cluster.ledger.Add(MakeJob(Id(3), {checkpointable}, 2), cluster.now);
    const Plan plan = cluster.Round();
    REQUIRE(cluster.workers.at("w0-0").runs().size() == 1);
    CHECK(cluster.workers.at("w0-0").runs().begin()->first.step.job == Id(3));
    cluster.now = At(200);
    cluster.Round();
    CHECK(cluster.workers.at("w0-0").runs().size() == 1);
    // The end of the test decides.
    const TaskRef test = cluster.workers.at("w0-0").runs().begin()->first;
    cluster.End("w0-0", test, RunEnd::kDone);
    cluster.workers.at("w0-0").health().OnRunDone(
        {test.step.job, At(100), At(100)}, At(300));
    cluster.now = At(300);
    cluster.Round();
    CHECK(cluster.workers.at("w0-0").runs().size() != 1);
  }
}

// Guards against a test that ends a job: its last attempt would be spent on a
// worker that may be at fault.
TEST_CASE("which tasks test a worker on probation") {
  struct Row {
    const char* name;
    std::function<void(StepSpec*)> change;
    int priority;
    bool tests;
  };
  const std::vector<Row> rows = {
      {"single", [](StepSpec*) {}, 1, true},
      {"urgent", [](StepSpec*) {}, 0, false},
      {"gang", [](StepSpec* step) { step->gang = true; }, 1, false},
      {"long-running", [](StepSpec* step) { step->long_running = true; }, 1,
       false},
      {"filler", [](StepSpec* step) { step->is_filler = true; }, 1, false},
      {"its data is here", [](StepSpec* step) { step->data_rack = "r0"; }, 1,
       true},
      {"its data is elsewhere", [](StepSpec* step) { step->data_rack = "r9"; },
       1, false},
      {"does not fit", [](StepSpec* step) { step->need.accelerators = 9; }, 1,
       false},
      {"needs another label",
       [](StepSpec* step) { step->required_label = "b"; }, 1, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HealthCluster cluster(1, 4);
    cluster.Fail("w0-0");
    cluster.now = At(100);
    StepSpec step = MakeStep(1, 1);
    row.change(&step);
    cluster.ledger.Add(MakeJob(Id(1), {step}, row.priority), cluster.now);
    cluster.Round();
    CHECK(cluster.workers.at("w0-0").runs().size() == (row.tests ? 1 : 0));
  }
}

// Guards against guaranteed urgent gangs that wait beyond their bound because
// the only free workers, or those of evictable runs, are on probation.
TEST_CASE("guaranteed urgent steps may use workers on probation") {
  struct Row {
    const char* name;
    int64_t guarantee;
    // Of eight workers.
    int on_probation;
    bool failed_before;
    // Accelerators of each worker that evictable runs use.
    int used;
    bool starts;
    bool evicts;
  };
  const std::vector<Row> rows = {
      {"within the guarantee", 64, 2, false, 0, true, false},
      {"all workers are on probation", 64, 8, false, 0, true, false},
      {"all are, and others must give way", 64, 8, false, 8, false, true},
      {"all are, beyond the guarantee", 32, 8, false, 0, false, false},
      {"a member has failed before", 64, 2, true, 0, true, false},
      {"beyond the guarantee", 32, 2, false, 0, false, false},
      {"others must give way", 64, 2, false, 8, false, true},
      {"beyond the guarantee, others do not suffice", 32, 2, false, 8, false,
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HealthCluster cluster(1, 8);
    cluster.guarantees["north"] = row.guarantee;
    for (auto& [id, worker] : cluster.workers) {
      if (row.used == 0) continue;
      RunProfile profile;
      profile.need = {1000, 1000, row.used};
      profile.priority = 2;
      worker.Add({{Id(9), 0, 0}, 0}, 1, profile, At(0));
    }
    for (int i = 0; i < row.on_probation; ++i) {
      cluster.Fail("w0-" + std::to_string(i));
    }
    cluster.now = At(100);
    cluster.ledger.Add(MakeJob(Id(1), {Gang(8, 8, false)}, 0), cluster.now);
    if (row.failed_before) {
      const StepRef step{Id(1), 0, 0};
      std::vector<JobLedger::Assignment> gone;
      gone.reserve(8);
      for (int i = 0; i < 8; ++i) gone.push_back({i, "gone"});
      cluster.ledger.RecordStart(step, gone);
      cluster.ledger.RecordRunEnd({step, 0}, 1, RunEnd::kFailed, "");
      for (int i = 1; i < 8; ++i) {
        cluster.ledger.RecordRunEnd({step, i}, 1, RunEnd::kGangBroken, "");
      }
    }
    const Plan plan = cluster.Round();
    CHECK(plan.starts.size() == (row.starts ? 1 : 0));
    CHECK(plan.stops.empty() != row.evicts);
  }
}

// Guards against a step over the guarantee that takes the guarantee from the
// steps before it.
TEST_CASE("the first steps of an account that exceeds its guarantee have it") {
  HealthCluster cluster(1, 8);
  cluster.guarantees["north"] = 64;
  cluster.Fail("w0-0");
  cluster.Fail("w0-1");
  cluster.now = At(100);
  cluster.ledger.Add(MakeJob(Id(1), {Gang(8, 8, false)}, 0), cluster.now);
  cluster.ledger.Add(MakeJob(Id(2), {Gang(4, 8, false)}, 0), cluster.now);
  CHECK(cluster.WorkersOf(cluster.Round(), Id(1)).size() == 8);
}

// Guards against a fleet that stands still, though it could work, where more
// than a quarter of its workers had a failure: 49 of 350 hang and 33 fail, and
// others fail by chance.
TEST_CASE("at most a quarter of the workers is withheld, the newest first") {
  HealthCluster cluster(1, 16);
  for (int i = 0; i < 8; ++i) {
    cluster.Fail("w0-" + std::to_string(i), i * 100);
  }
  cluster.now = At(1000);
  const ClusterCapacity capacity(cluster.workers, nullptr, cluster.now);
  std::set<std::string> withheld;
  for (const WorkerCapacity& worker : capacity.workers()) {
    if (worker.withheld) withheld.insert(worker.tracker->id());
  }
  CHECK(withheld == std::set<std::string>{"w0-4", "w0-5", "w0-6", "w0-7"});
  // The others are used, but last.
  cluster.ledger.Add(MakeJob(Id(1), {Gang(8, 8, false)}, 1), cluster.now);
  const std::set<std::string> used = cluster.WorkersOf(cluster.Round(), Id(1));
  CHECK(used.size() == 8);
  for (int i = 0; i < 8; ++i) {
    CHECK(used.count("w0-" + std::to_string(i)) == 0);
  }
  cluster.ledger.Add(MakeJob(Id(2), {Gang(4, 8, false)}, 1), cluster.now);
  CHECK(cluster.WorkersOf(cluster.Round(), Id(2)) ==
        std::set<std::string>{"w0-0", "w0-1", "w0-2", "w0-3"});
}

// Guards against a gang for one rack that spreads over several, where it takes
// three times as long, because one worker of the rack is on probation.
TEST_CASE("a probation does not make a gang leave its rack") {
  HealthCluster cluster(2, 4);
  cluster.Fail("w0-0");
  cluster.Fail("w1-0");
  cluster.ledger.Add(MakeJob(Id(1), {Gang(4, 8, true)}, 1), cluster.now);
  const Plan plan = cluster.Round();
  CHECK(plan.starts.empty());
  REQUIRE(plan.waits.size() == 1);
  CHECK(plan.waits[0].reason == WaitReason::kNoRoomOnOneRack);
}

}  // namespace
}  // namespace thornplank::testing
