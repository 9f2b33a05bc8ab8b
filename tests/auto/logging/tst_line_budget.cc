// Budgets of lines and bytes by event, and what is told of the rest.
#include <doctest/doctest.h>

#include <vector>

#include "logging/line_budget.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;

constexpr int kEvent = 7;
constexpr int kOther = 8;

Time At(int64_t ms) {
  return Time{} + std::chrono::hours(1) + milliseconds(ms);
}

TEST_CASE("a second admits a number of lines and of bytes") {
  struct Row {
    const char* name;
    size_t line_bytes;
    int tried;
    int admitted;
  };
  const std::vector<Row> rows = {
      {"few short lines", 10, 5, 5},
      {"lines bind", 10, 50, 20},
      // The line that goes over the budget is the last one.
      {"bytes bind", 300, 50, 4},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LineBudget budget({20, 1000});
    int admitted = 0;
    for (int i = 0; i < row.tried; ++i) {
      if (!budget.Admits(kEvent, At(i))) continue;
      budget.Charge(kEvent, row.line_bytes);
      ++admitted;
    }
    CHECK(admitted == row.admitted);
    CHECK(budget.left_out_total() ==
          static_cast<uint64_t>(row.tried - row.admitted));
    CHECK(budget.Admits(kOther, At(100)));
    CHECK(budget.Admits(kEvent, At(1100)));
  }
}

TEST_CASE("what was left out is told once, after its second") {
  LineBudget budget({1, 1000});
  REQUIRE(budget.Admits(kEvent, At(0)));
  budget.Charge(kEvent, 10);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(budget.Admits(kEvent, At(10)));
  }
  CHECK(budget.TakeLeftOut(At(900)).empty());
  const std::vector<LinesLeftOut> told = budget.TakeLeftOut(At(1000));
  REQUIRE(told.size() == 1);
  CHECK(told[0].event == kEvent);
  CHECK(told[0].lines == 3);
  CHECK(budget.TakeLeftOut(At(2000)).empty());
  CHECK(budget.left_out_total() == 3);
}

TEST_CASE("the running second is told at the end") {
  LineBudget budget({1, 1000});
  REQUIRE(budget.Admits(kEvent, At(0)));
  budget.Charge(kEvent, 10);
  CHECK_FALSE(budget.Admits(kEvent, At(1)));
  CHECK(budget.TakeAllLeftOut().size() == 1);
}

}  // namespace
}  // namespace thornplank
