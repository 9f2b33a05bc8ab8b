// Budgets of lines and bytes per event, and the counts of suppressed lines.
#include <doctest/doctest.h>

#include <vector>

#include "logging/line_budget.h"

namespace thornplank {
namespace {

using std::chrono::milliseconds;

constexpr int kEvent = 7;
constexpr int kOtherEvent = 8;

Time At(int64_t ms) {
  return Time{} + std::chrono::hours(1) + milliseconds(ms);
}

TEST_CASE("lines and bytes per second are limited for each event") {
  struct Row {
    const char* name;
    size_t line_bytes;
    int attempted;
    int admitted;
  };
  const std::vector<Row> rows = {
      {"few short lines", 10, 5, 5},
      {"the limit of lines is reached", 10, 50, 20},
      // The line that exceeds the budget is still admitted; it is the last one.
      {"the limit of bytes is reached", 300, 50, 4},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LineBudget budget({20, 1000});
    int admitted = 0;
    for (int i = 0; i < row.attempted; ++i) {
      if (!budget.Admits(kEvent, At(i))) continue;
      budget.Charge(kEvent, row.line_bytes);
      ++admitted;
    }
    CHECK(admitted == row.admitted);
    CHECK(budget.suppressed_total() ==
          static_cast<uint64_t>(row.attempted - row.admitted));
    CHECK(budget.Admits(kOtherEvent, At(100)));
    CHECK(budget.Admits(kEvent, At(1100)));
  }
}

TEST_CASE("suppressed lines are reported once, after the end of their second") {
  LineBudget budget({1, 1000});
  REQUIRE(budget.Admits(kEvent, At(0)));
  budget.Charge(kEvent, 10);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(budget.Admits(kEvent, At(10)));
  }
  CHECK(budget.TakeSuppressed(At(900)).empty());
  const std::vector<SuppressedLines> report = budget.TakeSuppressed(At(1000));
  REQUIRE(report.size() == 1);
  CHECK(report[0].event == kEvent);
  CHECK(report[0].lines == 3);
  CHECK(budget.TakeSuppressed(At(2000)).empty());
  CHECK(budget.suppressed_total() == 3);
}

TEST_CASE("the final report includes the current second") {
  LineBudget budget({1, 1000});
  REQUIRE(budget.Admits(kEvent, At(0)));
  budget.Charge(kEvent, 10);
  CHECK_FALSE(budget.Admits(kEvent, At(1)));
  CHECK(budget.TakeAllSuppressed().size() == 1);
}

}  // namespace
}  // namespace thornplank
