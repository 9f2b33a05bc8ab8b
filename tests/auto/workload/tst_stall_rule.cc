// When a run counts as stalled, and that slow runs do not.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "workload/gang_review.h"
#include "workload/run_review.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr int64_t kNever = -1;
constexpr int64_t kTick = 100;

TaskRef Task(int index) { return {{"0123456789abcdef", 0, 0}, index}; }

// A run, and how its worker reports on it. Times in milliseconds.
struct Scenario {
  // Duration near its data on a healthy worker, and the caller's estimate.
  int64_t length = 7000;
  int64_t estimate = 7000;
  double speed = 1;
  // Until then its speed is 1.
  int64_t slows_at = 0;
  // How many times the work of its siblings it has.
  double share_of_work = 1;
  // From then on it makes no progress.
  int64_t hangs_at = kNever;
  int64_t report_interval = 500;
  // By which every other report arrives late.
  int64_t report_delay = 0;
  // Whether its siblings on other workers show the normal duration.
  bool has_siblings = true;
  bool far = false;
  // Starts from a checkpoint at this percentage; 0: from the start.
  int resumed_at = 0;
  // A previous leader started it.
  bool inherited = false;
};

WorkerTracker StartedWorker(const std::string& id, const TaskRef& task,
                            const RunProfile& profile, bool resumed) {
  WorkerTracker worker = MakeTracker(MakeWorker(id, "r0"));
  worker.health().set_compared(true);
  worker.Add(task, 1, profile, At(0));
  worker.Find(task)->resumed = resumed;
  worker.OnStartAnswer(task, 1, StartOutcome::kAccepted, At(0));
  return worker;
}

void HandleReport(WorkerTracker* worker, const TaskRef& task, int percent,
                  int64_t made, int64_t arrives) {
  WorkerStatusReport report;
  report.clock = Milliseconds(1000 + made);
  report.running.push_back({task, 1, "", percent});
  std::vector<RunReport> unexpected;
  worker->OnReport(report, At(made), At(arrives), &unexpected);
}

// Four siblings on other workers, half done.
void ObserveSiblings(RunReview* review, const Scenario& scenario) {
  const double slowdown = scenario.far ? 3 : 1;
  for (int i = 1; i <= 4; ++i) {
    RunProfile profile;
    profile.data_rack = scenario.far ? "r9" : "";
    const std::string id = "s" + std::to_string(i);
    WorkerTracker sibling = StartedWorker(id, Task(i), profile, false);
    const auto half = static_cast<int64_t>(
        static_cast<double>(scenario.length) * slowdown / 2);
    HandleReport(&sibling, Task(i), 50, half, half);
    // Not every report is evaluated.
    review->Observe(&sibling, At(i * 300));
  }
}

int PercentAt(const Scenario& scenario, int64_t time) {
  constexpr double kRestore = 600;
  if (scenario.hangs_at != kNever) time = std::min(time, scenario.hangs_at);
  // By a healthy worker in the same time.
  double work =
      static_cast<double>(std::min(time, scenario.slows_at)) +
      static_cast<double>(std::max<int64_t>(time - scenario.slows_at, 0)) *
          scenario.speed;
  if (scenario.resumed_at > 0) {
    work = std::max(work - kRestore, 0.0);
  }
  const double slowdown = scenario.far ? 3 : 1;
  const double length =
      static_cast<double>(scenario.length) * scenario.share_of_work * slowdown;
  const double done = scenario.resumed_at + work * 100 / length;
  return static_cast<int>(std::min(done, 100.0));
}

