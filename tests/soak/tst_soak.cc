// A short soak test for CI with two fixed seeds and every seed that once
// failed.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "soak_run.h"

namespace thornplank {
namespace {

struct Row {
  uint32_t seed;
  int seconds;
  // The fault that made the seed fail.
  const char* cause;
  // Whether tasks crash executors, as in SoakSettings.
  bool crashes = false;
  // Whether executors are cut off, as in SoakSettings.
  bool cut_offs = false;
  // Whether tasks report long checkpoints, as in SoakSettings.
  bool long_checkpoints = false;
};

TEST_CASE("the invariants hold under randomized faults") {
  const std::vector<Row> rows = {
      {20261202, 8, "never failed"},
      {20261203, 10, "never failed", true},
      {20261204, 15, "never failed", false, true},
      {20261205, 10, "never failed", false, false, true},
      {114, 12, "the stand-in kept a report across incarnations"},
      {127, 12, "work was sent to an incarnation known to have ended"},
      {128, 12, "the stand-in kept a report across incarnations"},
      {131, 12, "the stand-in kept a report across incarnations"},
      {150, 12, "the stand-in kept a report across incarnations"},
      {332, 12, "an entry without the store reported an outdated state"},
      {354, 12, "an entry without the store reported an outdated state"},
      {623, 15, "a job was given up for crashes it did not cause", true},
      {645, 15, "a job was given up for crashes it did not cause", true},
      {650, 15,
       "run ends of a new incarnation were dropped by old sequence numbers",
       true},
      {649, 15, "a job was given up for crashes it did not cause", true},
      {502, 15, "the checker counted run ends after their lease had lapsed"},
      {901, 12, "after an outage tasks were placed by an outdated directory"},
      {80002, 15, "a task waited for ever for crashed workers", true, true},
      {80021, 15, "a task waited for ever for crashed workers", true, true},
      {70007, 15, "after an outage tasks were placed by entries from before it",
       true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.seed);
    CAPTURE(row.cause);
    SoakSettings settings;
    settings.seed = row.seed;
    settings.fault_duration = std::chrono::seconds(row.seconds);
    settings.crashes = row.crashes;
    settings.cut_offs = row.cut_offs;
    settings.long_checkpoints = row.long_checkpoints;
    const SoakReport report = RunSoak(settings);
    std::string faults;
    for (const std::string& fault : report.faults) {
      faults += fault + "\n";
    }
    CAPTURE(faults);
    for (const std::string& violation : report.violations) {
      FAIL_CHECK(violation);
    }
    CHECK(report.accepted > 0);
  }
}

}  // namespace
}  // namespace thornplank
