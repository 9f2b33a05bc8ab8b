// Tests the lease table of the stand-in worker. The tests pass the time.
#include <doctest/doctest.h>

#include "standins/lease_table.h"

namespace thornplank::standins {
namespace {

const Time kStart = Time() + std::chrono::hours(1);

Time At(int64_t milliseconds) { return kStart + Milliseconds(milliseconds); }

Lease MakeLease(const std::string& id, int64_t accelerators,
                std::optional<Milliseconds> run_time = std::nullopt) {
  Lease lease;
  lease.lease_id = id;
  lease.accelerators = accelerators;
  lease.run_time = run_time;
  lease.deadline = At(1000);
  return lease;
}

LeaseTable MakeTable() {
  return LeaseTable(8, Milliseconds(100), Milliseconds(50), kStart);
}

std::string StateOf(const LeaseTable& table, const std::string& id) {
  auto found = table.leases().find(id);
  return found == table.leases().end() ? "gone" : ToString(found->second.state);
}

TEST_CASE("a grant is atomic, and idempotent by lease id") {
  struct Row {
    const char* name;
    std::vector<Lease> second_grant;
    bool granted;
    size_t leases;
  };
  const std::vector<Row> rows = {
      {"all fit", {MakeLease("b", 4), MakeLease("c", 1)}, true, 3},
      {"the last does not fit",
       {MakeLease("b", 4), MakeLease("c", 2)},
       false,
       1},
      {"a known lease needs no further accelerators",
       {MakeLease("a", 3), MakeLease("b", 5)},
       true,
       2},
      {"a repeated id counts once",
       {MakeLease("b", 4), MakeLease("b", 4)},
       true,
       2},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LeaseTable table = MakeTable();
    REQUIRE(table.Grant({MakeLease("a", 3)}, At(0)));
    CHECK(table.Grant(row.second_grant, At(1)) == row.granted);
    CHECK(table.leases().size() == row.leases);
    CHECK(StateOf(table, "a") == "throttled");
  }
}

TEST_CASE("a task makes progress only while it is not throttled") {
  LeaseTable table = MakeTable();
  table.Grant({MakeLease("a", 8, Milliseconds(300))}, At(0));
  table.Throttle({"a"}, false, At(100));
  table.Throttle({"a"}, true, At(200));
  table.Advance(At(600));
  CHECK(StateOf(table, "a") == "throttled");
  CHECK(table.Progress(table.leases().at("a"), At(600)) == Milliseconds(100));
  table.Throttle({"a"}, false, At(600));
  CHECK(table.next_event_time() == At(800));
  table.Advance(At(799));
  CHECK(StateOf(table, "a") == "running");
  table.Advance(At(800));
  CHECK(StateOf(table, "a") == "finished");
}

TEST_CASE("a lapsed lease ends at its deadline and frees its accelerators") {
  LeaseTable table = MakeTable();
  table.Grant({MakeLease("a", 8, Milliseconds(5000))}, At(0));
  table.Throttle({"a"}, false, At(0));
  table.Renew({"a"}, Milliseconds(700), At(900));
  table.Advance(At(1500));
  CHECK(StateOf(table, "a") == "running");
  CHECK_FALSE(table.Grant({MakeLease("b", 1)}, At(1500)));
  // The table did not advance in between; the history has the deadline anyway.
  table.Advance(At(4000));
  CHECK(StateOf(table, "a") == "gone");
  CHECK(table.history().back().what == "lapsed");
  CHECK(table.history().back().time == At(1600));
  CHECK(table.Grant({MakeLease("b", 8)}, At(4000)));
}

TEST_CASE("a task that would end after its term does not finish") {
  LeaseTable table = MakeTable();
  table.Grant({MakeLease("a", 8, Milliseconds(1200))}, At(0));
  table.Throttle({"a"}, false, At(0));
  table.Advance(At(4000));
  for (const LeaseEvent& event : table.history()) {
    CHECK(event.what != "finished");
  }
  CHECK(table.history().back().what == "lapsed");
}

TEST_CASE("a renewal after the deadline does not restore a lease") {
  LeaseTable table = MakeTable();
  table.Grant({MakeLease("a", 8)}, At(0));
  table.Renew({"a"}, Milliseconds(1000), At(1000));
  CHECK(StateOf(table, "a") == "gone");
}

TEST_CASE("faults change how tasks start and checkpoint") {
  struct Row {
    const char* name;
    LeaseFaults faults;
    const char* unthrottled;
    const char* after_checkpoint;
  };
  const std::vector<Row> rows = {
      {"none", {false, false}, "running", "checkpointed"},
      {"fails everything", {true, false}, "failed", "failed"},
      {"checkpoint hangs", {false, true}, "running", "checkpointing"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LeaseTable table = MakeTable();
    table.faults() = row.faults;
    table.Grant({MakeLease("a", 2)}, At(0));
    table.Throttle({"a"}, false, At(0));
    CHECK(StateOf(table, "a") == row.unthrottled);
    table.Checkpoint({"a"}, At(400));
    table.Advance(At(500));
    CHECK(StateOf(table, "a") == row.after_checkpoint);
  }
}

TEST_CASE("the progress of a checkpointed task does not change") {
  LeaseTable table = MakeTable();
  table.Grant({MakeLease("a", 2, Milliseconds(600))}, At(0));
  table.Throttle({"a"}, false, At(0));
  table.Checkpoint({"a"}, At(400));
  table.Advance(At(900));
  CHECK(StateOf(table, "a") == "checkpointed");
  CHECK(table.Progress(table.leases().at("a"), At(900)) == Milliseconds(400));
}

TEST_CASE("usage counts running tasks and lags") {
  LeaseTable table = MakeTable();
  table.Grant({MakeLease("a", 2), MakeLease("b", 4)}, At(0));
  table.Throttle({"b"}, false, At(100));
  CHECK(table.LaggedUsage(At(149)) == 0);
  CHECK(table.LaggedUsage(At(150)) == 4);
  table.Stop({"b"}, At(200));
  CHECK(table.LaggedUsage(At(249)) == 4);
  CHECK(table.LaggedUsage(At(250)) == 0);
}

}  // namespace
}  // namespace thornplank::standins
