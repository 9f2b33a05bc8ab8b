// Capacity held for waiting gangs: who may use it, when borrowers return it,
// and what it costs. Each test names the load that it guards against.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kTick{100};
// Number of the job with an endless stream of single tasks.
constexpr int kStream = 900;

SchedulingFeatures Held(FeatureMode mode) {
  SchedulingFeatures features;
  features.held_capacity = mode;
  return features;
}

StepSpec Singles(int count, Milliseconds estimate, bool checkpointable) {
  StepSpec step = MakeStep(count, 1);
  step.estimate = estimate;
  step.checkpointable = checkpointable;
  return step;
}

StepSpec LongGang(int count, int accelerators, Milliseconds estimate) {
  StepSpec step = Gang(count, accelerators, false);
  step.estimate = estimate;
  return step;
}

JobDefinition PatientJob(int number, const StepSpec& step, int priority) {
  JobDefinition job = MakeJob(Id(number), {step}, priority);
  job.policy.slack = std::chrono::seconds(600);
  return job;
}

// All runs began just now.
void MarkBegun(PlannerCluster* cluster) {
  for (auto& [id, worker] : cluster->workers) {
    for (auto& [task, run] : worker.runs()) {
      if (run.began == Time{}) run.began = cluster->now;
    }
  }
}

size_t TasksStarted(const Plan& plan, const std::string& job) {
  size_t tasks = 0;
  for (const StartDecision& start : plan.starts) {
    if (start.step.job == job) tasks += start.assignments.size();
  }
  return tasks;
}

// A cluster whose runs take a given time and report their progress.
class Simulation {
 public:
  Simulation(int racks, int workers_per_rack, FeatureMode mode)
      : cluster(racks, workers_per_rack, WorkerBounds(), Held(mode)) {
    cluster.guarantees = {{"south", 8}};
  }

  void Add(const JobDefinition& job, Milliseconds duration) {
    cluster.ledger.Add(job, cluster.now);
    durations_[job.id] = duration;
  }

  // Ends what is due and what was to stop, then plans.
  Plan Tick() {
    cluster.now += kTick;
    cluster.wall_now += kTick;
    cluster.CarryOutStops();
    std::vector<std::pair<std::string, TaskRef>> ended;
    for (auto& [id, worker] : cluster.workers) {
      for (auto& [task, run] : worker.runs()) {
        const Milliseconds whole = durations_.at(task.step.job);
        const Duration ran = cluster.now - run.began;
        if (ran >= whole) ended.emplace_back(id, task);
      }
    }
    for (const auto& [id, task] : ended) {
      cluster.End(id, task, RunEnd::kDone);
    }
    ReportProgress();
    Plan plan = cluster.Round();
    MarkBegun(&cluster);
    for (const StartDecision& start : plan.starts) {
      started.emplace(start.step.job, cluster.now);
    }
    return plan;
  }

  // Fills the cluster with single tasks whose ends are spread over time, so
  // that no worker becomes empty by itself, and adds more than can run.
  void FillSpread(int tasks_at_once, Milliseconds duration,
                  Milliseconds estimate, bool checkpointable) {
    constexpr int kBegins = 14;
    for (int i = 0; i < kBegins; ++i) {
      const StepSpec step = Singles(tasks_at_once, estimate, checkpointable);
      Add(PatientJob(100 + i, step, 2), duration - kTick * 4 * i);
    }
    Add(PatientJob(kStream, Singles(4000, estimate, checkpointable), 2),
        duration);
    for (int i = 0; i < 70; ++i) Tick();
  }

  int64_t waiting(const std::string& job) const {
    const Job* known = cluster.ledger.Find(job);
    return known == nullptr ? 0 : known->occurrences[0][0].waiting;
  }

  PlannerCluster cluster;
  std::map<std::string, Time> started;

 private:
  void ReportProgress() {
    for (auto& [id, worker] : cluster.workers) {
      for (auto& [task, run] : worker.runs()) {
        const Duration ran = cluster.now - run.began;
        run.baseline = run.began;
        run.baseline_percent = 0;
        run.percent =
            static_cast<int>(100 * ran / durations_.at(task.step.job));
        run.last_progress = cluster.now;
      }
    }
  }

  std::map<std::string, Milliseconds> durations_;
};

