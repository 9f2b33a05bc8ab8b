// Scheduling parameters that must fit the time limits of a deployment.
#include <doctest/doctest.h>

#include <vector>

#include "planner_cluster.h"
#include "workload/worker_bounds.h"

namespace thornplank::testing {
namespace {

// Timeout of a call to a worker.
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
      {"defaults", WorkerBounds()},
      {"short leases, fast stops", Make(6000, 200, 3000, 3000, 2700, 100)},
      {"long leases, slow stops", Make(20000, 1200, 5000, 6000, 6000, 2000)},
      {"tight gangs", Make(4000, 300, 1200, 2000, 1500, 0)},
      {"stops of a quarter of the reclaim bound",
       Make(10000, 900, 4000, 4000, 3400, 100)},
  };
  return kRows;
}

TEST_CASE("all scheduling parameters fit the bounds") {
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
    CHECK(bounds.max_entry_age() + bounds.start_order_term() <=
          bounds.resize_tolerance + bounds.heartbeat);
    CHECK(bounds.max_entry_age() > bounds.heartbeat);
  }
  CHECK(WorkerBounds().start_order_term() > kCallTimeout);
}

TEST_CASE("room freed by evictions is used within the reclaim bound") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    PlannerCluster cluster(2, 2, row.bounds);
    cluster.ledger.Add(MakeJob(Id(1), {MakeStep(32, 1)}, 2), cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 0);
    const Time submitted = cluster.now;
    cluster.ledger.Add(MakeJob(Id(2), {Gang(2, 8, true)}, 0), cluster.now);
    REQUIRE_FALSE(cluster.Round().stops.empty());
    // Other urgent tasks arrive; the room must stay reserved.
    cluster.ledger.Add(MakeJob(Id(3), {MakeStep(16, 1)}, 0), cluster.now);
    cluster.now += row.bounds.stop_bound;
    cluster.CarryOutStops();
    cluster.Round();
    CHECK(cluster.ledger.Find(Id(2))->occurrences[0][0].waiting == 0);
    CHECK(cluster.now - submitted < row.bounds.reclaim_bound);
  }
}

TEST_CASE(
    "a guaranteed gang spreads over racks early enough to start in time") {
  for (const Row& row : Rows()) {
    CAPTURE(row.name);
    PlannerCluster cluster(2, 2, row.bounds);
    cluster.guarantees = {{"north", 16}};
    // One worker of each rack is occupied permanently; an empty rack could hold
    // the gang.
    StepSpec lasting = MakeStep(2, 8);
    lasting.long_running = true;
    lasting.max_per_worker = 1;
    lasting.count = 1;
    StepSpec other = lasting;
    lasting.data_rack = "r0";
    other.data_rack = "r1";
    cluster.ledger.Add(MakeJob(Id(1), {lasting, other}, 1), cluster.now);
    cluster.Round();
    REQUIRE(cluster.free_accelerators() == 16);
    const Time submitted = cluster.now;
    cluster.ledger.Add(MakeJob(Id(2), {Gang(2, 8, true)}, 0), cluster.now);
    CHECK(cluster.Round().starts.empty());
    cluster.now += row.bounds.urgent_rack_wait() + Milliseconds(1);
    CHECK(cluster.Round().starts.size() == 1);
    CHECK(cluster.now - submitted < row.bounds.reclaim_bound);
  }
}

}  // namespace
}  // namespace thornplank::testing
