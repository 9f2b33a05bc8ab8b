// Choice of the executor and counts of slots.
#include "routing/executor_pool.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "routing_fixtures.h"

namespace thornplank {
namespace {

using routing_test::At;
using routing_test::MakeExecutors;
using routing_test::MakeResult;
using std::chrono::milliseconds;

// Four executors, one in each failure domain. The entry is in the domain of the
// second one, executor-101.
struct Fixture {
  explicit Fixture(int slots = 8, int connections = 60)
      : pool(1, "domain-1"), executors(MakeExecutors(4, slots)) {
    pool.SetExecutors(executors, At(0));
    pool.SetAllocation({slots, slots, slots, slots}, connections);
  }

  void Load(const std::string& name, int count) {
    for (int i = 0; i < count; ++i) {
      pool.BeginAttempt(pool.Find(name), At(0));
    }
  }

  void Refuse(const std::string& name) {
    pool.BeginAttempt(pool.Find(name), At(0));
    AttemptEnd end;
    end.start = At(0);
    end.result = MakeResult(AttemptOutcome::kRefusedNotRun);
    pool.EndAttempt(pool.Find(name), end, At(0));
  }

  ExecutorPool pool;
  std::vector<ExecutorInfo> executors;
};

TEST_CASE("the least loaded executor is picked, then the local one") {
  struct Row {
    std::string name;
    std::vector<int> load;
    std::string excluded;
    std::string expected;
  };
  const Row rows[] = {
      {"all idle", {0, 0, 0, 0}, "", "executor-101"},
      {"equal load", {3, 3, 3, 3}, "", "executor-101"},
      {"the local one is loaded", {1, 1, 1, 0}, "", "executor-103"},
      {"the local one was tried", {2, 0, 1, 2}, "executor-101", "executor-102"},
      {"all are full", {8, 8, 8, 8}, "", ""},
      {"only the excluded one has room", {8, 0, 8, 8}, "executor-101", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture fixture;
    for (int i = 0; i < 4; ++i) {
      fixture.Load("executor-" + std::to_string(100 + i),
                   row.load[static_cast<size_t>(i)]);
    }
    const Executor* picked = fixture.pool.Pick(row.excluded, At(1));
    CHECK((picked == nullptr ? "" : picked->info.name) == row.expected);
  }
}

TEST_CASE("a refusal starts a backoff and reduces the executor's limit") {
  Fixture fixture;
  fixture.Refuse("executor-101");
  CHECK(fixture.pool.usable_slots() == 4 * 8 - 2);
  CHECK(fixture.pool.Pick("", At(0))->info.name != "executor-101");
  CHECK(fixture.pool.Pick("", At(1000))->info.name == "executor-101");
}

TEST_CASE("the connection limit bounds the usable slots") {
  Fixture fixture(8, 3);
  CHECK(fixture.pool.usable_slots() == 4 * 3);
}

TEST_CASE("slot totals stay correct when executors change") {
  Fixture fixture;
  fixture.Refuse("executor-101");
  fixture.executors[1].address = "127.0.0.1:9999";
  fixture.pool.SetExecutors(fixture.executors, At(0));
  fixture.pool.SetAllocation({8, 8, 8, 8}, 60);
  CHECK(fixture.pool.usable_slots() == 32);
  fixture.executors.pop_back();
  fixture.pool.SetExecutors(fixture.executors, At(0));
  fixture.pool.SetAllocation({8, 8, 8}, 60);
  CHECK(fixture.pool.usable_slots() == 24);
  CHECK(fixture.pool.available_share() == doctest::Approx(1.0));
}

}  // namespace
}  // namespace thornplank
