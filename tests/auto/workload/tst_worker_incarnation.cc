// Which incarnation of a worker a report comes from.
#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "workload/worker_incarnation.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

using Verdict = WorkerIncarnation::Verdict;

std::optional<WallTime> StartTime(int64_t milliseconds) {
  if (milliseconds == 0) return std::nullopt;
  return FromUnixMilliseconds(milliseconds);
}

// Guards against reports of two incarnations that are attributed to one.
TEST_CASE("which incarnation a report comes from") {
  struct Row {
    const char* name;
    // Start time of the known incarnation, first reported at 1000; 0: not
    // reported.
    int64_t known;
    int64_t reported;
    // When the call was sent.
    int64_t sent;
    Verdict verdict;
  };
  const std::vector<Row> rows = {
      {"the same", 5000, 5000, 1100, Verdict::kSame},
      {"the next", 5000, 9000, 1100, Verdict::kNext},
      {"the next, asked before this one was known", 5000, 9000, 900,
       Verdict::kNext},
      {"the previous one, overtaken by a newer report", 5000, 3000, 900,
       Verdict::kPast},
      {"the next, by a clock that was set back", 5000, 3000, 1100,
       Verdict::kNext},
      {"a start time in the future", 5000, 7000000000000, 1100, Verdict::kNext},
      {"after a start time in the future", 7000000000000, 9000, 1100,
       Verdict::kNext},
      {"not reported this time", 5000, 0, 1100, Verdict::kSame},
      {"not reported before", 0, 5000, 1100, Verdict::kSame},
      {"never reported", 0, 0, 1100, Verdict::kSame},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerIncarnation incarnation;
    incarnation.Record(StartTime(row.known), At(1000));
    CHECK(incarnation.Classify(StartTime(row.reported), At(row.sent)) ==
          row.verdict);
  }
}

TEST_CASE("a report without a start time does not clear the known one") {
  WorkerIncarnation incarnation;
  incarnation.Record(StartTime(5000), At(1000));
  incarnation.Record(std::nullopt, At(1100));
  CHECK(incarnation.start() == StartTime(5000));
  CHECK(incarnation.Classify(StartTime(5000), At(1200)) == Verdict::kSame);
}

}  // namespace
}  // namespace thornplank::testing