// Guards against idle capacity beside waiting single tasks, as on the day with
// the heaviest load: steps of priority 2 waited 2,763 s while more than 800 of
// 2,800 accelerators were idle, since the demand of gangs was summed over
// workers on which they could not start. Here a wave of gangs of half a rack
// arrives while single tasks fill everything.
TEST_CASE("a wave of large gangs starts, and singles use what no gang can") {
  Simulation simulation(4, 5, FeatureMode::kAuto);
  const Milliseconds single(7000);
  simulation.FillSpread(12, single, single, false);
  constexpr int kGangs = 6;
  for (int i = 0; i < kGangs; ++i) {
    StepSpec gang = LongGang(5, 4, Milliseconds(9000));
    gang.same_rack = true;
    simulation.Add(PatientJob(10 + i, gang, 1), Milliseconds(9000));
  }
  int64_t most_unused = 0;
  for (int i = 0; i < 400; ++i) {
    simulation.Tick();
    if (simulation.waiting(Id(kStream)) == 0) continue;
    const int64_t unused =
        simulation.cluster.free_accelerators() -
        simulation.cluster.planner.held_use().held_free_accelerators;
    most_unused = std::max(most_unused, unused);
  }
  CHECK(most_unused == 0);
  for (int i = 0; i < kGangs; ++i) {
    CHECK(simulation.started.count(Id(10 + i)) == 1);
  }
}

