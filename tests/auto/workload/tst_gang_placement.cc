// On how many workers a gang is placed, and which.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"
#include "workload/compact_fit.h"
#include "workload/gang_placement.h"

namespace thornplank::testing {
namespace {

constexpr int64_t kAccelerators = 8;
constexpr int64_t kUnlimited = 1000;

std::string WorkerName(size_t number) {
  std::string digits = std::to_string(number);
  return "w" + std::string(5 - digits.size(), '0') + digits;
}

// Workers with a given number of free accelerators, and one gang.
class Cluster {
 public:
  void Add(const std::string& rack, int64_t free, double speed = 1) {
    const std::string id = WorkerName(workers_.size());
    WorkerTracker& worker =
        workers_.emplace(id, MakeTracker(MakeWorker(id, rack))).first->second;
    worker.set_steady_speed(speed);
    if (free == kAccelerators) return;
    RunProfile profile;
    profile.need = {1000, 1000, kAccelerators - free};
    worker.Add({{Id(99), 0, 0}, static_cast<int>(workers_.size())}, 1, profile,
               At(0));
  }

  // The number of members by worker; empty if the gang does not start.
  std::map<std::string, int> Place(const StepSpec& spec, bool compact,
                                   int64_t empty_workers = kUnlimited) {
    JobLedger ledger;
    ledger.Add(MakeJob(Id(1), {spec}), At(0));
    const std::vector<ReadyStep> steps =
        CollectReadySteps(ledger, FromUnixMilliseconds(1000100));
    const ClusterCapacity capacity(workers_, nullptr, At(100));
    FreePlaces places;
    places.slots = capacity.FreeSlots(steps[0]);
    places.empty_workers = empty_workers;
    places.compact = compact;
    std::map<std::string, int> members;
    const std::vector<JobLedger::Assignment> chosen =
        spec.same_rack ? PlaceOnOneRack(steps[0], capacity, places)
                       : PlaceOverRacks(steps[0], capacity, places);
    for (const JobLedger::Assignment& assignment : chosen) {
      ++members[assignment.worker];
    }
    return members;
  }

