// Which workers are queried, and how long answers are valid.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "workload/advice_cache.h"

namespace thornplank::testing {
namespace {

using std::chrono::milliseconds;

const StepRef kStep{"00000000000000aa", 0, 0};
const StepRef kOther{"00000000000000aa", 0, 1};

Time At(int64_t ms) {
  return Time{} + std::chrono::hours(1) + milliseconds(ms);
}

std::vector<std::string> Workers(int count) {
  std::vector<std::string> workers;
  workers.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    workers.push_back("w" + std::to_string(i));
  }
  return workers;
}

TEST_CASE(
    "a ticket is used for its step and worker until shortly before it "
    "expires") {
  AdviceCache cache;
  const auto query = cache.NextQuery(kStep, {"w0", "w1"}, At(0));
  REQUIRE(query == Workers(2));
  cache.OnAnswer(kStep, query, {{"w1", "t1"}}, milliseconds(3000), At(0));
  struct Row {
    std::string name;
    StepRef step;
    std::string worker;
    int64_t at;
    bool usable;
  };
  const std::vector<Row> rows = {
      {"approved", kStep, "w1", 100, true},
      {"rejected", kStep, "w0", 100, false},
      {"never asked about", kStep, "w7", 100, false},
      {"another step", kOther, "w1", 100, false},
      {"expires before it would arrive", kStep, "w1", 2800, false},
      {"expired", kStep, "w1", 4000, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto ticket = cache.FindTicket(row.step, row.worker, At(row.at));
    CHECK(ticket.has_value() == row.usable);
    if (ticket) CHECK(*ticket == "t1");
  }
}

TEST_CASE("queries name thirty workers at first, then the rest, none twice") {
  AdviceCache cache;
  const auto first = cache.NextQuery(kStep, Workers(150), At(0));
  CHECK(first.size() == 30);
  CHECK(cache.pending_queries() == 1);
  CHECK(cache.NextQuery(kStep, Workers(150), At(1)).empty());
  cache.OnAnswer(kStep, first, {}, milliseconds(3000), At(0));
  const auto second = cache.NextQuery(kStep, Workers(150), At(50));
  CHECK(second.size() == 100);
  CHECK(second.front() == "w30");
  cache.OnAnswer(kStep, second, {{"w30", "t"}}, milliseconds(3000), At(50));
  const auto third = cache.NextQuery(kStep, Workers(150), At(100));
  CHECK(third.size() == 20);
  cache.OnAnswer(kStep, third, {}, milliseconds(3000), At(100));
  CHECK(cache.NextQuery(kStep, Workers(150), At(200)).empty());
  // Only workers that were approved are asked about again.
  const auto renewal = cache.NextQuery(kStep, Workers(150), At(4000));
  CHECK(renewal == std::vector<std::string>{"w30"});
}

TEST_CASE("a query that failed is repeated after a delay") {
  AdviceCache cache;
  REQUIRE(cache.NextQuery(kStep, Workers(2), At(0)).size() == 2);
  cache.OnQueryFailed(kStep, At(1000));
  CHECK(cache.pending_queries() == 0);
  CHECK(cache.NextQuery(kStep, Workers(2), At(1100)).empty());
  CHECK(cache.NextQuery(kStep, Workers(2), At(1300)).size() == 2);
}

TEST_CASE(
    "a refused ticket is requested again, answers for dropped steps are "
    "ignored") {
  AdviceCache cache;
  const auto query = cache.NextQuery(kStep, {"w0"}, At(0));
  cache.OnAnswer(kStep, query, {{"w0", "t"}}, milliseconds(3000), At(0));
  cache.OnTicketRefused(kStep, "w0");
  CHECK_FALSE(cache.FindTicket(kStep, "w0", At(10)).has_value());
  CHECK(cache.NextQuery(kStep, {"w0"}, At(10)).size() == 1);
  cache.RetainOnly({kOther});
  cache.OnAnswer(kStep, query, {{"w0", "t"}}, milliseconds(3000), At(10));
  CHECK_FALSE(cache.FindTicket(kStep, "w0", At(20)).has_value());
}

}  // namespace
}  // namespace thornplank::testing
