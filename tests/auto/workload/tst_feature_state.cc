// When a feature of the scheduler is active, and that each change is reported
// once.
#include <doctest/doctest.h>

#include <vector>

#include "workload/feature_state.h"

namespace thornplank::testing {
namespace {

// Guards against a log line in every round, and against a feature that ignores
// its switch.
TEST_CASE("a feature reports each change of its state once") {
  struct Row {
    const char* name;
    FeatureMode mode;
    // The condition in successive rounds.
    std::vector<bool> holds;
    std::vector<bool> active;
    size_t changes;
  };
  const std::vector<Row> rows = {
      {"off", FeatureMode::kOff, {true, true}, {false, false}, 0},
      {"on", FeatureMode::kOn, {false, true, false}, {true, true, true}, 1},
      {"auto, never called for", FeatureMode::kAuto, {false}, {false}, 0},
      {"auto", FeatureMode::kAuto, {true, true, false}, {true, true, false}, 2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FeatureState state("held_capacity", row.mode);
    size_t changes = 0;
    for (size_t i = 0; i < row.holds.size(); ++i) {
      const auto change = state.Update({row.holds[i], "condition"});
      CHECK(state.active() == row.active[i]);
      if (!change) continue;
      ++changes;
      CHECK(change->feature == "held_capacity");
      CHECK(change->active == row.active[i]);
      CHECK_FALSE(change->reason.empty());
    }
    CHECK(changes == row.changes);
  }
}

}  // namespace
}  // namespace thornplank::testing
