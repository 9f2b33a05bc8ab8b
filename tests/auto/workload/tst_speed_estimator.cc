// Speeds of workers from the progress of sibling tasks.
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

// Of a run that has done half of its work.
ProgressSample Pace(int index, bool gang, double rate, double slowdown = 1) {
  return {{kStep, index}, gang, rate, /*told_by=*/50, slowdown};
}

TEST_CASE("a worker is as slow as its task against the siblings") {
  struct Row {
    const char* name;
    bool gang;
    // Worker, percent a second, slowdown away from its data.
    std::vector<std::tuple<std::string, double, double>> rates;
    // Of the worker that was observed last.
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
      {"no gang, its sibling may have less to do",
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
    SpeedEstimator book;
    int index = 0;
    for (const auto& [worker, rate, slowdown] : row.rates) {
      book.Observe(worker, Pace(index++, row.gang, rate, slowdown), At(0));
      // Of more siblings not each report is judged.
      book.Observe(worker, Pace(index - 1, row.gang, rate, slowdown),
                   At(index * 300));
    }
    CHECK(book.speed(std::get<0>(row.rates.back()), At(index * 300)) ==
          doctest::Approx(row.speed).epsilon(0.01));
  }
}

// A third of the workers takes 1.3 times as long for good, another is slowed
// for a while.
TEST_CASE("hardware is told from spells") {
  SpeedEstimator book;
  for (int second = 0; second < 4; ++second) {
    int index = 0;
    for (const auto& [worker, rate] :
         std::vector<std::pair<std::string, double>>{
             {"a", 26}, {"b", 26}, {"c", 26}, {"old", 20}, {"slowed", 5}}) {
      book.Observe(worker, Pace(index++, true, rate), At(second * 1000));
    }
  }
  CHECK(book.steady_speed("a") == doctest::Approx(1).epsilon(0.01));
  CHECK(book.steady_speed("old") == doctest::Approx(0.77).epsilon(0.01));
  CHECK(book.steady_speed("slowed") == 1);
  CHECK(book.speed("slowed", At(3000)) < 0.25);
  CHECK(book.speed("slowed", At(10000)) == 1);
  CHECK(book.speed("old", At(10000)) == doctest::Approx(0.77).epsilon(0.01));

  SUBCASE("workers of one speed among themselves keep what is known of them") {
    book.Observe("older", Pace(5, true, 20), At(4000));
    book.Observe("old", Pace(3, true, 20), At(4000));
    const StepRef other{"fedcba9876543210", 0, 0};
    for (int i = 0; i < 10; ++i) {
      book.Observe("old", {{other, 0}, true, 10, 50, 1}, At(5000));
      book.Observe("older", {{other, 1}, true, 10, 50, 1}, At(5000));
    }
    CHECK(book.steady_speed("old") == doctest::Approx(0.77).epsilon(0.02));
    CHECK(book.steady_speed("older") == doctest::Approx(0.77).epsilon(0.02));
  }
  SUBCASE("the first percents of a run say nothing of hardware") {
    const StepRef other{"fedcba9876543210", 0, 0};
    book.Observe("a", {{other, 0}, true, 10, 4, 1}, At(5000));
    book.Observe("new", {{other, 1}, true, 8, 4, 1}, At(5000));
    CHECK(book.steady_speed("new") == 1);
  }
}

TEST_CASE("a worker without new evidence counts as sound again") {
  SpeedEstimator book;
  book.Observe("a", Pace(0, true, 10), At(0));
  book.Observe("b", Pace(1, true, 1), At(0));
  CHECK(book.speed("b", At(5000)) < 0.2);
  CHECK(book.speed("b", At(7000)) == 1);
  CHECK(book.NormalDuration(kStep) == std::chrono::seconds(10));
  book.DropStale(At(100000));
  CHECK(book.NormalDuration(kStep) == Duration::zero());
}

TEST_CASE("progress is measured from the start, or from the first report") {
  struct Row {
    const char* name;
    bool resumed;
    double rate;
  };
  // Reports of 40% after a second and of 60% after two.
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