 private:
  std::map<std::string, WorkerTracker> workers_;
};

using Counts = std::map<std::string, int>;

// Guards against gangs that are spread over the small gaps of many workers:
// when 306 of 6,000 workers lost power, 801 gang runs broke.
TEST_CASE("a gang in scattered gaps takes few workers") {
  struct Row {
    const char* name;
    // Free accelerators by worker; kAccelerators: the worker is empty.
    std::vector<int64_t> free;
    StepSpec gang;
    int64_t empty_workers;
    Counts members;
  };
  StepSpec apart = Gang(4, 1, false);
  apart.max_per_worker = 1;
  const std::vector<Row> rows = {
      {"members of one accelerator",
       {1, 1, 1, 1, 4, 1},
       Gang(4, 1, false),
       kUnlimited,
       {{"w00004", 4}}},
      {"the tightest of the workers that hold all",
       {6, 1, 5, 7, 1, 1},
       Gang(5, 1, false),
       kUnlimited,
       {{"w00002", 5}}},
      {"the last member goes where it fits best",
       {1, 1, 4, 3, 1, 1},
       Gang(5, 1, false),
       kUnlimited,
       {{"w00002", 4}, {"w00000", 1}}},
      {"members of two accelerators",
       {2, 2, 2, 6, 3, 2},
       Gang(4, 2, false),
       kUnlimited,
       {{"w00003", 3}, {"w00000", 1}}},
      {"members of four accelerators",
       {4, 4, 7, 4, 5, 4},
       Gang(2, 4, false),
       kUnlimited,
       {{"w00000", 1}, {"w00001", 1}}},
      {"an empty worker saves several partly used ones",
       {4, 4, 8, 4, 5, 4},
       Gang(2, 4, false),
       kUnlimited,
       {{"w00002", 2}}},
      {"no empty worker where partly used ones hold the gang on as many",
       {8, 4, 8, 4, 1, 1},
       Gang(6, 1, false),
       kUnlimited,
       {{"w00000", 6}}},
      {"one partly used worker holds it as well as an empty one",
       {8, 6, 8, 1, 1, 1},
       Gang(6, 1, false),
       kUnlimited,
       {{"w00001", 6}}},
      {"two partly used workers hold it as well as an empty one and another",
       {8, 7, 8, 6, 1, 1},
       Gang(12, 1, false),
       kUnlimited,
       {{"w00001", 7}, {"w00003", 5}}},
      {"all empty workers are left to urgent steps",
       {8, 4, 8, 4, 1, 1},
       Gang(6, 1, false),
       0,
       {{"w00001", 4}, {"w00003", 2}}},
      {"one empty worker may be used",
       {8, 4, 8, 4, 1, 1},
       Gang(14, 1, false),
       1,
       {{"w00000", 8}, {"w00001", 4}, {"w00003", 2}}},
      {"it does not fit beside the workers that are left empty",
       {8, 4, 8, 4, 1, 1},
       Gang(11, 1, false),
       0,
       {}},
      {"whole workers",
       {8, 4, 8, 4, 8, 1},
       Gang(2, 8, false),
       kUnlimited,
       {{"w00000", 1}, {"w00002", 1}}},
      {"a limit per worker",
       {4, 1, 4, 1, 1, 1},
       apart,
       kUnlimited,
       {{"w00001", 1}, {"w00003", 1}, {"w00004", 1}, {"w00005", 1}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Cluster cluster;
    for (const int64_t free : row.free) {
      cluster.Add("r0", free);
    }
    for (const bool same_rack : {false, true}) {
      CAPTURE(same_rack);
      StepSpec gang = row.gang;
      gang.same_rack = same_rack;
      CHECK(cluster.Place(gang, /*compact=*/true, row.empty_workers) ==
            row.members);
    }
  }
}

// Guards against a switch that does not restore the placement by tightest gaps.
TEST_CASE("with the switch off, the tightest gaps come first") {
  for (const bool same_rack : {false, true}) {
    CAPTURE(same_rack);
    Cluster cluster;
    for (const int64_t free : {1, 1, 5, 1, 8, 1}) {
      cluster.Add("r0", free);
    }
    const Counts gaps = {
        {"w00000", 1}, {"w00001", 1}, {"w00003", 1}, {"w00005", 1}};
    const StepSpec gang = Gang(4, 1, same_rack);
    CHECK(cluster.Place(gang, /*compact=*/false) == gaps);
    CHECK(cluster.Place(gang, /*compact=*/true) == Counts{{"w00002", 4}});
  }
}

// Gangs of whole workers and gangs with a limit per worker have no choice
// between few workers and many: they must be placed as they were before.
TEST_CASE("whole workers and a limit per worker: as without compact gangs") {
  StepSpec apart = Gang(4, 1, false);
  apart.max_per_worker = 2;
  for (const StepSpec& spec : {Gang(3, 8, false), apart}) {
    for (const bool same_rack : {false, true}) {
      StepSpec gang = spec;
      gang.same_rack = same_rack;
      CAPTURE(gang.need.accelerators);
      CAPTURE(same_rack);
      Cluster cluster;
      for (const char* rack : {"r0", "r1"}) {
        for (const int64_t free : {8, 3, 8, 1, 2, 8, 5}) {
          cluster.Add(rack, free, free == 3 ? 0.8 : 1);
        }
      }
      const Counts before = cluster.Place(gang, /*compact=*/false);
      CHECK_FALSE(before.empty());
      CHECK(cluster.Place(gang, /*compact=*/true) == before);
    }
  }
}

// Guards against slow or distant workers that are used only because they hold
// more members: a gang runs at the pace of its slowest member.
TEST_CASE("a gang crosses no penalty to take fewer workers") {
  struct Worker {
    const char* rack;
    int64_t free;
    double speed;
  };
  struct Row {
    const char* name;
    std::vector<Worker> workers;
    const char* data_rack;
    bool same_rack;
    Counts members;
  };
  const std::vector<Row> rows = {
      {"a slow worker holds all",
       {{"r0", 1, 1}, {"r0", 1, 1}, {"r0", 7, 0.8}, {"r0", 1, 1}},
       "",
       false,
       {{"w00000", 1}, {"w00001", 1}, {"w00003", 1}}},
      {"as few members as possible on slow workers",
       {{"r0", 1, 1}, {"r0", 1, 1}, {"r0", 7, 0.8}, {"r0", 1, 0.7}},
       "",
       false,
       {{"w00000", 1}, {"w00001", 1}, {"w00002", 1}}},
      {"a worker on another rack than the data holds all",
       {{"r0", 1, 1}, {"r0", 1, 1}, {"r1", 7, 1}, {"r0", 1, 1}},
       "r0",
       false,
       {{"w00000", 1}, {"w00001", 1}, {"w00003", 1}}},
      {"a rack other than that of the data holds all on one worker",
       {{"r0", 1, 1}, {"r0", 1, 1}, {"r1", 7, 1}, {"r0", 1, 1}},
       "r0",
       true,
       {{"w00000", 1}, {"w00001", 1}, {"w00003", 1}}},
      {"a rack of slow workers holds all on one of them",
       {{"r0", 1, 1}, {"r0", 1, 1}, {"r1", 7, 0.8}, {"r0", 1, 1}},
       "",
       true,
       {{"w00000", 1}, {"w00001", 1}, {"w00003", 1}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Cluster cluster;
    for (const Worker& worker : row.workers) {
      cluster.Add(worker.rack, worker.free, worker.speed);
    }
    StepSpec gang = Gang(3, 1, row.same_rack);
    gang.data_rack = row.data_rack;
    CHECK(cluster.Place(gang, /*compact=*/true) == row.members);
  }
}

// Guards against the rack with the tightest fit that holds a gang on eight
// workers, although another rack holds it on two.
TEST_CASE("of the racks that hold a gang, the one with the fewest workers") {
  struct Row {
    const char* name;
    std::map<std::string, std::vector<int64_t>> free;
    std::string rack;
    size_t workers;
    int64_t empty_workers = kUnlimited;
    int members = 8;
  };
  const std::vector<Row> rows = {
      {"two workers against eight",
       {{"r0", {1, 1, 1, 1, 1, 1, 1, 1}}, {"r1", {5, 1, 1, 5}}},
       "r1",
       2},
      {"the same number: the tighter fit",
       {{"r0", {6, 1, 5}}, {"r1", {1, 5, 3}}},
       "r1",
       2},
      {"an empty worker against two partly used ones",
       {{"r0", {6, 1, 1}}, {"r1", {8, 1, 1}}, {"r2", {5, 3, 1}}},
       "r1",
       1},
      {"empty workers are left to urgent steps",
       {{"r0", {8, 1, 1}}, {"r1", {5, 3, 1}}, {"r2", {1, 8, 1}}},
       "r1",
       2,
       /*empty_workers=*/0},
      {"the same number, one of them empty",
       {{"r0", {8, 1}}, {"r1", {6, 3}}, {"r2", {1, 8}}},
       "r1",
       2,
       kUnlimited,
       /*members=*/9},
      {"a rack that cannot hold it", {{"r0", {7}}, {"r1", {4, 3, 1}}}, "r1", 3},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Cluster cluster;
    std::map<std::string, std::string> racks;
    for (const auto& [rack, free_by_worker] : row.free) {
      for (const int64_t free : free_by_worker) {
        racks[WorkerName(racks.size())] = rack;
        cluster.Add(rack, free);
      }
    }
    const Counts placed = cluster.Place(Gang(row.members, 1, true),
                                        /*compact=*/true, row.empty_workers);
    CHECK(placed.size() == row.workers);
    for (const auto& [worker, count] : placed) {
      CHECK(racks.at(worker) == row.rack);
    }
  }
}

// Guards against a gang that does not start although the workers hold it, and
// against members that are placed where there is no capacity.
TEST_CASE("a compact gang starts wherever a spread one does, on no more") {
  CHECK(rc::check([] {
    Cluster cluster;
    std::vector<int64_t> free_by_worker;
    const int count = *rc::gen::inRange(1, 16);
    for (int i = 0; i < count; ++i) {
      const int64_t free = *rc::gen::element<int64_t>(0, 1, 2, 3, 5, 8, 8);
      free_by_worker.push_back(free);
      cluster.Add("r" + std::to_string(*rc::gen::inRange(0, 2)), free);
    }
    const StepSpec gang =
        Gang(*rc::gen::inRange(1, 16), *rc::gen::element(1, 2, 4, 8),
             *rc::gen::arbitrary<bool>());
    const int64_t empty_workers = *rc::gen::inRange<int64_t>(0, 4);
    const Counts spread = cluster.Place(gang, false, empty_workers);
    const Counts compact = cluster.Place(gang, true, empty_workers);
    RC_ASSERT(compact.empty() == spread.empty());
    RC_ASSERT(compact.size() <= spread.size());
    int members = 0;
    int64_t empty_used = 0;
    for (const auto& [worker, placed] : compact) {
      const int64_t free =
          free_by_worker[static_cast<size_t>(std::stoi(worker.substr(1)))];
      RC_ASSERT(placed * gang.need.accelerators <= free);
      empty_used += free == kAccelerators ? 1 : 0;
      members += placed;
    }
    RC_ASSERT(compact.empty() || members == gang.count);
    RC_ASSERT(empty_used <= empty_workers);
  }));
}

// A cluster of 1,000 workers that is filled with gangs and single tasks in a
// random order. Counts the gangs that the loss of workers breaks.
class FilledCluster {
 public:
  FilledCluster(FeatureMode compact_gangs, uint32_t seed)
      : random_(seed), planner_(SettingsWith(compact_gangs)) {
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = WorkerName(static_cast<size_t>(i));
      workers_.emplace(id, MakeTracker(MakeWorker(
                               id, "r" + std::to_string(i / kWorkersPerRack))));
    }
  }

  // Small tasks begin and a part of them ends in each turn, so that gaps are
  // scattered; gangs go into these.
  void Fill() {
    constexpr int kTurns = 12;
    // In each turn.
    constexpr int kSingleSteps = 60;
    constexpr int kGangs = 25;
    for (int turn = 0; turn < kTurns; ++turn) {
      std::vector<StepSpec> steps;
      steps.reserve(kSingleSteps + kGangs);
      for (int i = 0; i < kSingleSteps; ++i) {
        steps.push_back(MakeStep(Uniform(1, 20), 1));
      }
      for (int i = 0; i < kGangs; ++i) {
        constexpr std::array<int, 3> kSizes = {1, 2, 4};
        steps.push_back(Gang(Uniform(2, 16),
                             kSizes[static_cast<size_t>(Uniform(0, 2))],
                             Uniform(0, 1) == 0));
      }
      std::shuffle(steps.begin(), steps.end(), random_);
      for (const StepSpec& step : steps) {
        ledger_.Add(MakeJob(Id(++jobs_), {step}), now_);
      }
      Round();
      EndHalfOfTheSingleTasks();
      now_ += std::chrono::seconds(1);
    }
  }

  size_t gangs() const { return gangs_.size(); }
  int64_t free_accelerators() const {
    int64_t free = 0;
    for (const auto& [id, worker] : workers_) {
      free += worker.room().accelerators;
    }
    return free;
  }

  // The number of gangs with a member on one of `count` random workers.
  int CountBroken(int count) {
    std::vector<std::string> lost;
    for (const auto& [id, worker] : workers_) {
      lost.push_back(id);
    }
    std::shuffle(lost.begin(), lost.end(), random_);
    lost.resize(static_cast<size_t>(count));
    const std::set<std::string> is_lost(lost.begin(), lost.end());
    int broken = 0;
    for (const auto& [step, members] : gangs_) {
      const bool breaks = std::any_of(
          members.begin(), members.end(),
          [&](const auto& worker) { return is_lost.count(worker) > 0; });
      broken += breaks ? 1 : 0;
    }
    return broken;
  }

 private:
  static constexpr int kWorkers = 1000;
  static constexpr int kWorkersPerRack = 20;

  static PlannerSettings SettingsWith(FeatureMode compact_gangs) {
    PlannerSettings settings;
    settings.features.compact_gangs = compact_gangs;
    return settings;
  }

  int Uniform(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  void Round() {
    PlanInputs inputs;
    inputs.ledger = &ledger_;
    inputs.workers = &workers_;
    inputs.guarantees = &guarantees_;
    inputs.now = now_;
    inputs.wall_now = FromUnixMilliseconds(1000100);
    for (const StartDecision& start : planner_.Decide(inputs).starts) {
      const StepSpec spec = *ledger_.FindStepSpec(start.step);
      ledger_.RecordStart(start.step, start.assignments);
      RunProfile profile;
      profile.need = spec.need;
      for (const auto& assignment : start.assignments) {
        const TaskRef task{start.step, assignment.index};
        WorkerTracker& worker = workers_.at(assignment.worker);
        worker.Add(task, 1, profile, now_);
        worker.OnStartAnswer(task, 1, StartOutcome::kAccepted, now_);
        if (spec.gang) {
          gangs_[start.step].insert(assignment.worker);
        } else {
          single_.emplace_back(assignment.worker, task);
        }
      }
    }
  }

  void EndHalfOfTheSingleTasks() {
    std::shuffle(single_.begin(), single_.end(), random_);
    const size_t kept = single_.size() / 2;
    for (size_t i = kept; i < single_.size(); ++i) {
      End(single_[i].first, single_[i].second);
    }
    single_.resize(kept);
  }

  void End(const std::string& id, const TaskRef& task) {
    WorkerTracker& worker = workers_.at(id);
    worker.OnStopAnswer(task, 1, true, now_);
    WorkerStatusReport report;
    for (const auto& [other, run] : worker.runs()) {
      if (other == task) continue;
      report.running.push_back({other, run.run, "", 1});
    }
    std::vector<RunReport> unexpected;
    worker.OnReport(report, now_, now_, &unexpected);
    ledger_.RecordRunEnd(task, 1, RunEnd::kDone, "");
  }

  std::mt19937 random_;
  Planner planner_;
  JobLedger ledger_;
  Guarantees guarantees_;
  std::map<std::string, WorkerTracker> workers_;
  std::map<StepRef, std::set<std::string>> gangs_;
  std::vector<std::pair<std::string, TaskRef>> single_;
  Time now_ = At(0);
  int jobs_ = 0;
};

// Guards against gangs on so many workers that a power failure at a twentieth
// of them breaks most gangs.
TEST_CASE("the loss of 5% of the workers breaks fewer compact gangs") {
  constexpr int kLost = 50;
  int spread_broken = 0;
  int compact_broken = 0;
  for (const uint32_t seed : {11U, 12U, 13U}) {
    FilledCluster spread(FeatureMode::kOff, seed);
    FilledCluster compact(FeatureMode::kAuto, seed);
    spread.Fill();
    compact.Fill();
    REQUIRE(spread.free_accelerators() < 1000 * kAccelerators / 4);
    CHECK(compact.gangs() >= spread.gangs() * 95 / 100);
    const int spread_now = spread.CountBroken(kLost);
    const int compact_now = compact.CountBroken(kLost);
    MESSAGE("seed " << seed << ": " << spread_now << " of " << spread.gangs()
                    << " gangs broken without, " << compact_now << " of "
                    << compact.gangs() << " with compact gangs");
    spread_broken += spread_now;
    compact_broken += compact_now;
  }
  CHECK(compact_broken * 10 <= spread_broken * 8);
}

}  // namespace
}  // namespace thornplank::testing
