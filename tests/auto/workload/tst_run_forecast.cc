// When a run is expected to end.
#include <doctest/doctest.h>

#include <vector>

#include "workload/run_forecast.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

TrackedRun RunFor(Milliseconds estimate, int64_t elapsed_ms, int percent) {
  TrackedRun run;
  run.stage = RunStage::kRunning;
  run.profile.estimate = estimate;
  run.began = At(0);
  run.baseline = At(0);
  run.percent = percent;
  run.last_progress = At(elapsed_ms);
  return run;
}

// Guards against holds that rely on callers' estimates where the progress of
// the run shows that they are wrong by a factor of ten either way.
TEST_CASE("measured progress counts more than the estimate") {
  struct Row {
    const char* name;
    Milliseconds estimate;
    int64_t elapsed_ms;
    int percent;
    Milliseconds expected;
  };
  const std::vector<Row> rows = {
      {"estimate of a tenth", Milliseconds(800), 4000, 50, Milliseconds(4000)},
      {"estimate of ten times", Milliseconds(80000), 4000, 50,
       Milliseconds(4000)},
      {"no progress is known yet", Milliseconds(8000), 1000, 0,
       Milliseconds(7000)},
      {"overdue by its estimate", Milliseconds(800), 4000, 0, kMinForecast},
      {"nearly done", Milliseconds(8000), 8000, 100, kMinForecast},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const TrackedRun run = RunFor(row.estimate, row.elapsed_ms, row.percent);
    CHECK(ForecastRemaining(run, At(row.elapsed_ms)) == row.expected);
  }
}

// Guards against an end that is expected at once, or never computed correctly,
// from a negative or huge estimate, and against a hold on capacity that a
// service uses until it is cancelled.
TEST_CASE("of some runs no end is expected") {
  TrackedRun run = RunFor(Milliseconds(1000), 0, 0);
  run.profile.long_running = true;
  CHECK(ForecastRemaining(run, At(0)) == Duration::max());
  for (const Milliseconds estimate :
       {Milliseconds(0), Milliseconds(-5), Milliseconds::max()}) {
    CHECK(ForecastRemaining(RunFor(estimate, 0, 0), At(0)) == Duration::max());
  }
}

// Guards against a run that was decided a moment ago and counts as ended.
TEST_CASE("a run that no report has shown yet needs its whole time") {
  TrackedRun run;
  run.profile.estimate = Milliseconds(3000);
  CHECK(ForecastRemaining(run, At(100)) == Milliseconds(3000));
}

}  // namespace
}  // namespace thornplank::testing
