// Verdicts on a fleet under load: which workers are condemned, and which not.
#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/health_monitor.h"

namespace thornplank::testing {
namespace {

// What becomes of a run.
enum class Fate { kDone, kFailed, kStalled };

constexpr int kWorkers = 350;
constexpr int64_t kTick = 100;
constexpr int64_t kRunTime = 2000;
constexpr int64_t kFailTime = 300;
constexpr int64_t kStallTime = 1200;
constexpr int kRunsPerWorker = 4;

std::string WorkerId(int number) { return "w" + std::to_string(number); }

// A fleet that always has work: each healthy worker runs several tasks of
// changing jobs, one on probation a single one, an excluded one none.
class LoadedFleet {
 public:
  explicit LoadedFleet(FeatureMode mode, int workers = kWorkers)
      : monitor(mode, trackers) {
    for (int i = 0; i < workers; ++i) {
      WorkerTracker tracker = MakeTracker(MakeWorker(WorkerId(i), "r0"));
      monitor.OnWorkerSeen(&tracker);
      trackers.emplace(WorkerId(i), std::move(tracker));
    }
    monitor.Tick(At(0));
  }

  // `fate` gets the number of the worker and of the run.
  void Run(int64_t until, const std::function<Fate(int, int)>& fate) {
    for (; now < until; now += kTick) {
      EndRuns();
      monitor.Tick(At(now));
      int number = 0;
      for (auto& [id, tracker] : trackers) {
        StartRuns(&tracker, std::stoi(id.substr(1)), fate);
        ++number;
      }
    }
  }

  int Count(HealthVerdict verdict) const {
    int count = 0;
    for (const auto& [id, tracker] : trackers) {
      if (tracker.health().verdict(At(now)) == verdict) ++count;
    }
    return count;
  }
  int CountExcluded() const {
    int count = 0;
    for (const auto& [id, tracker] : trackers) {
      count += tracker.health().IsExcluded(At(now)) ? 1 : 0;
    }
    return count;
  }
  HealthVerdict VerdictOn(int worker) const {
    return trackers.at(WorkerId(worker)).health().verdict(At(now));
  }

  std::map<std::string, WorkerTracker> trackers;
  HealthMonitor monitor;
  int64_t now = 0;
  // Runs that failed or stalled, by worker.
  std::map<int, int> lost;
  // Time of healthy capacity that verdicts cost, in worker-milliseconds.
  std::map<int, int64_t> withheld_ms;
  // Tasks that share one job.
  int tasks_per_job = 3;

 private:
  struct Active {
    std::string worker;
    TaskRef task;
    Fate fate = Fate::kDone;
    int64_t end = 0;
  };

  void StartRuns(WorkerTracker* tracker, int number,
                 const std::function<Fate(int, int)>& fate) {
    const HealthVerdict verdict = tracker->health().verdict(At(now));
    if (verdict != HealthVerdict::kHealthy) withheld_ms[number] += kTick;
    if (tracker->health().IsExcluded(At(now))) return;
    size_t room = kRunsPerWorker;
    if (tracker->health().compared() && verdict == HealthVerdict::kProbation) {
      room = 1;
      const Time since = tracker->health().probation_since();
      for (const auto& [task, run] : tracker->runs()) {
        if (run.placed >= since) room = 0;
      }
      room += room > 0 ? tracker->runs().size() : 0;
    }
    while (tracker->runs().size() < room) {
      const TaskRef task{{"j" + std::to_string(next_ / tasks_per_job), 0, 0},
                         next_ % tasks_per_job};
      tracker->Add(task, 1, RunProfile(), At(now));
      monitor.OnRunPlaced(tracker->id(), task, At(now));
      const Fate result = fate(number, next_++);
      int64_t length = kRunTime;
      if (result == Fate::kFailed) length = kFailTime;
      if (result == Fate::kStalled) length = kStallTime;
      active_.push_back({tracker->id(), task, result, now + length});
      if (verdict == HealthVerdict::kProbation) return;
    }
  }

  void EndRuns() {
    std::vector<Active> left;
    for (const Active& run : active_) {
      if (run.end > now) {
        left.push_back(run);
        continue;
      }
      WorkerTracker& tracker = trackers.at(run.worker);
      if (run.fate != Fate::kDone) ++lost[std::stoi(run.worker.substr(1))];
      if (run.fate == Fate::kStalled) {
        monitor.OnRunStalled(run.worker, run.task, At(now));
      }
      RunEndReport end;
      end.task = run.task;
      end.placed = tracker.Find(run.task)->placed;
      end.began = end.placed;
      end.end = run.fate == Fate::kDone     ? RunEnd::kDone
                : run.fate == Fate::kFailed ? RunEnd::kFailed
                                            : RunEnd::kStopped;
      WorkerStatusReport report;
      for (const auto& [task, tracked] : tracker.runs()) {
        if (task == run.task) continue;
        report.running.push_back({task, 1, "", 1});
      }
      tracker.OnStartAnswer(run.task, 1, StartOutcome::kRefused, At(now));
      std::vector<RunReport> unexpected;
      tracker.OnReport(report, At(now), At(now), &unexpected);
      REQUIRE(tracker.Find(run.task) == nullptr);
      monitor.OnRunEnded(run.worker, end, At(now));
    }
    active_ = std::move(left);
  }

