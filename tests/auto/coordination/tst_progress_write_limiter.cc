// Tests of how often the progress of tasks is written.
#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/progress_write_limiter.h"

namespace thornplank::testing {
namespace {

// Guards against one write for each end: with 350 workers that end 50 tasks a
// second, one by one, these writes were half of all calls to the store.
TEST_CASE("ends that come one by one are written together") {
  struct Row {
    const char* name;
    int64_t apart_ms;
    // Whether each end comes with a start.
    bool starts;
    int most_records;
    int least_records;
  };
  // Over ten seconds.
  const std::vector<Row> rows = {
      {"many ends", 20, false, 101, 90},
      {"ends of many starts", 20, true, 500, 500},
      {"few ends", 500, false, 20, 20},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ProgressWriteLimiter pace(Milliseconds(100));
    int records = 0;
    for (int64_t now = 0; now < 10000; now += row.apart_ms) {
      if (!pace.IsDue(row.starts, At(now))) continue;
      pace.OnRecorded(At(now));
      ++records;
    }
    CHECK(records <= row.most_records);
    CHECK(records >= row.least_records);
  }
}

TEST_CASE("a start is written at once, however recent the last write is") {
  ProgressWriteLimiter pace(Milliseconds(100));
  CHECK(pace.IsDue(/*starts_wait=*/false, At(0)));
  pace.OnRecorded(At(0));
  CHECK_FALSE(pace.IsDue(/*starts_wait=*/false, At(10)));
  CHECK(pace.IsDue(/*starts_wait=*/true, At(10)));
  CHECK(pace.IsDue(/*starts_wait=*/false, At(100)));
}

}  // namespace
}  // namespace thornplank::testing
