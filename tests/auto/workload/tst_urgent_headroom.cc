// Workers that are left empty for urgent steps.
#include <doctest/doctest.h>

#include <limits>
#include <vector>

#include "workload/urgent_headroom.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr int64_t kWorkers = 100;

UrgentUse Use(double workers, int64_t largest_step, bool seen) {
  return {workers, largest_step, seen};
}

// Without the lower bound, so that the peak shows.
UrgentHeadroom WithoutLowerBound() {
  UrgentHeadroomSettings settings;
  settings.least_share = 0;
  UrgentHeadroom headroom(settings);
  headroom.Observe(Use(0, 0, false), At(0));
  headroom.Observe(Use(0, 0, false), At(10000));
  return headroom;
}

// Guards against waves of urgent gangs that find all workers taken by the tasks
// which started after the wave before, and against a fifth of the workers that
// stays empty for urgent steps which use a twentieth.
TEST_CASE("headroom follows the recent peak of urgent use") {
  struct Observation {
    int64_t at_ms;
    UrgentUse use;
    int64_t expected;
  };
  struct Row {
    const char* name;
    std::vector<Observation> observations;
  };
  const std::vector<Row> rows = {
      {"no urgent steps", {{10000, Use(0, 0, false), 0}}},
      {"a burst counts at once, and what it uses is not kept twice",
       {{10000, Use(20, 2, true), 2}, {10100, Use(0, 0, false), 20}}},
      {"the peak decays slowly",
       {{10000, Use(20, 2, true), 2},
        {12500, Use(0, 0, false), 16},
        {14900, Use(0, 0, false), 13}}},
      {"the next wave finds the peak of the one before",
       {{10000, Use(20, 2, true), 2},
        {13000, Use(5, 2, true), 10},
        {15000, Use(0, 0, false), 13}}},
      {"at least the largest step",
       {{10000, Use(1, 8, true), 8}, {10100, Use(1, 1, true), 8}}},
      {"the largest step is forgotten",
       {{10000, Use(8, 8, true), 8}, {15100, Use(8, 1, true), 1}}},
      {"at most a share of the workers",
       {{10000, Use(80, 5, true), 5}, {10100, Use(0, 0, false), 30}}},
      {"nothing once no urgent step was seen for a while",
       {{10000, Use(20, 2, true), 2}, {15000, Use(0, 0, false), 0}}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UrgentHeadroom headroom = WithoutLowerBound();
    for (const Observation& observation : row.observations) {
      CAPTURE(observation.at_ms);
      headroom.Observe(observation.use, At(observation.at_ms));
      CHECK(headroom.Workers(kWorkers) == observation.expected);
    }
  }
}

// Guards against a new leader that knows no peak yet and fills the workers that
// the leader before it left empty, and against a burst that is larger than any
// before and finds all workers taken: every urgent gang then waits for stops.
TEST_CASE("a share of the workers is left empty while urgent steps come") {
  struct Row {
    const char* name;
    UrgentUse inherited;
    int64_t at_first;
    int64_t later;
  };
  const std::vector<Row> rows = {
      {"urgent runs are inherited", Use(5, 0, true), 20, 20},
      {"many urgent runs are inherited", Use(28, 0, true), 20, 20},
      {"nothing urgent is there", Use(0, 0, false), 0, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UrgentHeadroom headroom((UrgentHeadroomSettings()));
    headroom.Observe(row.inherited, At(0));
    CHECK(headroom.Workers(kWorkers) == row.at_first);
    headroom.Observe(Use(0, row.inherited.seen ? 8 : 0, row.inherited.seen),
                     At(5000));
    CHECK(headroom.Workers(kWorkers) == row.later);
  }
}

// Guards against steps and workers whose resources cannot be right.
TEST_CASE("a task counts as at most one worker, whatever it says") {
  const Resources worker = {64000, 256000, 8};
  const int64_t huge = std::numeric_limits<int64_t>::max();
  CHECK(WorkerShare({1000, 1000, 4}, worker) == 0.5);
  CHECK(WorkerShare({48000, 1000, 1}, worker) == 0.75);
  CHECK(WorkerShare({huge, huge, huge}, worker) == 1);
  CHECK(WorkerShare({-1, -1, -1}, worker) == 0);
  CHECK(WorkerShare({1, 1, 1}, Resources()) == 1);
  CHECK(WorkersNeeded({1000, 1000, 5}, 4, worker) == 4);
  CHECK(WorkersNeeded({1000, 1000, 2}, 9, worker) == 3);
  CHECK(WorkersNeeded({1000, 1000, 16}, 2, worker) == 2);
}

}  // namespace
}  // namespace thornplank::testing
