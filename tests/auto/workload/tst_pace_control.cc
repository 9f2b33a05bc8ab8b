// How the pace of filler tasks follows the tail latencies of the serving tasks
// on the same worker.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "workload/pace_control.h"

namespace thornplank::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTarget{100};

Time At(int64_t ms) {
  return Time{} + std::chrono::hours(1) + milliseconds(ms);
}

// The pace after reports of these tail latencies, in milliseconds, every half
// second.
int PaceAfter(const std::vector<int>& tails, PaceControl* control,
              int64_t* clock) {
  for (const int tail : tails) {
    control->Observe({{milliseconds(tail), kTarget}}, At(*clock));
    *clock += 500;
  }
  return control->pace();
}

TEST_CASE("the pace falls as tail latencies rise") {
  struct Row {
    std::string name;
    std::vector<int> tails;
    int pace;
  };
  const std::vector<Row> rows = {
      {"well below", {50, 50, 50}, 100},
      {"between rise and fall", {80, 80, 80}, 100},
      {"near the target", {95}, 66},
      {"above the target", {101}, 25},
      {"above the target for two seconds", {150, 150, 150, 150}, 0},
      {"near the target for long: too slow to be useful",
       {95, 95, 95, 95, 95, 95, 95, 95},
       0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PaceControl control;
    int64_t clock = 0;
    CHECK(PaceAfter(row.tails, &control, &clock) == row.pace);
  }
}

TEST_CASE(
    "the pace rises in steps once all tail latencies have been low for a "
    "while") {
  PaceControl control;
  int64_t clock = 0;
  REQUIRE(PaceAfter({150, 150, 150}, &control, &clock) == 0);
  CHECK(PaceAfter({50, 50}, &control, &clock) == 0);
  CHECK(PaceAfter({50}, &control, &clock) == 20);
  CHECK(PaceAfter({50, 50, 50}, &control, &clock) == 40);
  // Too high for the pace to rise, not high enough for it to fall.
  CHECK(PaceAfter({80, 80, 80, 80, 80}, &control, &clock) == 40);
}

TEST_CASE(
    "the worst tail latency decides, those without a target are ignored") {
  PaceControl control;
  control.Observe({{milliseconds(10), kTarget}, {milliseconds(500), kTarget}},
                  At(0));
  CHECK(control.pace() == 25);
  PaceControl untargeted;
  untargeted.Observe({{milliseconds(500), milliseconds(0)}}, At(0));
  CHECK(untargeted.pace() == 100);
}

}  // namespace
}  // namespace thornplank::testing
