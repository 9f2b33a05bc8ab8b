// What the removal of a directory entry shows, and what it does not.
#include <doctest/doctest.h>

#include <vector>

#include "workload/departure_detector.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kHeartbeat{1500};

TEST_CASE("whether a removed entry shows a departure") {
  struct Row {
    const char* name;
    bool draining;
    // Milliseconds until departure according to the last entry.
    int64_t left;
    // Milliseconds since the last entry.
    int64_t silent;
    // Milliseconds since the directory was read to its end, before the last
    // entry and before the removal.
    int64_t entry_lag;
    int64_t removal_lag;
    bool left_for_good;
  };
  const std::vector<Row> rows = {
      {"as announced, at its time", true, 900, 1000, 200, 200, true},
      {"a little before its time", true, 1500, 600, 200, 200, true},
      {"as announced, in a slow store", true, 900, 1400, 700, 700, true},
      {"long after its time, still renewed until then", true, 0, 1400, 200, 200,
       true},
      {"not announced", false, 0, 300, 200, 200, false},
      {"long before its time", true, 4000, 1000, 200, 200, false},
      {"expired after three heartbeats", true, 900, 4500, 200, 200, false},
      {"expired, read as late as possible", true, 900, 3000, 1500, 200, false},
      {"the directory was unreachable before the entry", true, 900, 1000, 5000,
       200, false},
      {"the directory was unreachable after the entry", true, 900, 1000, 200,
       5000, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    DepartureDetector detector;
    WorkerRegistration entry = MakeWorker("w1", "r1");
    entry.draining = row.draining;
    entry.drain_remaining = Milliseconds(row.left);
    detector.OnEntry(entry, At(0) - Milliseconds(row.entry_lag), At(0));
    const Time removed = At(row.silent);
    CHECK(detector.IsDeparture(kHeartbeat,
                               removed - Milliseconds(row.removal_lag),
                               removed) == row.left_for_good);
  }
}

TEST_CASE("a worker that no longer drains has not announced a departure") {
  DepartureDetector detector;
  WorkerRegistration entry = MakeWorker("w1", "r1");
  entry.draining = true;
  detector.OnEntry(entry, At(0), At(0));
  entry.draining = false;
  detector.OnEntry(entry, At(1400), At(1500));
  CHECK_FALSE(detector.IsDeparture(kHeartbeat, At(1900), At(2000)));
}

}  // namespace
}  // namespace thornplank::testing
