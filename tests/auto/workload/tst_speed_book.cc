// Speeds of workers from the progress of sibling tasks.
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "workload/speed_book.h"
#include "workload/worker_tracker.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

const StepRef kStep{"0123456789abcdef", 0, 0};

TEST_CASE("a worker is as slow as its task against the siblings") {
  struct Row {
    const char* name;
    // Worker, percent a second, slowdown away from its data.
    std::vector<std::tuple<std::string, double, double>> rates;
    // Of the worker that was observed last.
    double speed;
  };
  const std::vector<Row> rows = {
      {"alone", {{"a", 2, 1}}, 1},
      {"as fast as its sibling", {{"a", 10, 1}, {"b", 10, 1}}, 1},
      {"a fifth of its sibling", {{"a", 10, 1}, {"b", 2, 1}}, 0.2},
      {"far from its data", {{"a", 10, 1}, {"b", 3.3, 3}}, 0.99},
      {"one of three is slow", {{"a", 10, 1}, {"b", 9, 1}, {"c", 2, 1}}, 0.222},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    SpeedBook book;
    for (const auto& [worker, rate, slowdown] : row.rates) {
      book.Observe(worker, kStep, rate, slowdown, At(0));
    }
    CHECK(book.speed(std::get<0>(row.rates.back()), At(1)) ==
          doctest::Approx(row.speed).epsilon(0.01));
  }
}

TEST_CASE("a worker without new evidence counts as sound again") {
  SpeedBook book;
  book.Observe("a", kStep, 10, 1, At(0));
  book.Observe("b", kStep, 1, 1, At(0));
  CHECK(book.speed("b", At(5000)) < 0.2);
  CHECK(book.speed("b", At(7000)) == 1);
  CHECK(book.SoundDuration(kStep) == std::chrono::seconds(10));
  book.Forget(At(100000));
  CHECK(book.SoundDuration(kStep) == Duration::zero());
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
