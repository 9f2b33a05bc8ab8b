// What accounts use of their guarantees, as a round starts and stops runs.
#include "workload/urgent_balance.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "planner_cluster.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

// Guards against accounts that together take several times their guarantees:
// each of their steps was compared with what ran, not with what was reserved or
// started for their other steps. And against an account that loses the same
// accelerators twice, since runs that are being stopped counted as its use.
TEST_CASE("starts, stops and reservations of a round count at once") {
  struct Row {
    const char* name;
    std::optional<int64_t> guarantee;
    // Accelerators of its runs; those among them that are being stopped.
    int running = 0;
    int stopping = 0;
    // In this round.
    int64_t started = 0;
    int64_t stopped = 0;
    int64_t reserved = 0;
    int64_t left = 0;
    int64_t excess = 0;
  };
  const std::vector<Row> rows = {
      {"nothing", 8, 0, 0, 0, 0, 0, 8, -8},
      {"no guarantee", std::nullopt, 3, 0, 0, 0, 0, -3, 3},
      {"runs", 8, 6, 0, 0, 0, 0, 2, -2},
      {"runs beyond the guarantee", 8, 11, 0, 0, 0, 0, -3, 3},
      {"runs that are being stopped", 8, 11, 4, 0, 0, 0, -3, -1},
      {"starts", 8, 6, 0, 4, 0, 0, -2, 2},
      {"stops of this round", 8, 11, 0, 0, 3, 0, -3, 0},
      {"stops of this round and of earlier ones", 8, 12, 2, 0, 2, 0, -4, 0},
      {"reservations", 8, 6, 0, 0, 0, 2, 0, -2},
      {"a reservation that is given back", 8, 6, 0, 0, 0, 0, 2, -2},
      {"all of them", 8, 10, 2, 3, 1, 5, -10, 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlannerCluster cluster(1, 2);
    if (row.guarantee) cluster.guarantees["north"] = *row.guarantee;
    if (row.running > 0) {
      cluster.ledger.Add(MakeJob(Id(1), {MakeStep(row.running, 1)}, 0),
                         cluster.now);
      cluster.Round();
    }
    int to_stop = row.stopping;
    for (auto& [id, worker] : cluster.workers) {
      for (auto& [task, run] : worker.runs()) {
        if (to_stop-- > 0) run.stop_wanted = true;
      }
    }
    const ClusterCapacity capacity(cluster.workers, nullptr, cluster.now,
                                   nullptr, false);
    UrgentBalance balance(&capacity, &cluster.ledger, &cluster.guarantees);
    balance.OnStarted("north", row.started);
    balance.OnStopped("north", row.stopped);
    balance.Reserve("north", row.reserved + 4);
    balance.Reserve("north", -4);
    CHECK(balance.Left("north") == row.left);
    CHECK(balance.Excess("north") == row.excess);
    // Those of one account do not count for another.
    CHECK(balance.Left("south") == 0);
    CHECK(balance.Excess("south") == 0);
  }
}

// Guards against stops for an account that is promised nothing, and against a
// promise that is not kept since work counts which cannot run yet or any more.
TEST_CASE("an account is owed its guarantee while all its jobs fit into it") {
  struct Work {
    int job = 0;
    std::vector<StepSpec> steps;
    int priority = 0;
    const char* account = "north";
    bool cancelled = false;
  };
  struct Row {
    const char* name;
    std::optional<int64_t> guarantee;
    std::vector<Work> work;
    bool owed;
  };
  const std::vector<Row> rows = {
      {"no work", 8, {}, true},
      {"no guarantee", std::nullopt, {}, false},
      {"no guarantee, and nothing needed",
       std::nullopt,
       {{1, {MakeStep(1, 0)}}},
       false},
      {"as much as is guaranteed", 8, {{1, {MakeStep(8, 1)}}}, true},
      {"one more", 8, {{1, {MakeStep(9, 1)}}}, false},
      {"in several jobs",
       8,
       {{1, {MakeStep(2, 2)}}, {2, {MakeStep(1, 5)}}},
       false},
      {"batch jobs",
       8,
       {{1, {MakeStep(8, 1)}}, {2, {MakeStep(9, 1)}, 1}},
       true},
      {"jobs of others",
       8,
       {{1, {MakeStep(8, 1)}}, {2, {MakeStep(9, 1)}, 0, "south"}},
       true},
      {"a step that waits for another",
       8,
       {{1, {MakeStep(8, 1), MakeStep(8, 1, {0})}}},
       true},
      {"steps that may run together",
       8,
       {{1, {MakeStep(8, 1), MakeStep(8, 1)}}},
       false},
      {"a cancelled job",
       8,
       {{1, {MakeStep(8, 1)}}, {2, {MakeStep(8, 1)}, 0, "north", true}},
       true},
  };
  // Whatever runs of it counts as well as what waits.
  for (const bool running : {false, true}) {
    for (const Row& row : rows) {
      CAPTURE(running);
      CAPTURE(row.name);
      PlannerCluster cluster(1, 4);
      if (row.guarantee) cluster.guarantees["north"] = *row.guarantee;
      for (const Work& work : row.work) {
        cluster.ledger.Add(
            MakeJob(Id(work.job), work.steps, work.priority, work.account),
            cluster.now);
        if (work.cancelled) cluster.ledger.Cancel(Id(work.job));
      }
      if (running) cluster.Round();
      const ClusterCapacity capacity(cluster.workers, nullptr, cluster.now,
                                     nullptr, false);
      const UrgentBalance balance(&capacity, &cluster.ledger,
                                  &cluster.guarantees);
      CHECK(balance.IsOwed("north") == row.owed);
    }
  }
}

}  // namespace
}  // namespace thornplank::testing
