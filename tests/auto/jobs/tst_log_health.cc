// The conditions under which an entry counts the log as down.
#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "jobs/log_health.h"

namespace thornplank {
namespace {

Time At(int64_t milliseconds) {
  return Time{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

TEST_CASE("the log is down without reads, or when appends do not arrive") {
  struct Row {
    const char* name;
    std::optional<int64_t> read;
    std::optional<int64_t> failing;
    std::optional<int64_t> own_record;
    LogProblem problem;
  };
  // Times in ms. All rows are evaluated at 10,000 with a maximum read age of
  // 5,000.
  const std::vector<Row> rows = {
      {"all is well", 9900, {}, {}, LogProblem::kNone},
      {"never read", {}, {}, {}, LogProblem::kNotRead},
      {"not read for too long", 4000, {}, 9900, LogProblem::kNotRead},
      {"one append has just failed", 9900, 9800, {}, LogProblem::kNone},
      {"appends fail for too long", 9900, 9000, {}, LogProblem::kAppendsFail},
      {"replies are lost, but records are read back", 9900, 9000, 9900,
       LogProblem::kNone},
      {"last record read back before appends began to fail", 9900, 9000, 8000,
       LogProblem::kAppendsFail},
      {"records are no longer read back", 9900, 9000, 9300,
       LogProblem::kAppendsFail},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LogHealth health(Milliseconds(5000));
    if (row.own_record) health.HandleOwnRecord(At(*row.own_record));
    const auto time = [](const std::optional<int64_t>& milliseconds) {
      return milliseconds ? std::optional<Time>(At(*milliseconds))
                          : std::nullopt;
    };
    CHECK(health.Evaluate(time(row.read), time(row.failing), At(10000)) ==
          row.problem);
  }
}

}  // namespace
}  // namespace thornplank
