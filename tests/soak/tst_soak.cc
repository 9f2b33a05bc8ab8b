// A short soak in CI: one seed of its own, and each seed that ever failed.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "soak_run.h"

namespace thornplank {
namespace {

struct Row {
  uint32_t seed;
  int seconds;
  // What the seed showed when it failed.
  const char* cause;
  // Of the soak with tasks that crash executors.
  bool crashes = false;
};

TEST_CASE("every promise holds under randomized faults") {
  const std::vector<Row> rows = {
      {20261202, 8, "never failed"},
      {20261203, 10, "never failed", true},
      {114, 12, "the stand-in carried a report over into a new life"},
      {127, 12, "work went to a life that was proved to be over"},
      {128, 12, "the stand-in carried a report over into a new life"},
      {131, 12, "the stand-in carried a report over into a new life"},
      {150, 12, "the stand-in carried a report over into a new life"},
      {332, 12, "an entry without the store told an outdated state"},
      {354, 12, "an entry without the store told an outdated state"},
      {623, 15, "a sound job was given up for crashes", true},
      {645, 15, "a sound job was given up for crashes", true},
      {650, 15, "a new life forgot its ends by the numbers of the last", true},
      {649, 15, "a sound job was given up for crashes", true},
      {502, 15, "the checker counted ends that a lapsed lease had made void"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.seed);
    CAPTURE(row.cause);
    SoakSettings settings;
    settings.seed = row.seed;
    settings.length = std::chrono::seconds(row.seconds);
    settings.crashes = row.crashes;
    const SoakReport report = RunSoak(settings);
    std::string faults;
    for (const std::string& fault : report.faults) {
      faults += fault + "\n";
    }
    CAPTURE(faults);
    for (const std::string& problem : report.problems) {
      FAIL_CHECK(problem);
    }
    CHECK(report.accepted > 0);
  }
}

}  // namespace
}  // namespace thornplank