// Guards against gangs of whole workers that starve behind a stream of single
// tasks, whatever the callers' estimates are worth.
TEST_CASE("a gang of whole workers starts although estimates are wrong") {
  struct Row {
    const char* name;
    Milliseconds estimate;
    bool checkpointable;
  };
  const std::vector<Row> rows = {
      {"right", Milliseconds(7000), false},
      {"a tenth", Milliseconds(700), false},
      {"ten times", Milliseconds(70000), false},
      {"a tenth, checkpointable", Milliseconds(700), true},
      {"ten times, checkpointable", Milliseconds(70000), true},
      {"none", Milliseconds(0), false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Simulation simulation(2, 4, FeatureMode::kAuto);
    const Milliseconds single(7000);
    simulation.FillSpread(5, single, row.estimate, row.checkpointable);
    simulation.Add(PatientJob(1, LongGang(2, 8, Milliseconds(9000)), 1),
                   Milliseconds(9000));
    const Time asked = simulation.cluster.now;
    for (int i = 0; i < 300 && simulation.started.count(Id(1)) == 0; ++i) {
      simulation.Tick();
    }
    REQUIRE(simulation.started.count(Id(1)) == 1);
    CHECK(simulation.started.at(Id(1)) - asked <= std::chrono::seconds(20));
  }
}

// Guards against a gang that waits for runs which could be stopped without loss
// of work, and against stops that do not let it start or cost more than they
// are worth.
TEST_CASE("borrowers are stopped only for a gang that can then start") {
  struct Row {
    const char* name;
    FeatureMode mode;
    // Workers, of four, that checkpointable tasks fill.
    int lent;
    int borrower_priority;
    Milliseconds gang_estimate;
    size_t stops;
  };
  const std::vector<Row> rows = {
      {"all workers are lent", FeatureMode::kAuto, 4, 2, Milliseconds(9000),
       16},
      {"just enough are lent", FeatureMode::kAuto, 2, 2, Milliseconds(9000),
       16},
      {"too few are lent", FeatureMode::kAuto, 1, 2, Milliseconds(9000), 0},
      {"none is lent", FeatureMode::kAuto, 0, 2, Milliseconds(9000), 0},
      {"a gang whose work is smaller than the loss", FeatureMode::kAuto, 4, 2,
       Milliseconds(1000), 0},
      {"a gang whose work is not known", FeatureMode::kAuto, 4, 2,
       Milliseconds(-1), 0},
      {"runs of the same priority", FeatureMode::kAuto, 4, 1,
       Milliseconds(9000), 0},
      {"switched off", FeatureMode::kOff, 4, 2, Milliseconds(9000), 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(1, 4, WorkerBounds(), Held(row.mode));
    cluster.guarantees = {{"south", 8}};
    const Milliseconds single(60000);
    const int others = 4 - row.lent;
    if (others > 0) {
      cluster.ledger.Add(PatientJob(1, Singles(others * 8, single, false), 1),
                         cluster.now);
    }
    cluster.Round();
    if (row.lent > 0) {
      cluster.ledger.Add(PatientJob(2, Singles(row.lent * 8, single, true),
                                    row.borrower_priority),
                         cluster.now);
    }
    cluster.Round();
    MarkBegun(&cluster);
    REQUIRE(cluster.free_accelerators() == 0);
    cluster.now += std::chrono::seconds(2);
    cluster.ledger.Add(PatientJob(3, LongGang(2, 8, row.gang_estimate), 1),
                       cluster.now);
    const Plan plan = cluster.Round();
    CHECK(plan.stops.size() == row.stops);
    std::set<std::string> workers;
    for (const StopDecision& stop : plan.stops) {
      CHECK(stop.returns_held);
      CHECK(stop.task.step.job == Id(2));
      workers.insert(stop.worker);
    }
    CHECK(workers.size() == row.stops / 8);
    // No more are stopped while it waits for them.
    cluster.now += kTick;
    CHECK(cluster.Round().stops.empty());
    cluster.CarryOutStops();
    // The stopped tasks wait again and do not take the capacity back.
    cluster.now += kTick;
    CHECK(TasksStarted(cluster.Round(), Id(3)) == (row.stops > 0 ? 2 : 0));
  }
}

// Eight workers, each half in use by a run that ends in a second, and a gang
// that needs two of them whole.
struct HalfUsed {
  explicit HalfUsed(FeatureMode mode = FeatureMode::kAuto)
      : cluster(1, 8, WorkerBounds(), Held(mode)) {
    cluster.guarantees = {{"south", 8}};
    StepSpec half = MakeStep(8, 4);
    half.max_per_worker = 1;
    cluster.ledger.Add(MakeJob(Id(1), {half}, 1), cluster.now);
    cluster.Round();
    MarkBegun(&cluster);
    gang = LongGang(2, 8, Milliseconds(9000));
    cluster.ledger.Add(PatientJob(2, gang, 1), cluster.now);
  }

  PlannerCluster cluster;
  StepSpec gang;
};

// Guards against holds that delay urgent steps, or steps to which the gang has
// no precedence, and against capacity that stays idle although a task would end
// in time or can be stopped.
TEST_CASE("who may use held capacity") {
  struct Row {
    const char* name;
    int priority;
    Milliseconds estimate;
    bool checkpointable;
    size_t started;
  };
  const std::vector<Row> rows = {
      {"lower priority", 2, Milliseconds(9000), false, 24},
      {"lower priority, without an estimate", 2, Milliseconds(0), false, 24},
      {"lower priority, ends before the gang starts", 2, Milliseconds(900),
       false, 32},
      {"lower priority, ends just after that", 2, Milliseconds(1100), false,
       24},
      {"a borrower", 2, Milliseconds(9000), true, 32},
      {"the same priority", 1, Milliseconds(9000), false, 32},
      {"urgent", 0, Milliseconds(9000), false, 32},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HalfUsed half;
    half.cluster.ledger.Add(
        PatientJob(3, Singles(32, row.estimate, row.checkpointable),
                   row.priority),
        half.cluster.now);
    CHECK(TasksStarted(half.cluster.Round(), Id(3)) == row.started);
  }
}

// Guards against borrowers spread over all workers, where a later gang finds
// none free of work that cannot be stopped.
TEST_CASE("borrowers go to held workers, other single tasks do not") {
  for (const bool checkpointable : {true, false}) {
    CAPTURE(checkpointable);
    HalfUsed half;
    half.cluster.ledger.Add(
        PatientJob(3, Singles(4, Milliseconds(900), checkpointable), 2),
        half.cluster.now);
    half.cluster.Round();
    const int64_t lent = half.cluster.planner.held_use().lent_accelerators;
    CHECK(lent == 0);
    MarkBegun(&half.cluster);
    half.cluster.now += kTick;
    half.cluster.Round();
    CHECK(half.cluster.planner.held_use().held_free_accelerators ==
          (checkpointable ? 4 : 8));
  }
}

// Guards against a job that gets nothing at all while gangs hold capacity.
TEST_CASE("a job without an active task gets one on held capacity") {
  HalfUsed half;
  half.cluster.ledger.Add(
      PatientJob(3, Singles(32, Milliseconds(9000), false), 2),
      half.cluster.now);
  REQUIRE(TasksStarted(half.cluster.Round(), Id(3)) == 24);
  half.cluster.ledger.Add(
      PatientJob(4, Singles(5, Milliseconds(9000), false), 2),
      half.cluster.now);
  CHECK(TasksStarted(half.cluster.Round(), Id(4)) == 1);
  CHECK(TasksStarted(half.cluster.Round(), Id(4)) == 0);
}

// Guards against capacity that stays held on a worker which is gone, while the
// gang waits for it.
TEST_CASE("a hold moves when its worker becomes silent") {
  HalfUsed half;
  Plan plan = half.cluster.Round();
  REQUIRE(plan.hold_changes.size() == 1);
  CHECK(plan.hold_changes[0].reason == "begins");
  CHECK(plan.hold_changes[0].workers == 2);
  CHECK(plan.hold_changes[0].rack == "r0");
  REQUIRE(half.cluster.planner.held_use().held_free_accelerators == 8);
  // The first workers are held, since all are alike.
  WorkerTracker& silent = half.cluster.workers.at("w0-0");
  for (int i = 0; i < 10; ++i) silent.OnReportFailed(half.cluster.now);
  half.cluster.now += std::chrono::seconds(1);
  REQUIRE(silent.availability(half.cluster.now) != WorkerAvailability::kUsable);
  plan = half.cluster.Round();
  REQUIRE(plan.hold_changes.size() == 1);
  CHECK(plan.hold_changes[0].reason == "moves to other workers");
  CHECK(half.cluster.planner.held_use().held_free_accelerators == 8);
}

// Guards against a gang that waits for a reservation on a worker which is gone.
TEST_CASE("a gang whose borrowers' worker becomes silent gets others") {
  PlannerCluster cluster(1, 4);
  cluster.guarantees = {{"south", 8}};
  cluster.ledger.Add(PatientJob(1, Singles(32, Milliseconds(60000), true), 2),
                     cluster.now);
  cluster.Round();
  MarkBegun(&cluster);
  cluster.now += std::chrono::seconds(2);
  cluster.ledger.Add(PatientJob(2, LongGang(2, 8, Milliseconds(9000)), 1),
                     cluster.now);
  Plan plan = cluster.Round();
  REQUIRE(plan.stops.size() == 16);
  WorkerTracker& silent = cluster.workers.at(plan.stops[0].worker);
  for (int i = 0; i < 10; ++i) silent.OnReportFailed(cluster.now);
  cluster.now += std::chrono::seconds(1);
  plan = cluster.Round();
  CHECK(plan.stops.size() == 8);
  for (const StopDecision& stop : plan.stops) {
    CHECK(stop.worker != silent.id());
  }
}

// Guards against holds of an expired gang, and of one that has ended.
TEST_CASE("a hold ends with the wait of its gang") {
  HalfUsed half;
  REQUIRE(half.cluster.Round().hold_changes.size() == 1);
  half.cluster.now += kTick;
  SUBCASE("cancelled") { half.cluster.ledger.Cancel(Id(2)); }
  SUBCASE("expired") { half.cluster.wall_now += std::chrono::hours(1); }
  SUBCASE("no guarantee any more") { half.cluster.guarantees.clear(); }
  const Plan plan = half.cluster.Round();
  REQUIRE(plan.hold_changes.size() == 1);
  CHECK(plan.hold_changes[0].reason.substr(0, 4) == "ends");
  CHECK(half.cluster.planner.held_use().held_free_accelerators == 0);
}

TEST_CASE(
    "the part is active where a guarantee is positive, unless it is set") {
  struct Row {
    const char* name;
    FeatureMode mode;
    Guarantees guarantees;
    bool active;
  };
  const std::vector<Row> rows = {
      {"no guarantee", FeatureMode::kAuto, {}, false},
      {"guarantees that are not positive",
       FeatureMode::kAuto,
       {{"north", 0}, {"south", -8}},
       false},
      {"a guarantee", FeatureMode::kAuto, {{"north", 0}, {"south", 8}}, true},
      {"on", FeatureMode::kOn, {}, true},
      {"off", FeatureMode::kOff, {{"south", 8}}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HalfUsed half(row.mode);
    PlannerCluster& cluster = half.cluster;
    cluster.planner = Planner(PlannerSettings());
    PlannerSettings settings;
    settings.features.held_capacity = row.mode;
    cluster.planner = Planner(settings);
    cluster.guarantees = row.guarantees;
    const Plan plan = cluster.Round();
    CHECK(plan.feature_changes.size() == (row.active ? 1 : 0));
    CHECK(plan.hold_changes.size() == (row.active ? 1 : 0));
  }
}

// Guards against a second wave of urgent gangs that finds the workers of the
// first one taken.
TEST_CASE("as many workers as the last urgent wave used stay empty") {
  PlannerCluster cluster(2, 10);
  cluster.guarantees = {{"south", 8}};
  cluster.ledger.Add(MakeJob(Id(1), {Gang(6, 8, true)}, 0), cluster.now);
  REQUIRE(cluster.Round().starts.size() == 1);
  cluster.now += std::chrono::milliseconds(500);
  for (auto& [id, worker] : cluster.workers) {
    while (!worker.runs().empty()) {
      const TaskRef task = worker.runs().begin()->first;
      cluster.End(id, task, RunEnd::kDone);
    }
  }
  cluster.ledger.Add(PatientJob(2, Singles(200, Milliseconds(7000), false), 2),
                     cluster.now);
  CHECK(TasksStarted(cluster.Round(), Id(2)) == 14 * 8);
  CHECK(cluster.planner.held_use().headroom_workers == 6);
}

// Guards against rounds that take longer the more gangs wait, which happens on
// the days on which rounds are most frequent. Counted in visits of workers.
TEST_CASE("the search for holds visits few workers in a round") {
  struct Row {
    int racks;
    int workers_per_rack;
  };
  for (const Row& row : {Row{35, 10}, Row{50, 20}, Row{300, 20}}) {
    CAPTURE(row.racks);
    PlannerCluster cluster(row.racks, row.workers_per_rack);
    cluster.guarantees = {{"south", 8}};
    RunProfile half;
    half.need = {1000, 1000, 4};
    half.priority = 2;
    int number = 0;
    for (auto& [id, worker] : cluster.workers) {
      half.checkpointable = number % 2 == 0;
      half.estimate = Milliseconds(1000 + number % 7000);
      worker.Add({{Id(900000 + number++), 0, 0}, 0}, 1, half, cluster.now);
    }
    cluster.Round();
    CHECK(cluster.planner.held_use().worker_visits == 0);
    constexpr int kGangs = 30;
    constexpr int kMembers = 8;
    for (int i = 0; i < kGangs; ++i) {
      StepSpec gang = LongGang(kMembers, 8, Milliseconds(9000));
      gang.same_rack = i % 2 == 0;
      cluster.ledger.Add(PatientJob(i, gang, 1), cluster.now);
    }
    const auto workers = static_cast<int64_t>(cluster.workers.size());
    int64_t all_visits = 0;
    constexpr int kRounds = 40;
    for (int i = 0; i < kRounds; ++i) {
      cluster.Round();
      const int64_t visits = cluster.planner.held_use().worker_visits;
      // One search, each with and without borrowers, and once for stops; and
      // the workers of the other holds.
      CHECK(visits <= 3 * workers + kMaxHoldsPerService * kMembers * 3);
      all_visits += visits;
      cluster.now += Milliseconds(50);
    }
    CHECK(all_visits / kRounds <= workers + kMaxHoldsPerService * kMembers * 3);
  }
}

// Guards against capacity that is allocated twice, and gangs that start in
// part, whatever is held, lent, stopped and ended.
TEST_CASE("no sequence of holds and stops breaks capacity or gangs") {
  CHECK(rc::check([] {
    PlannerCluster cluster(2, 4, WorkerBounds(), Held(FeatureMode::kOn));
    const int rounds = *rc::gen::inRange(1, 40);
    for (int i = 0; i < rounds; ++i) {
      StepSpec step =
          MakeStep(*rc::gen::inRange(1, 10), *rc::gen::element(1, 2, 4, 8));
      step.gang = *rc::gen::arbitrary<bool>();
      step.same_rack = *rc::gen::arbitrary<bool>();
      step.checkpointable = *rc::gen::arbitrary<bool>();
      step.estimate = Milliseconds(*rc::gen::inRange(-100, 9000));
      cluster.ledger.Add(PatientJob(i, step, *rc::gen::inRange(0, 3)),
                         cluster.now);
      cluster.Round();
      MarkBegun(&cluster);
      for (const auto& [id, worker] : cluster.workers) {
        RC_ASSERT(!worker.room().IsOverdrawn());
      }
      for (const auto& [id, job] : cluster.ledger.jobs()) {
        const StepProgress& progress = job->occurrences[0][0];
        const bool part = progress.active() > 0 && progress.waiting > 0;
        RC_ASSERT(!job->spec.steps[0].gang || !part);
      }
      if (*rc::gen::arbitrary<bool>()) cluster.CarryOutStops();
      for (auto& [id, worker] : cluster.workers) {
        std::vector<TaskRef> ending;
        for (const auto& [task, run] : worker.runs()) {
          if (run.profile.gang || run.stop_wanted) continue;
          if (*rc::gen::inRange(0, 3) == 0) ending.push_back(task);
        }
        for (const TaskRef& task : ending) {
          cluster.End(id, task, RunEnd::kDone);
        }
      }
      cluster.now += Milliseconds(*rc::gen::inRange(1, 2000));
    }
  }));
}

}  // namespace
}  // namespace thornplank::testing
