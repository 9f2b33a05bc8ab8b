// Who is asked about, and how long the word of the advisor holds.
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

TEST_CASE("a ticket is used for the step it was given for, while it holds") {
  AdviceCache book;
  const auto question = book.NextQuery(kStep, {"w0", "w1"}, At(0));
  REQUIRE(question == Workers(2));
  book.OnAnswer(kStep, question, {{"w1", "t1"}}, milliseconds(3000), At(0));
  struct Row {
    std::string name;
    StepRef step;
    std::string worker;
    int64_t at;
    bool usable;
  };
  const std::vector<Row> rows = {
      {"approved", kStep, "w1", 100, true},
      {"turned down", kStep, "w0", 100, false},
      {"never asked about", kStep, "w7", 100, false},
      {"another step", kOther, "w1", 100, false},
      {"nearly over when it would arrive", kStep, "w1", 2800, false},
      {"over", kStep, "w1", 4000, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto ticket = book.FindTicket(row.step, row.worker, At(row.at));
    CHECK(ticket.has_value() == row.usable);
    if (ticket) CHECK(*ticket == "t1");
  }
}

TEST_CASE(
    "questions are few: thirty at first, then the rest, no verdict twice") {
  AdviceCache book;
  const auto first = book.NextQuery(kStep, Workers(150), At(0));
  CHECK(first.size() == 30);
  CHECK(book.pending_queries() == 1);
  CHECK(book.NextQuery(kStep, Workers(150), At(1)).empty());
  book.OnAnswer(kStep, first, {}, milliseconds(3000), At(0));
  const auto second = book.NextQuery(kStep, Workers(150), At(50));
  CHECK(second.size() == 100);
  CHECK(second.front() == "w30");
  book.OnAnswer(kStep, second, {{"w30", "t"}}, milliseconds(3000), At(50));
  const auto third = book.NextQuery(kStep, Workers(150), At(100));
  CHECK(third.size() == 20);
  book.OnAnswer(kStep, third, {}, milliseconds(3000), At(100));
  CHECK(book.NextQuery(kStep, Workers(150), At(200)).empty());
  // Only what was approved may be approved anew.
  const auto renewal = book.NextQuery(kStep, Workers(150), At(4000));
  CHECK(renewal == std::vector<std::string>{"w30"});
}

TEST_CASE("a question without an answer is asked again after a pause") {
  AdviceCache book;
  REQUIRE(book.NextQuery(kStep, Workers(2), At(0)).size() == 2);
  book.OnQueryFailed(kStep, At(1000));
  CHECK(book.pending_queries() == 0);
  CHECK(book.NextQuery(kStep, Workers(2), At(1100)).empty());
  CHECK(book.NextQuery(kStep, Workers(2), At(1300)).size() == 2);
}

TEST_CASE(
    "a refused ticket is sought anew, a forgotten step's answer is lost") {
  AdviceCache book;
  const auto question = book.NextQuery(kStep, {"w0"}, At(0));
  book.OnAnswer(kStep, question, {{"w0", "t"}}, milliseconds(3000), At(0));
  book.OnTicketRefused(kStep, "w0");
  CHECK_FALSE(book.FindTicket(kStep, "w0", At(10)).has_value());
  CHECK(book.NextQuery(kStep, {"w0"}, At(10)).size() == 1);
  book.RetainOnly({kOther});
  book.OnAnswer(kStep, question, {{"w0", "t"}}, milliseconds(3000), At(10));
  CHECK_FALSE(book.FindTicket(kStep, "w0", At(20)).has_value());
}

}  // namespace
}  // namespace thornplank::testing