// When the run is taken for stalled; kNever if it is not, until it ends.
int64_t StalledAt(const Scenario& scenario) {
  RunReview review{RunReviewSettings()};
  if (scenario.has_siblings) ObserveSiblings(&review, scenario);
  RunProfile profile;
  profile.estimate = Milliseconds(scenario.estimate);
  profile.data_rack = scenario.far ? "r9" : "";
  WorkerTracker worker =
      StartedWorker("w", Task(0), profile, scenario.resumed_at > 0);
  if (scenario.inherited) {
    worker = MakeTracker(MakeWorker("w", "r0"));
    worker.health().set_compared(true);
    worker.Inherit(Task(0), 1, profile, At(0), At(9000));
  }
  struct Arrival {
    int64_t made = 0;
    int percent = 0;
  };
  std::multimap<int64_t, Arrival> on_the_way;
  int64_t reports = 0;
  constexpr int64_t kEnd = 60000;
  for (int64_t now = kTick; now < kEnd; now += kTick) {
    if (now % scenario.report_interval < kTick) {
      const int64_t late = ++reports % 2 == 0 ? scenario.report_delay : 0;
      on_the_way.insert({now + late, {now, PercentAt(scenario, now)}});
    }
    while (!on_the_way.empty() && on_the_way.begin()->first <= now) {
      const Arrival& arrival = on_the_way.begin()->second;
      HandleReport(&worker, Task(0), arrival.percent, arrival.made, now);
      review.Observe(&worker, At(now));
      on_the_way.erase(on_the_way.begin());
    }
    if (PercentAt(scenario, now) >= 100) return kNever;
    for (const RunVerdict& verdict : review.FindRunsToStop(&worker, At(now))) {
      if (verdict.stalled) return now;
    }
  }
  return kNever;
}

Scenario With(const std::function<void(Scenario*)>& change) {
  Scenario scenario;
  change(&scenario);
  return scenario;
}

// Guards against tasks that hold their room for 5 s on a worker that hangs: 49
// of 350 hung at the same time.
TEST_CASE("a run that hangs is found by its normal duration") {
  struct Row {
    const char* name;
    Scenario scenario;
    // Time from the hang until it must be found, a report included. For a run
    // whose first percentage is not known it counts from the first report.
    int64_t within;
  };
  const std::vector<Row> rows = {
      {"batch task", With([](Scenario* s) { s->hangs_at = 2000; }), 2700},
      {"hangs from the start", With([](Scenario* s) { s->hangs_at = 0; }),
       2700},
      {"short task", With([](Scenario* s) {
         s->length = 2300;
         s->hangs_at = 500;
       }),
       1900},
      {"only an estimate", With([](Scenario* s) {
         s->has_siblings = false;
         s->hangs_at = 0;
       }),
       3700},
      {"only an estimate, too low by a factor of 10", With([](Scenario* s) {
         s->has_siblings = false;
         s->estimate = 700;
         s->hangs_at = 0;
       }),
       1800},
      {"only an estimate, too high by a factor of 10", With([](Scenario* s) {
         s->has_siblings = false;
         s->estimate = 70000;
         s->hangs_at = 0;
       }),
       5200},
      {"its own rate is better than such an estimate", With([](Scenario* s) {
         s->has_siblings = false;
         s->estimate = 70000;
         s->hangs_at = 2000;
       }),
       2700},
      {"no estimate at all", With([](Scenario* s) {
         s->has_siblings = false;
         s->estimate = 0;
         s->hangs_at = 0;
       }),
       5200},
      {"reports every 1.9 s", With([](Scenario* s) {
         s->report_interval = 1900;
         s->hangs_at = 2000;
       }),
       5800},
      {"resumed", With([](Scenario* s) {
         s->resumed_at = 40;
         s->hangs_at = 0;
       }),
       5700},
      {"inherited", With([](Scenario* s) {
         s->inherited = true;
         s->hangs_at = 0;
       }),
       5700},
      {"far from its data", With([](Scenario* s) {
         s->far = true;
         s->hangs_at = 3000;
       }),
       5700},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const int64_t found = StalledAt(row.scenario);
    CHECK(found > row.scenario.hangs_at);
    CHECK(found <= row.scenario.hangs_at + row.within);
  }
}

