// What the removal of an entry proves, and what it does not.
#include <doctest/doctest.h>

#include <vector>

#include "workload/departure_watch.h"
#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr Milliseconds kHeartbeat{1500};

TEST_CASE("an entry that is removed") {
  struct Row {
    const char* name;
    bool draining;
    // Left, as the last entry has it.
    int64_t left;
    // Since the last entry.
    int64_t silent;
    // Since the directory was read, before the last entry and the removal.
    int64_t entry_lag;
    int64_t removal_lag;
    bool left_for_good;
  };
  const std::vector<Row> rows = {
      {"as announced, at its time", true, 900, 1000, 200, 200, true},
      {"a little before its time", true, 1500, 600, 200, 200, true},
      {"in a slow store", true, 900, 1400, 700, 700, true},
      {"long after its time, still written anew", true, 0, 1400, 200, 200,
       true},
      {"without a word", false, 0, 300, 200, 200, false},
      {"long before its time", true, 4000, 1000, 200, 200, false},
      {"lapsed after three heartbeats", true, 900, 4500, 200, 200, false},
      {"lapsed, seen as late as can be", true, 900, 3000, 1500, 200, false},
      {"the directory was away before the entry", true, 900, 1000, 5000, 200,
       false},
      {"the directory was away since the entry", true, 900, 1000, 200, 5000,
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    DepartureWatch watch;
    WorkerRegistration entry = MakeWorker("w1", "r1");
    entry.draining = row.draining;
    entry.drain_left = Milliseconds(row.left);
    watch.OnEntry(entry, At(0) - Milliseconds(row.entry_lag), At(0));
    const Time removed = At(row.silent);
    CHECK(watch.IsDeparture(kHeartbeat, removed - Milliseconds(row.removal_lag),
                            removed) == row.left_for_good);
  }
}

TEST_CASE("a worker that comes back has announced nothing") {
  DepartureWatch watch;
  WorkerRegistration entry = MakeWorker("w1", "r1");
  entry.draining = true;
  watch.OnEntry(entry, At(0), At(0));
  entry.draining = false;
  watch.OnEntry(entry, At(1400), At(1500));
  CHECK_FALSE(watch.IsDeparture(kHeartbeat, At(1900), At(2000)));
}

}  // namespace
}  // namespace thornplank::testing
