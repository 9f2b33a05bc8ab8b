// Which life of a worker a report comes from.
#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "workload/worker_incarnation.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

using Verdict = WorkerIncarnation::Verdict;

std::optional<WallTime> Born(int64_t milliseconds) {
  if (milliseconds == 0) return std::nullopt;
  return FromUnixMilliseconds(milliseconds);
}

// Guards against reports of two lives that are taken for those of one.
TEST_CASE("which life a report comes from") {
  struct Row {
    const char* name;
    // What the life that is known says of its birth, heard at 1000; 0: nothing.
    int64_t known;
    int64_t said;
    // When the call was sent.
    int64_t sent;
    Verdict verdict;
  };
  const std::vector<Row> rows = {
      {"the same", 5000, 5000, 1100, Verdict::kSame},
      {"the next", 5000, 9000, 1100, Verdict::kNext},
      {"the next, asked before this one was heard", 5000, 9000, 900,
       Verdict::kNext},
      {"one before, overtaken on its way", 5000, 3000, 900, Verdict::kPast},
      {"the next, by a clock that was set back", 5000, 3000, 1100,
       Verdict::kNext},
      {"a birth in the future", 5000, 7000000000000, 1100, Verdict::kNext},
      {"after a birth in the future", 7000000000000, 9000, 1100,
       Verdict::kNext},
      {"it says nothing", 5000, 0, 1100, Verdict::kSame},
      {"it said nothing before", 0, 5000, 1100, Verdict::kSame},
      {"it never says anything", 0, 0, 1100, Verdict::kSame},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkerIncarnation life;
    life.Record(Born(row.known), At(1000));
    CHECK(life.Classify(Born(row.said), At(row.sent)) == row.verdict);
  }
}

TEST_CASE("a life that says nothing for once is still known") {
  WorkerIncarnation life;
  life.Record(Born(5000), At(1000));
  life.Record(std::nullopt, At(1100));
  CHECK(life.start() == Born(5000));
  CHECK(life.Classify(Born(5000), At(1200)) == Verdict::kSame);
}

}  // namespace
}  // namespace thornplank::testing
