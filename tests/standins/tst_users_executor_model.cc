// Tests which ends of runs the model of the users' executors lists, and which
// it takes as recorded.
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

// Guards against a stand-in that lists all ends at once, with which no test of
// the scheduler sees a list in pages: the users' executors list 500 at a time.
TEST_CASE("ends are listed 500 at a time until they are recorded") {
  struct Row {
    const char* name;
    int count;
    // Ends in the report after those up to 500, 1,000 and so on are recorded.
    std::vector<int> listed;
  };
  const std::vector<Row> rows = {
      {"499", 499, {499, 0, 0}},      {"500", 500, {500, 0, 0}},
      {"501", 501, {500, 1, 0}},      {"1,000", 1000, {500, 500, 0}},
      {"1,001", 1001, {500, 500, 1}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    UsersExecutorModel model("x", {1000, 1000, 8});
    for (int index = 0; index < row.count; ++index) {
      StartOrder order;
      order.task = {{"0123456789abcdef", 0, 0}, index};
      order.run = 1;
      order.deadline = Milliseconds(9000);
      order.epoch = 1;
      REQUIRE(model.Start(order, 0) == StartOutcome::kAccepted);
    }
    int64_t recorded = 0;
    int64_t epoch = 1;
    for (const int listed : row.listed) {
      // The second report is the one that a new leader reads.
      for (const bool new_leader : {false, true}) {
        StatusQuery query;
        epoch += new_leader ? 1 : 0;
        query.epoch = epoch;
        query.recorded_ends = recorded;
        WorkerStatusReport report;
        REQUIRE(model.Status(query, 200, &report) == CallOutcome::kOk);
        CHECK(report.running.empty());
        CHECK(static_cast<int>(report.ended.size()) == listed);
        CHECK(report.ends_complete == (listed < 500));
        if (!report.ended.empty()) {
          CHECK(report.ended.front().number == recorded + 1);
        }
        CHECK(model.HasEndAfter(recorded, 200) == (listed > 0));
      }
      recorded += 500;
    }
  }
}

}  // namespace
}  // namespace thornplank::standins