// Guards against healthy work that is lost: half of a rack comes back cold and
// is slow at first, reports come late, a checkpoint is restored.
TEST_CASE("a run that is only slow is not stalled") {
  struct Row {
    const char* name;
    Scenario scenario;
  };
  const std::vector<Row> rows = {
      {"healthy", With([](Scenario*) {})},
      {"a cold worker, at a quarter of the speed",
       With([](Scenario* s) { s->speed = 0.25; })},
      {"slowed tenfold", With([](Scenario* s) { s->speed = 0.1; })},
      {"a short task slowed tenfold", With([](Scenario* s) {
         s->speed = 0.1;
         s->length = 2100;
       })},
      {"slowed tenfold, reports every 1.9 s", With([](Scenario* s) {
         s->speed = 0.1;
         s->report_interval = 1900;
       })},
      {"slowed tenfold, only an estimate", With([](Scenario* s) {
         s->speed = 0.1;
         s->has_siblings = false;
       })},
      {"at a quarter, an estimate too low by a factor of 10",
       With([](Scenario* s) {
         s->speed = 0.25;
         s->has_siblings = false;
         s->estimate = 700;
       })},
      {"slowed tenfold, an estimate too low by a factor of 10",
       With([](Scenario* s) {
         s->speed = 0.1;
         s->has_siblings = false;
         s->estimate = 700;
       })},
      {"an estimate too high by a factor of 10", With([](Scenario* s) {
         s->speed = 0.25;
         s->has_siblings = false;
         s->estimate = 70000;
       })},
      {"every other report arrives a second late", With([](Scenario* s) {
         s->speed = 0.1;
         s->report_interval = 300;
         s->report_delay = 1000;
       })},
      {"resumed", With([](Scenario* s) { s->resumed_at = 40; })},
      {"resumed at a quarter of the speed", With([](Scenario* s) {
         s->resumed_at = 40;
         s->speed = 0.25;
       })},
      {"a short task resumed at a quarter of the speed", With([](Scenario* s) {
         s->resumed_at = 40;
         s->speed = 0.25;
         s->length = 2300;
       })},
      {"slowed after it began, with ten times the work of its siblings",
       With([](Scenario* s) {
         s->share_of_work = 10;
         s->slows_at = 5000;
         s->speed = 0.25;
       })},
      {"inherited at a quarter of the speed", With([](Scenario* s) {
         s->inherited = true;
         s->speed = 0.25;
       })},
      {"far from its data", With([](Scenario* s) { s->far = true; })},
      {"far from its data at a quarter of the speed", With([](Scenario* s) {
         s->far = true;
         s->speed = 0.25;
       })},
      {"far from its data, slowed tenfold", With([](Scenario* s) {
         s->far = true;
         s->speed = 0.09;
         s->report_interval = 100;
       })},
      {"far from its data, only an estimate", With([](Scenario* s) {
         s->far = true;
         s->speed = 0.25;
         s->has_siblings = false;
       })},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(StalledAt(row.scenario) == kNever);
  }
}

// A gang whose members report every half second.
class Gang {
 public:
  // Member i begins at `begins[i]`.
  Gang(const std::vector<int64_t>& begins, bool compared, int resumed_at)
      : done_(begins.size(), resumed_at) {
    RunProfile profile;
    profile.gang = true;
    profile.checkpointable = resumed_at > 0;
    for (size_t i = 0; i < begins.size(); ++i) {
      const int index = static_cast<int>(i);
      WorkerTracker worker = MakeTracker(MakeWorker(Id(index), "r0"));
      worker.health().set_compared(compared);
      worker.Add(Task(index), 1, profile, At(0));
      worker.Find(Task(index))->resumed = resumed_at > 0;
      worker.OnStartAnswer(Task(index), 1, StartOutcome::kAccepted,
                           At(begins[i]));
      workers.emplace(Id(index), std::move(worker));
    }
  }

