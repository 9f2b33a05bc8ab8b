// How often the progress of tasks is recorded.
#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "../workload/workload_fixtures.h"
#include "coordination/progress_write_limiter.h"

namespace thornplank::testing {
namespace {

// 350 workers ended 50 tasks a second, one by one: half of the store's calls
// were the leader's records of these ends.
TEST_CASE("ends that come one by one are recorded together") {
  struct Row {
    const char* name;
    int64_t apart_ms;
    // Each comes with a start.
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

TEST_CASE("a start is recorded at once, whatever was recorded a moment ago") {
  ProgressWriteLimiter pace(Milliseconds(100));
  CHECK(pace.IsDue(/*starts_wait=*/false, At(0)));
  pace.OnRecorded(At(0));
  CHECK_FALSE(pace.IsDue(/*starts_wait=*/false, At(10)));
  CHECK(pace.IsDue(/*starts_wait=*/true, At(10)));
  CHECK(pace.IsDue(/*starts_wait=*/false, At(100)));
}

}  // namespace
}  // namespace thornplank::testing
