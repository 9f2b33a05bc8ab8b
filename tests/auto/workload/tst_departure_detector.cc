// What the removal of an entry proves, and what it does not.
#include <doctest/doctest.h>

#include <vector>

#include "workload/departure_detector.h"
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
    DepartureDetector watch;
    WorkerRegistration entry = MakeWorker("w1", "r1");
    entry.draining = row.draining;
    entry.drain_remaining = Milliseconds(row.left);
    watch.OnEntry(entry, At(0) - Milliseconds(row.entry_lag), At(0));
    const Time removed = At(row.silent);
    CHECK(watch.IsDeparture(kHeartbeat, removed - Milliseconds(row.removal_lag),
                            removed) == row.left_for_good);
  }
}

// Taken away at short notice, a worker leaves its entry behind.
TEST_CASE("a worker that is still listed and found gone") {
  struct Row {
    const char* name;
    bool draining;
    // Left, as the last entry has it.
    int64_t left;
    // When a call found nobody, since the last entry; -1: none did.
    int64_t nobody;
    // A later call was answered.
    bool answered;
    // Since the last entry.
    int64_t silent;
    // Since the directory was read.
    int64_t lag;
    bool left_for_good;
  };
  const std::vector<Row> rows = {
      {"as announced", true, 1900, 2100, false, 2300, 200, true},
      {"read late, as by a new leader", true, 100, 300, false, 2300, 200, true},
      {"a heartbeat may still come", true, 500, 600, false, 2200, 200, false},
      {"before its time", true, 4000, 2100, false, 2300, 200, false},
      {"found gone before its time only", true, 2200, 2100, false, 2300, 200,
       false},
      {"nobody was called", true, 1900, -1, false, 2300, 200, false},
      {"it answers again", true, 1900, 2100, true, 2300, 200, false},
      {"without a word", false, 0, 2100, false, 9000, 200, false},
      {"the directory is away", true, 1900, 2100, false, 9000, 8000, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    DepartureDetector watch;
    WorkerRegistration entry = MakeWorker("w1", "r1");
    entry.draining = row.draining;
    entry.drain_remaining = Milliseconds(row.left);
    watch.OnEntry(entry, At(0), At(0));
    if (row.nobody >= 0) watch.OnConnectionRefused(At(row.nobody));
    if (row.answered) watch.OnAnswer();
    const Time now = At(row.silent);
    CHECK(watch.HasLeft(kHeartbeat, now - Milliseconds(row.lag), now) ==
          row.left_for_good);
  }
}

TEST_CASE("a worker that comes back has announced nothing") {
  DepartureDetector watch;
  WorkerRegistration entry = MakeWorker("w1", "r1");
  entry.draining = true;
  watch.OnEntry(entry, At(0), At(0));
  entry.draining = false;
  watch.OnEntry(entry, At(1400), At(1500));
  CHECK_FALSE(watch.IsDeparture(kHeartbeat, At(1900), At(2000)));
}

}  // namespace
}  // namespace thornplank::testing
