// When lost workers count as gone.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "workload/gone_workers.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kPatience{1000};

// Guards against a task that waits for ever for workers of which nothing is
// heard, and against one that does not wait for a worker that is still listed.
TEST_CASE("a lost worker is gone once it was not seen for long") {
  struct Row {
    const char* name;
    // At 0, 500, 1000 and 1500 ms: whether the worker is among the lost ones,
    // and whether it is seen.
    std::vector<bool> lost;
    std::vector<bool> seen;
    // When it is returned, in milliseconds; -1 for never.
    int gone_at;
  };
  const std::vector<Row> rows = {
      {"never seen",
       {true, true, true, true},
       {false, false, false, false},
       1000},
      {"listed", {true, true, true, true}, {true, true, true, true}, -1},
      {"listed at first",
       {true, true, true, true},
       {true, false, false, false},
       1500},
      {"listed in between",
       {true, true, true, true},
       {false, true, false, false},
       -1},
      {"accounted for",
       {true, true, false, false},
       {false, false, false, false},
       -1},
      {"lost again",
       {true, false, true, true},
       {false, false, false, false},
       -1},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    GoneWorkers workers;
    int gone_at = -1;
    for (size_t i = 0; i < row.lost.size(); ++i) {
      const int time = 500 * static_cast<int>(i);
      const std::vector<std::string> lost = row.lost[i]
                                                ? std::vector<std::string>{"w"}
                                                : std::vector<std::string>();
      const auto gone = workers.TakeGone(
          lost, [&](const std::string&) { return row.seen[i]; }, At(time),
          kPatience);
      if (!gone.empty() && gone_at < 0) gone_at = time;
    }
    CHECK(gone_at == row.gone_at);
  }
}

}  // namespace
}  // namespace thornplank::testing
