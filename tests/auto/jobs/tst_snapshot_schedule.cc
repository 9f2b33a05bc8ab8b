// The conditions under which a snapshot of the job stream is due.
#include <doctest/doctest.h>

#include <vector>

#include "jobs/snapshot_schedule.h"

namespace thornplank {
namespace {

struct DueCase {
  const char* name;
  int64_t first;
  int64_t next;
  int64_t covered;
  std::chrono::minutes after;
  bool due;
};

TEST_CASE("a snapshot is due by records, age or retention") {
  using std::chrono::minutes;
  const std::vector<DueCase> cases = {
      {"nothing new", 0, 100, 100, minutes(60), false},
      {"a few records", 0, 100, 0, minutes(1), false},
      {"many records", 0, 1000, 0, minutes(1), true},
      {"a few records for a long time", 0, 100, 0, minutes(10), true},
      {"retention removes records far before `covered`", 100, 900, 500,
       minutes(1), false},
      {"retention is close to `covered`", 400, 900, 500, minutes(1), true},
      {"retention is past `covered`", 600, 900, 500, minutes(1), true},
  };
  for (const DueCase& one : cases) {
    CAPTURE(one.name);
    SnapshotSchedule schedule(1000, minutes(10));
    const Time start{};
    schedule.IsDue(0, 0, 0, start);
    CHECK(schedule.IsDue(one.first, one.next, one.covered, start + one.after) ==
          one.due);
  }
}

}  // namespace
}  // namespace thornplank
