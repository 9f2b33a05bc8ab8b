// Tests of what an outage of the store leaves known of the capacity of workers.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

constexpr WorkerAvailability kUsable = WorkerAvailability::kUsable;
constexpr WorkerAvailability kOutdated = WorkerAvailability::kEntryOutdated;
// More than kMaxReadGap.
constexpr Milliseconds kOutage{4600};

// An entry that is read together with others at the end of a gap may have been
// written at its begin.
enum class EntryRead { kNever, kWithFirstRead, kAfterFirstRead };

// Guards against tasks that are started by an entry from before an outage, on a
// worker that shrank while it could not write: a fresh read of the directory
// shows nothing of that. A worker that never writes again must not be blocked
// for ever.
TEST_CASE("after an outage a worker is used by an entry written since") {
  struct Row {
    const char* name;
    // Between the two reads of the directory.
    Milliseconds gap;
    EntryRead entry;
    // Whether the platform removed the entry during the outage.
    bool removed;
    // From the second read to the decision.
    Milliseconds later;
    WorkerAvailability availability;
  };
  const Milliseconds lapse = WorkerBounds().entry_lapse();
  const std::vector<Row> rows = {
      {"no outage", Milliseconds(1000), EntryRead::kNever, false,
       Milliseconds(0), kUsable},
      {"one read without an answer", Milliseconds(2200), EntryRead::kNever,
       false, Milliseconds(0), kUsable},
      {"no entry since", kOutage, EntryRead::kNever, false, Milliseconds(0),
       kOutdated},
      {"an entry of unknown age", kOutage, EntryRead::kWithFirstRead, false,
       Milliseconds(0), kOutdated},
      {"an entry written since", kOutage, EntryRead::kAfterFirstRead, false,
       Milliseconds(0), kUsable},
      {"removed", kOutage, EntryRead::kNever, true, Milliseconds(100),
       kOutdated},
      {"removed and written again", kOutage, EntryRead::kAfterFirstRead, true,
       Milliseconds(100), kUsable},
      {"silent for less than three heartbeats", kOutage, EntryRead::kNever,
       false, lapse - Milliseconds(1), kOutdated},
      {"still listed after three heartbeats", kOutage, EntryRead::kNever, false,
       lapse, kUsable},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    const Time begin = Fixture::Now();
    f.fleet.OnDirectoryCaughtUp(begin);
    const Time back = begin + row.gap;
    if (row.removed) {
      f.fleet.OnDirectoryRecord({"w1", std::nullopt, 1}, back);
    }
    if (row.entry == EntryRead::kWithFirstRead) {
      f.fleet.OnDirectoryRecord({"w1", "listed", 2}, back);
    }
    f.fleet.OnDirectoryCaughtUp(back);
    if (row.entry == EntryRead::kAfterFirstRead) {
      f.fleet.OnDirectoryRecord({"w1", "listed", 3}, back);
    }
    const WorkerTracker& worker = f.fleet.trackers().at("w1");
    CHECK(worker.availability(back + row.later) == row.availability);
  }
}

// Guards against an entry from before an outage that counts as written since
// because it is read once more: the store drops its history, and the directory
// is read from its start again.
TEST_CASE("an entry that is read again is not an entry written again") {
  struct Row {
    const char* name;
    int64_t offset;
    WorkerAvailability availability;
  };
  for (const Row& row : {Row{"the same entry", 5, kOutdated},
                         Row{"an earlier entry", 4, kOutdated},
                         Row{"a later entry", 6, kUsable}}) {
    CAPTURE(row.name);
    Fixture f;
    const Time begin = Fixture::Now();
    f.fleet.OnDirectoryRecord({"w1", "listed", 5}, begin);
    f.fleet.OnDirectoryCaughtUp(begin);
    const Time back = begin + kOutage;
    f.fleet.OnDirectoryCaughtUp(back);
    f.fleet.OnDirectoryRecord({"w1", "listed", row.offset}, back);
    f.fleet.OnDirectorySnapshot({"w1"}, back);
    f.fleet.OnDirectoryCaughtUp(back);
    const WorkerTracker& worker = f.fleet.trackers().at("w1");
    CHECK(worker.availability(back) == row.availability);
  }
}

// Guards against a leader that takes over after an outage and takes a first
// read of the directory for the state of its workers.
TEST_CASE("a new leader knows which first entries an outage may have aged") {
  struct Row {
    const char* name;
    // From the end of the outage to the first read; nullopt without an outage.
    std::optional<Milliseconds> returned_before;
    // Whether the directory could not be read at first.
    bool was_lost;
    WorkerAvailability availability;
  };
  const Milliseconds rewritten = WorkerBounds().entry_rewrite_bound();
  const std::vector<Row> rows = {
      {"no outage", std::nullopt, false, kUsable},
      {"the store is just back", Milliseconds(100), false, kOutdated},
      {"workers have written since", rewritten, false, kUsable},
      {"the directory alone was lost", std::nullopt, true, kOutdated},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Time now = Fixture::Now();
    WorkerFleetSettings settings;
    if (row.returned_before) {
      settings.store_returned = now - *row.returned_before;
    }
    Fixture f(settings);
    f.fleet.OnDirectoryCaughtUp(now, row.was_lost);
    const WorkerTracker& worker = f.fleet.trackers().at("w1");
    CHECK(worker.availability(now) == row.availability);
    f.fleet.OnDirectoryRecord({"w1", "listed", 1}, now);
    CHECK(worker.availability(now) == kUsable);
  }
}

// Guards against an order that goes out by an entry from before an outage since
// the record of the start was stored only when the store was back.
TEST_CASE("no start that was decided before an outage is sent after it") {
  struct Row {
    const char* name;
    // How long ago the start was decided.
    Milliseconds decided;
    // How long ago the directory was read.
    std::vector<Milliseconds> reads;
    // Whether the worker has written its entry since.
    bool rewritten;
    int starts;
  };
  const std::vector<Row> rows = {
      {"no outage", Milliseconds(100), {Milliseconds(200)}, false, 1},
      {"the record was slow",
       Milliseconds(5000),
       {Milliseconds(5100), Milliseconds(3000), Milliseconds(1000)},
       false,
       1},
      {"the directory has not been read for a moment",
       Milliseconds(100),
       {Milliseconds(2200)},
       false,
       1},
      {"the directory alone cannot be read",
       Milliseconds(100),
       {Milliseconds(2700)},
       false,
       0},
      {"the directory was not read since",
       Milliseconds(5000),
       {Milliseconds(5100)},
       false,
       0},
      {"the entry is older",
       Milliseconds(5000),
       {Milliseconds(5100), Milliseconds(100)},
       false,
       0},
      {"the entry was written since",
       Milliseconds(5000),
       {Milliseconds(5100), Milliseconds(100)},
       true,
       1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    const Time now = Fixture::Now();
    for (const Milliseconds& ago : row.reads) {
      f.fleet.OnDirectoryCaughtUp(now - ago);
    }
    if (row.rewritten) f.fleet.OnDirectoryRecord({"w1", "listed", 1}, now);
    f.fleet.Add("w1", kTask, 1, RunProfile(), now - row.decided);
    f.fleet.SendStart("w1", kTask, 1, {});
    CHECK(f.calls.starts == row.starts);
    CHECK(f.ends.size() == static_cast<size_t>(1 - row.starts));
  }
}

}  // namespace
}  // namespace thornplank::testing