  static std::string Id(int index) { return "w" + std::to_string(index); }

  // Advances each member by its rate in percent per second from `from` on.
  // Returns when the gang is stopped; kNever if it is not.
  int64_t StoppedAt(const std::vector<double>& rates, int64_t from,
                    int64_t until) {
    for (int64_t now = kTick; now <= until; now += kTick) {
      for (size_t i = 0; i < rates.size(); ++i) {
        if (now > from) done_[i] += rates[i] * kTick / 1000;
        if (now % 500 != 0) continue;
        const int index = static_cast<int>(i);
        WorkerTracker& worker = workers.at(Id(index));
        HandleReport(&worker, Task(index), static_cast<int>(done_[i]), now,
                     now);
        review.Observe(&worker, At(now));
      }
      std::vector<const WorkerTracker*> pointers;
      for (const auto& [id, worker] : workers) pointers.push_back(&worker);
      verdicts = GangReview(GangReviewSettings())
                     .FindRunsToStop(pointers, review.speeds(), At(now));
      if (!verdicts.empty()) return now;
    }
    return kNever;
  }

  std::map<std::string, WorkerTracker> workers;
  RunReview review{RunReviewSettings()};
  std::vector<GangVerdict> verdicts;

 private:
  std::vector<double> done_;
};

// Guards against gangs that wait for a member that hangs, and against blaming
// workers for a gang that has not started to work.
TEST_CASE("a gang with a member that hangs is stopped") {
  struct Row {
    const char* name;
    bool compared;
    std::vector<int64_t> begins;
    int resumed_at;
    // When the members begin to make progress, in percent per second.
    int64_t from;
    std::vector<double> rates;
    // When the gang must have been stopped; kNever: not at all.
    int64_t stopped_by;
    std::vector<std::string> blamed;
  };
  const std::vector<Row> rows = {
      {"one of three", true, {0, 0, 0}, 0, 0, {40, 40, 0}, 1600, {"w2"}},
      {"one of two, so that only one has a rate",
       true,
       {0, 0},
       0,
       0,
       {40, 0},
       1600,
       {"w1"}},
      {"one of two, switched off", false, {0, 0}, 0, 0, {40, 0}, kNever, {}},
      {"two of five",
       true,
       {0, 0, 0, 0, 0},
       0,
       0,
       {10, 0, 10, 0, 10},
       4000,
       {"w1", "w3"}},
      {"two of five, switched off",
       false,
       {0, 0, 0, 0, 0},
       0,
       0,
       {10, 0, 10, 0, 10},
       4000,
       {"w1"}},
      {"two of three", true, {0, 0, 0}, 0, 0, {10, 0, 0}, 4000, {}},
      {"none has begun to work",
       true,
       {0, 0, 0},
       0,
       9000,
       {10, 10, 10},
       kNever,
       {}},
      {"all wait for the last one",
       true,
       {0, 0, 2800},
       0,
       2800,
       {40, 40, 40},
       kNever,
       {}},
      {"one restores its checkpoint slowly",
       true,
       {0, 0, 0},
       40,
       0,
       {10, 10, 2.5},
       kNever,
       {}},
      {"one is slowed tenfold", true, {0, 0, 0}, 0, 0, {10, 10, 1}, kNever, {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Gang gang(row.begins, row.compared, row.resumed_at);
    const int64_t stopped = gang.StoppedAt(row.rates, row.from, 4000);
    CHECK((stopped == kNever) == (row.stopped_by == kNever));
    CHECK(stopped <= row.stopped_by);
    std::vector<std::string> blamed;
    for (const GangVerdict& verdict : gang.verdicts) {
      CHECK(verdict.reason == "makes no progress");
      if (verdict.stalled) blamed.push_back(verdict.worker);
    }
    CHECK(blamed == row.blamed);
  }
}

}  // namespace
}  // namespace thornplank::testing
