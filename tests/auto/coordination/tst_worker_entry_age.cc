// Tests of how old an entry of the directory may be when a task is started by
// the capacity in it.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "worker_fleet_fixture.h"

namespace thornplank::testing {
namespace {

constexpr WorkerAvailability kUsable = WorkerAvailability::kUsable;
constexpr WorkerAvailability kOutdated = WorkerAvailability::kEntryOutdated;
// The worker's clock in its report.
constexpr Milliseconds kReported{100000};
constexpr int64_t kBornMs = 1796290960874;

// Seen after the report that it gives is set; the fixture's own worker has
// given one before.
constexpr char kWorker[] = "w2";

std::string WrittenAt(Milliseconds clock) {
  return kWrittenAt + std::to_string(clock.count());
}

// Guards against tasks that are started on a worker which shrank while it alone
// could not write its entry: it answers every call, and the directory shows the
// entry from before.
TEST_CASE("a worker is used only by an entry that is young enough") {
  const Milliseconds limit = WorkerBounds().max_entry_age();
  struct Row {
    const char* name;
    std::string entry;
    // From the report to the decision.
    Milliseconds later;
    WorkerAvailability availability;
    // Read after the report; "" if there is none.
    std::string entry_since = "";
  };
  const std::vector<Row> rows = {
      {"written just now", WrittenAt(kReported), Milliseconds(0), kUsable},
      {"written a heartbeat ago",
       WrittenAt(kReported - WorkerBounds().heartbeat), Milliseconds(0),
       kUsable},
      {"as old as allowed", WrittenAt(kReported - limit), Milliseconds(0),
       kUsable},
      // As a new leader reads it first, or a write that was carried out late.
      {"too old when it is read",
       WrittenAt(kReported - limit - Milliseconds(1)), Milliseconds(0),
       kOutdated},
      {"too old since", WrittenAt(kReported), limit * 11 / 10, kOutdated},
      {"of unknown age", "listed", limit * 2, kUsable},
      // A clock that is 2% slow shows less than the time since the report.
      {"young by a slow clock", WrittenAt(kReported), Milliseconds(60000),
       kUsable, WrittenAt(kReported + Milliseconds(58800) - limit)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    f.calls.report.clock = kReported;
    const Time read = Fixture::Now();
    f.fleet.OnDirectoryRecord({kWorker, row.entry, 1}, read);
    if (!row.entry_since.empty()) {
      f.fleet.OnDirectoryRecord({kWorker, row.entry_since, 2},
                                read + row.later);
    }
    const WorkerTracker& worker = f.fleet.trackers().at(kWorker);
    CHECK(worker.availability(read + row.later) == row.availability);
  }
}

// Guards against a worker that returns in another size under its id, and is
// used by the entry of the incarnation before.
TEST_CASE("an entry of another incarnation shows no capacity") {
  struct Row {
    const char* name;
    std::string entry;
    WorkerAvailability availability;
  };
  const std::string born = kBornAt + std::to_string(kBornMs);
  const std::string born_before = kBornAt + std::to_string(kBornMs - 5000);
  for (const Row& row :
       {Row{"the same incarnation", born, kUsable},
        Row{"the one before", born_before, kOutdated},
        Row{"an entry that does not say", "listed", kUsable}}) {
    CAPTURE(row.name);
    Fixture f;
    f.calls.report.incarnation_start.time = FromUnixMilliseconds(kBornMs);
    f.fleet.OnDirectoryRecord({kWorker, row.entry, 1}, Fixture::Now());
    const WorkerTracker& worker = f.fleet.trackers().at(kWorker);
    CHECK(worker.availability(Fixture::Now()) == row.availability);
  }
}

// Guards against the same where no start times are told, and against a worker
// that stays unused after it, since its clock has restarted.
TEST_CASE("an entry of another clock shows no capacity") {
  Fixture f;
  f.calls.report.clock = kReported;
  f.fleet.OnDirectoryRecord({kWorker, WrittenAt(kReported), 1}, Fixture::Now());
  const WorkerTracker& worker = f.fleet.trackers().at(kWorker);
  REQUIRE(worker.availability(Fixture::Now()) == kUsable);
  f.calls.report.clock = Milliseconds(50);
  f.fleet.ProbeIfQuiet(kWorker, Fixture::Now() + std::chrono::seconds(1));
  CHECK(worker.availability(Fixture::Now()) == kOutdated);
  f.fleet.OnDirectoryRecord({kWorker, WrittenAt(Milliseconds(40)), 2},
                            Fixture::Now());
  CHECK(worker.availability(Fixture::Now()) == kUsable);
}

// Guards against an order that goes out by an entry which grew too old between
// the decision and the order.
TEST_CASE("no start is sent by an entry that is too old") {
  const Milliseconds limit = WorkerBounds().max_entry_age();
  struct Row {
    const char* name;
    Milliseconds age;
    int starts;
  };
  for (const Row& row : {Row{"young", limit - Milliseconds(500), 1},
                         Row{"too old", limit + Milliseconds(500), 0}}) {
    CAPTURE(row.name);
    Fixture f;
    f.calls.report.clock = kReported;
    f.fleet.OnDirectoryRecord({kWorker, WrittenAt(kReported - row.age), 1},
                              Fixture::Now());
    f.fleet.Add(kWorker, kTask, 1, RunProfile(), Fixture::Now());
    f.fleet.SendStart(kWorker, kTask, 1, {});
    CHECK(f.calls.starts == row.starts);
    CHECK(f.ends.size() == static_cast<size_t>(1 - row.starts));
  }
}

// Guards against a worker that stays unused after its entry was too old.
TEST_CASE("a younger entry makes a worker usable at once") {
  Fixture f;
  f.calls.report.clock = kReported;
  const Milliseconds limit = WorkerBounds().max_entry_age();
  f.fleet.OnDirectoryRecord({kWorker, WrittenAt(kReported - limit * 2), 1},
                            Fixture::Now());
  const WorkerTracker& worker = f.fleet.trackers().at(kWorker);
  REQUIRE(worker.availability(Fixture::Now()) == kOutdated);
  const int changes = f.changes;
  f.fleet.OnDirectoryRecord({kWorker, WrittenAt(kReported), 2}, Fixture::Now());
  CHECK(worker.availability(Fixture::Now()) == kUsable);
  CHECK(f.changes == changes + 1);
}

}  // namespace
}  // namespace thornplank::testing
