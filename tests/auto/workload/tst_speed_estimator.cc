// Speeds of workers, estimated from the progress of sibling tasks.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "workload/speed_estimator.h"
#include "workload/worker_tracker.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const StepRef kStep{"0123456789abcdef", 0, 0};

// A sample of a run that has done half of its work.
ProgressSample Sample(int index, bool gang, double rate, double slowdown = 1) {
  return {{kStep, index}, gang, rate, /*percent_observed=*/50, slowdown};
}

TEST_CASE(
    "the speed of a worker is that of its task relative to the siblings") {
  struct Row {
    const char* name;
    bool gang;
    // Worker, percent per second, slowdown away from its data.
    std::vector<std::tuple<std::string, double, double>> rates;
    // Speed of the worker that was observed last.
    double speed;
  };
  const std::vector<Row> rows = {
      {"alone", true, {{"a", 2, 1}}, 1},
      {"as fast as its sibling", true, {{"a", 10, 1}, {"b", 10, 1}}, 1},
      {"a fifth of its sibling", true, {{"a", 10, 1}, {"b", 2, 1}}, 0.2},
      {"far from its data", true, {{"a", 10, 1}, {"b", 3.3, 3}}, 0.99},
      {"one of three is slow, one is older hardware",
       true,
       {{"a", 10, 1}, {"b", 9, 1}, {"c", 2, 1}},
       0.2},
      {"no gang, its sibling may have less work",
       false,
       {{"a", 10, 1}, {"b", 2, 1}},
       1},
      {"no gang, but its siblings are alike",
       false,
       {{"a", 10, 1}, {"b", 9, 1}, {"c", 11, 1}, {"d", 10, 1}, {"e", 2, 1}},
       0.2},
      {"no gang, all differ",
       false,
       {{"a", 10, 1}, {"b", 5, 1}, {"c", 7, 1}, {"d", 4, 1}, {"e", 2, 1}},
       1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SpeedEstimator estimator;
    int index = 0;
    for (const auto& [worker, rate, slowdown] : row.rates) {
      estimator.Observe(worker, Sample(index++, row.gang, rate, slowdown),
                        At(0));
      // With many siblings not every report is evaluated.
      estimator.Observe(worker, Sample(index - 1, row.gang, rate, slowdown),
                        At(index * 300));
    }
    CHECK(estimator.speed(std::get<0>(row.rates.back()), At(index * 300)) ==
          doctest::Approx(row.speed).epsilon(0.01));
  }
}

// Some hardware always takes 1.3 times as long, and one worker is slowed
// temporarily.
TEST_CASE("slow hardware is told from temporary slowness") {
  SpeedEstimator estimator;
  for (int second = 0; second < 4; ++second) {
    int index = 0;
    for (const auto& [worker, rate] :
         std::vector<std::pair<std::string, double>>{
             {"a", 26}, {"b", 26}, {"c", 26}, {"old", 20}, {"slowed", 5}}) {
      estimator.Observe(worker, Sample(index++, true, rate), At(second * 1000));
    }
  }
  CHECK(estimator.steady_speed("a") == doctest::Approx(1).epsilon(0.01));
  CHECK(estimator.steady_speed("old") == doctest::Approx(0.77).epsilon(0.01));
  CHECK(estimator.steady_speed("slowed") == 1);
  CHECK(estimator.speed("slowed", At(3000)) < 0.25);
  CHECK(estimator.speed("slowed", At(10000)) == 1);
  CHECK(estimator.speed("old", At(10000)) ==
        doctest::Approx(0.77).epsilon(0.01));

  SUBCASE("equal rates among slow workers do not change their steady speed") {
    estimator.Observe("older", Sample(5, true, 20), At(4000));
    estimator.Observe("old", Sample(3, true, 20), At(4000));
    const StepRef other{"fedcba9876543210", 0, 0};
    for (int i = 0; i < 10; ++i) {
      estimator.Observe("old", {{other, 0}, true, 10, 50, 1}, At(5000));
      estimator.Observe("older", {{other, 1}, true, 10, 50, 1}, At(5000));
    }
    CHECK(estimator.steady_speed("old") == doctest::Approx(0.77).epsilon(0.02));
    CHECK(estimator.steady_speed("older") ==
          doctest::Approx(0.77).epsilon(0.02));
  }
  SUBCASE("the first few percent of a run do not change the steady speed") {
    const StepRef other{"fedcba9876543210", 0, 0};
    estimator.Observe("a", {{other, 0}, true, 10, 4, 1}, At(5000));
    estimator.Observe("new", {{other, 1}, true, 8, 4, 1}, At(5000));
    CHECK(estimator.steady_speed("new") == 1);
  }
}

// Guards against urgent gangs on hardware that takes more than twice as long,
// where they miss their objective: gangs alone meet such a worker too rarely to
// tell, while each worker runs several single tasks within seconds.
TEST_CASE("single tasks show hardware that is far slower") {
  struct Row {
    const char* name;
    double rate;
    int percent;
    bool advancing;
    double steady_speed;
  };
  const std::vector<Row> rows = {
      {"takes 2.2 times as long", 4.6, 50, true, 0.46},
      {"has more work than its siblings", 8, 50, true, 1},
      {"is slowed fourfold for a while", 2.5, 50, true, 1},
      {"has just begun", 4.6, 10, true, 1},
      {"was slowed late in its work", 4.6, 80, true, 1},
      {"stands still", 4.6, 50, false, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    SpeedEstimator estimator;
    for (int index = 0; index < 5; ++index) {
      estimator.Observe("usual-" + std::to_string(index),
                        Sample(index, false, 10), At(0));
    }
    estimator.Observe(
        "other", {{kStep, 5}, false, row.rate, row.percent, 1, row.advancing},
        At(300));
    CHECK(estimator.steady_speed("other") ==
          doctest::Approx(row.steady_speed).epsilon(0.01));
  }
}

// A worker that was slowed halfway through its runs looks like slow hardware
// for a report or two.
TEST_CASE("a worker that is as fast as the others is no longer slow hardware") {
  SpeedEstimator estimator;
  for (int index = 0; index < 5; ++index) {
    estimator.Observe("usual-" + std::to_string(index),
                      Sample(index, false, 10), At(0));
  }
  estimator.Observe("w", Sample(5, false, 5), At(300));
  CHECK(estimator.steady_speed("w") < kSlowHardware);
  const StepRef other{"fedcba9876543210", 0, 0};
  for (int index = 0; index < 5; ++index) {
    estimator.Observe(index == 4 ? "w" : "usual-" + std::to_string(index),
                      {{other, index}, false, 10, 50, 1},
                      At(1000 + index * 300));
  }
  CHECK(estimator.steady_speed("w") > kSlowHardware);
}

TEST_CASE("a worker without new evidence counts as healthy again") {
  SpeedEstimator estimator;
  estimator.Observe("a", Sample(0, true, 10), At(0));
  estimator.Observe("b", Sample(1, true, 1), At(0));
  CHECK(estimator.speed("b", At(5000)) < 0.2);
  CHECK(estimator.speed("b", At(7000)) == 1);
  CHECK(estimator.NormalDuration(kStep) == std::chrono::seconds(10));
  estimator.DropStale(At(100000));
  CHECK(estimator.NormalDuration(kStep) == Duration::zero());
}

TEST_CASE("progress is measured from the start, or from the first report") {
  struct Row {
    const char* name;
    bool resumed;
    double rate;
  };
  // Reports of 40% after one second and of 60% after two.
  const std::vector<Row> rows = {
      {"from the start", false, 30},
      {"resumed from a checkpoint", true, 20},
  };
  const TaskRef task{kStep, 0};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerTracker tracker = MakeTracker(MakeWorker("w", "r1"));
    tracker.Add(task, 1, RunProfile(), At(0));
    tracker.Find(task)->resumed = row.resumed;
    tracker.OnStartSent(task, 1, Milliseconds(1500), At(0));
    tracker.OnStartAnswer(task, 1, StartOutcome::kAccepted, At(0));
    std::vector<RunReport> unexpected;
    for (const int second : {1, 2}) {
      WorkerStatusReport report;
      report.running.push_back({task, 1, "", 20 + 20 * second});
      tracker.OnReport(report, At(second * 1000), At(second * 1000),
                       &unexpected);
    }
    CHECK(tracker.Find(task)->rate() == doctest::Approx(row.rate));
    const auto left = tracker.Find(task)->remaining(At(2000));
    CHECK(std::chrono::duration<double>(left).count() ==
          doctest::Approx(40 / row.rate));
  }
}

}  // namespace
}  // namespace thornplank::testing