  int next_ = 0;
  std::vector<Active> active_;
};

// Whether about one in `one_in` runs fails, spread evenly.
bool FailsByChance(int run, int one_in) {
  return run * 7919 % (one_in * 101) < 101;
}

// Guards against workers that hang together: each lost one run after the other.
// Those that make progress must not be condemned with them.
TEST_CASE("13% of the workers hang at once") {
  LoadedFleet fleet(FeatureMode::kAuto);
  fleet.Run(5000, [](int, int) { return Fate::kDone; });
  CHECK(fleet.Count(HealthVerdict::kHealthy) == kWorkers);
  fleet.Run(15000, [](int worker, int) {
    return worker < 46 ? Fate::kStalled : Fate::kDone;
  });
  for (int i = 0; i < kWorkers; ++i) {
    CAPTURE(i);
    CHECK((fleet.VerdictOn(i) == HealthVerdict::kHealthy) == (i >= 46));
    // Its runs at that time, the test, and one after the first exclusion.
    if (i < 46) CHECK(fleet.lost[i] <= kRunsPerWorker + 2);
  }
  // They recover: the first test shows it.
  fleet.Run(60000, [](int, int) { return Fate::kDone; });
  CHECK(fleet.Count(HealthVerdict::kHealthy) == kWorkers);
}

// Guards against both: faulty workers that take a task every 6 s, and healthy
// workers that are not used for failures by chance.
TEST_CASE("9% fail all that they start while others fail 2% by chance") {
  const auto fate = [](int worker, int run) {
    const bool fails = worker < 33 || FailsByChance(run, 50);
    return fails ? Fate::kFailed : Fate::kDone;
  };
  constexpr int64_t kEnd = 60000;
  struct Row {
    const char* name;
    FeatureMode mode;
    // Of faulty workers, the most lost runs on average.
    int max_lost;
    int min_lost;
  };
  const std::vector<Row> rows = {
      {"compared", FeatureMode::kAuto, 10, 0},
      {"not compared", FeatureMode::kOff, 100, 25},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LoadedFleet fleet(row.mode);
    fleet.Run(kEnd, fate);
    int lost = 0;
    for (int i = 0; i < 33; ++i) lost += fleet.lost[i];
    CHECK(lost / 33 <= row.max_lost);
    CHECK(lost / 33 >= row.min_lost);
    if (row.mode == FeatureMode::kOff) continue;
    for (int i = 0; i < 33; ++i) {
      CHECK(fleet.VerdictOn(i) != HealthVerdict::kHealthy);
    }
    int64_t withheld = 0;
    for (int i = 33; i < kWorkers; ++i) withheld += fleet.withheld_ms[i];
    // At 2% of four runs each two seconds, a failure every 25 s; a success
    // takes two seconds at most.
    CHECK(withheld <= kEnd * (kWorkers - 33) / 10);
  }
}

// Guards against guaranteed urgent work that finds no worker, since all of them
// are excluded at once: it may use any worker that is not.
TEST_CASE("at most a third of the workers is excluded") {
  LoadedFleet fleet(FeatureMode::kAuto);
  fleet.Run(10000, [](int, int) { return Fate::kStalled; });
  CHECK(fleet.Count(HealthVerdict::kExcluded) <= kWorkers / 3);
  CHECK(fleet.Count(HealthVerdict::kProbation) >= kWorkers / 2);
}

// Guards against a small fleet that gets no work for seconds, since jobs that
// fail everywhere have put all of its workers into quarantine.
TEST_CASE("at most a third of a small fleet is in quarantine") {
  struct Row {
    const char* name;
    int workers;
    // The first of them fail or stall every run.
    int faulty;
    Fate fate;
    int max_excluded;
    bool any_excluded;
  };
  const std::vector<Row> rows = {
      {"the only one fails", 1, 1, Fate::kFailed, 0, false},
      {"both fail", 2, 2, Fate::kFailed, 0, false},
      {"one of three fails", 3, 1, Fate::kFailed, 1, true},
      {"all of three fail", 3, 3, Fate::kFailed, 1, true},
      {"one of eight fails", 8, 1, Fate::kFailed, 1, true},
      {"all of eight fail", 8, 8, Fate::kFailed, 2, true},
      {"all of eight stall", 8, 8, Fate::kStalled, 2, true},
      {"all of nineteen fail", 19, 19, Fate::kFailed, 6, true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LoadedFleet fleet(FeatureMode::kAuto, row.workers);
    fleet.tasks_per_job = 1;
    bool any_excluded = false;
    for (int64_t until = kTick; until <= 20000; until += kTick) {
      fleet.Run(until, [&row](int worker, int) {
        return worker < row.faulty ? row.fate : Fate::kDone;
      });
      CAPTURE(until);
      CHECK(fleet.CountExcluded() <= row.max_excluded);
      any_excluded = any_excluded || fleet.CountExcluded() > 0;
    }
    CHECK(any_excluded == row.any_excluded);
  }
}

// Guards against workers that are lost and still count as such that others may
// be excluded beside.
TEST_CASE("lost workers make no room for quarantine") {
  LoadedFleet fleet(FeatureMode::kAuto, 9);
  for (int i = 2; i < 9; ++i) {
    fleet.trackers.at(WorkerId(i)).OnReportFailed(At(0));
  }
  for (const char* job : {"a", "b"}) {
    RunEndReport end;
    end.task = {{job, 0, 0}, 0};
    end.placed = At(0);
    end.end = RunEnd::kFailed;
    fleet.monitor.OnRunEnded(WorkerId(0), end, At(0));
  }
  CHECK(fleet.CountExcluded() == 0);
}

// Guards against a job that fails everywhere and takes the workers with it,
// while they run other jobs.
TEST_CASE("a job that fails everywhere condemns no worker") {
  LoadedFleet fleet(FeatureMode::kAuto);
  fleet.tasks_per_job = 20;
  // One job in ten fails everywhere.
  fleet.Run(30000, [](int, int run) {
    return run / 20 % 10 == 0 ? Fate::kFailed : Fate::kDone;
  });
  int64_t withheld = 0;
  for (const auto& [worker, ms] : fleet.withheld_ms) withheld += ms;
  CHECK(withheld <= fleet.now * kWorkers / 50);
  CHECK(fleet.Count(HealthVerdict::kExcluded) == 0);
}

// Guards against a worker that goes down and comes back every few seconds and
// keeps the verdict of an incarnation that is over, or whose silence is
// forgotten with it.
TEST_CASE("a flapping worker is judged by its incarnation") {
  LoadedFleet fleet(FeatureMode::kOn, 3);
  WorkerTracker& worker = fleet.trackers.at(WorkerId(0));
  for (int i = 0; i < 5; ++i) {
    const int64_t now = i * 3000;
    for (const char* job : {"a", "b"}) {
      RunEndReport end;
      end.task = {{job, 0, 0}, 0};
      end.placed = At(now);
      end.end = RunEnd::kFailed;
      fleet.monitor.OnRunEnded(worker.id(), end, At(now));
    }
    CHECK(worker.health().verdict(At(now)) == HealthVerdict::kExcluded);
    worker.OnReportFailed(At(now + 100));
    WorkerStatusReport report;
    report.incarnation_start.time = FromUnixMilliseconds(1000 + now);
    std::vector<RunReport> unexpected;
    worker.OnReport(report, At(now + 200), At(now + 200), &unexpected);
    fleet.monitor.OnRestart(worker.id(), At(now + 200));
    if (i == 0) continue;
    CHECK(worker.health().verdict(At(now + 200)) == HealthVerdict::kHealthy);
    CHECK(worker.health().WasSilentRecently(At(now + 200)));
  }
}

// Guards against rules that compare with a fleet where there is none, and that
// change to and fro when a few workers restart.
TEST_CASE("workers are compared where there are enough of their service") {
  struct Row {
    const char* name;
    FeatureMode mode;
    // Number of workers, one after the other.
    std::vector<int> workers;
    bool compared;
  };
  const std::vector<Row> rows = {
      {"few", FeatureMode::kAuto, {19}, false},
      {"enough", FeatureMode::kAuto, {20}, true},
      {"a few are gone", FeatureMode::kAuto, {20, 15}, true},
      {"many are gone", FeatureMode::kAuto, {20, 14}, false},
      {"few are back", FeatureMode::kAuto, {20, 14, 19}, false},
      {"few, switched on", FeatureMode::kOn, {3}, true},
      {"many, switched off", FeatureMode::kOff, {350}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::map<std::string, WorkerTracker> trackers;
    HealthMonitor monitor(row.mode, trackers);
    int64_t now = 0;
    for (const int workers : row.workers) {
      now += 1000;
      for (int i = 0; i < kWorkers; ++i) {
        const std::string id = WorkerId(i);
        if (i >= workers) trackers.erase(id);
        if (i >= workers || trackers.count(id) > 0) continue;
        WorkerTracker tracker = MakeTracker(MakeWorker(id, "r0"));
        monitor.OnWorkerSeen(&tracker);
        trackers.emplace(id, std::move(tracker));
      }
      monitor.Tick(At(now));
    }
    for (const auto& [id, tracker] : trackers) {
      CHECK(tracker.health().compared() == row.compared);
    }
  }
}

}  // namespace
}  // namespace thornplank::testing
