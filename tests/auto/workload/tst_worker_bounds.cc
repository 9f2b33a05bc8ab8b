// Figures of scheduling that must fit what a deployment promises.
#include <doctest/doctest.h>

#include <vector>

#include "planner_world.h"
#include "workload/worker_bounds.h"

namespace thornplank::testing {
namespace {

// How long a call of a worker is waited for.
constexpr Milliseconds kCallTimeout{900};

struct Row {
  const char* name;
  WorkerBounds bounds;
};

WorkerBounds Make(int longest_lease, int stop, int gang, int cancel,
                  int reclaim, int restore) {
  WorkerBounds bounds;
  bounds.longest_lease = Milliseconds(longest_lease);
  bounds.stop_bound = Milliseconds(stop);
  bounds.gang_patience = Milliseconds(gang);
  bounds.cancel_bound = Milliseconds(cancel);
  bounds.reclaim_bound = Milliseconds(reclaim);
  bounds.restore_time = Milliseconds(restore);
  return bounds;
}

const std::vector<Row>& Rows() {
  static const std::vector<Row> kRows = {
      {"as by default", WorkerBounds()},
      {"short leases, fast stops", Make(6000, 200, 3000, 3000, 2700, 100)},
      {"long leases, slow stops", Make(20000, 1200, 5000, 6000, 6000, 2000)},
      {"tight gangs", Make(4000, 300, 1200, 2000, 1500, 0)},
      {"stops of a quarter of the reclaim",
       Make(10000, 900, 4000, 4000, 3400, 100)},
  };
  return kRows;
}

TEST_CASE("every figure fits the bounds") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    const WorkerBounds& bounds = row.bounds;
    CHECK(bounds.lease_term() <= bounds.longest_lease);
    CHECK(bounds.start_order_term() < bounds.gang_patience);
    CHECK(bounds.stop_resend_delay() > bounds.stop_bound);
    CHECK(bounds.move_cost() > bounds.stop_bound);
    CHECK(bounds.reservation_term() > bounds.stop_bound * 2);
    CHECK(bounds.urgent_rack_wait() < bounds.reclaim_bound);
    CHECK(bounds.max_board_age() < bounds.cancel_bound);
    CHECK(bounds.restart_cost() >= bounds.restore_time);
  }
  CHECK(WorkerBounds().start_order_term() > kCallTimeout);
}

TEST_CASE("room taken from others is used within the bound on reclaim") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    World world(2, 2, row.bounds);
    world.ledger.Add(MakeJob(Id(1), {MakeStep(32, 1)}, 2), world.now);
    world.Round();
    REQUIRE(world.free_accelerators() == 0);
    const Time submitted = world.now;
    world.ledger.Add(MakeJob(Id(2), {Gang(2, 8, true)}, 0), world.now);
    REQUIRE_FALSE(world.Round().stops.empty());
    // Others of the same urgency come; the room is kept from them.
    world.ledger.Add(MakeJob(Id(3), {MakeStep(16, 1)}, 0), world.now);
    world.now += row.bounds.stop_bound;
    world.CarryOutStops();
    world.Round();
    CHECK(world.ledger.Find(Id(2))->occurrences[0][0].waiting == 0);
    CHECK(world.now - submitted < row.bounds.reclaim_bound);
  }
}

TEST_CASE(
    "a guaranteed gang spreads over racks early enough to begin in time") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    World world(2, 2, row.bounds);
    world.guarantees = {{"north", 16}};
    // One worker of each rack is held for good; a rack could hold the gang.
    StepSpec lasting = MakeStep(2, 8);
    lasting.long_running = true;
    lasting.max_per_worker = 1;
    lasting.count = 1;
    StepSpec other = lasting;
    lasting.data_rack = "r0";
    other.data_rack = "r1";
    world.ledger.Add(MakeJob(Id(1), {lasting, other}, 1), world.now);
    world.Round();
    REQUIRE(world.free_accelerators() == 16);
    const Time submitted = world.now;
    world.ledger.Add(MakeJob(Id(2), {Gang(2, 8, true)}, 0), world.now);
    CHECK(world.Round().starts.empty());
    world.now += row.bounds.urgent_rack_wait() + Milliseconds(1);
    CHECK(world.Round().starts.size() == 1);
    CHECK(world.now - submitted < row.bounds.reclaim_bound);
  }
}

}  // namespace
}  // namespace thornplank::testing
