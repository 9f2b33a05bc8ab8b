// Tests which ends of runs the model of the users' executors takes as recorded.
#include <doctest/doctest.h>

#include <vector>

#include "standins/users_executor_model.h"

namespace thornplank::standins {
namespace {

TEST_CASE("an end that is recorded after its lease lapsed does not count") {
  struct Row {
    const char* name;
    // When the scheduler queries the status, and until when it renews the lease
    // with that query. The run ends at 100.
    int64_t queried_at;
    int64_t renewed_until;
    // When the scheduler reports the end as recorded.
    int64_t recorded_at;
    bool expect_recorded;
  };
  const std::vector<Row> rows = {
      {"within the lease", 200, 1500, 300, true},
      {"within a lease that was renewed", 1000, 4000, 3000, true},
      {"after the lease lapsed", 200, 1500, 2000, false},
      {"renewed only after it lapsed", 2000, 4000, 3000, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UsersExecutorModel model("x", {1000, 1000, 8});
    StartOrder order;
    order.task = {{"0123456789abcdef", 0, 0}, 0};
    order.run = 1;
    order.payload = R"({"work_ms":100})";
    order.deadline = Milliseconds(1500);
    order.epoch = 1;
    REQUIRE(model.Start(order, 0) == StartOutcome::kAccepted);
    StatusQuery query;
    query.epoch = 1;
    query.lease_until = Milliseconds(row.renewed_until);
    WorkerStatusReport report;
    REQUIRE(model.Status(query, row.queried_at, &report) == CallOutcome::kOk);
    REQUIRE(report.ended.size() == 1);
    CHECK(report.ended[0].end == RunEnd::kDone);
    query.recorded_ends = 1;
    query.lease_until.reset();
    REQUIRE(model.Status(query, row.recorded_at, &report) == CallOutcome::kOk);
    REQUIRE(model.history().size() == 1);
    CHECK(model.history()[0].recorded == row.expect_recorded);
  }
}

}  // namespace
}  // namespace thornplank::standins
