// Order of accounts and requests in the fair queue.
#include "routing/fair_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "routing_fixtures.h"

namespace thornplank {
namespace {

using routing_test::At;
using routing_test::MakeAccount;
using std::chrono::milliseconds;

bool Any(uint64_t) { return true; }

void Fill(FairQueue* queue, const std::string& account, int count) {
  for (int i = 0; i < count; ++i) {
    queue->Push(account, {static_cast<uint64_t>(i + 1), At(10000 + i)});
  }
}

// Begins `count` attempts in the queue's order; returns the number per account.
std::map<std::string, int> BeginMany(FairQueue* queue, int count) {
  std::map<std::string, int> begun;
  for (int i = 0; i < count; ++i) {
    const std::optional<std::string> account = queue->NextAccount({});
    if (!account.has_value()) {
      break;
    }
    queue->Take(*account, Any);
    queue->BeginAttempt(*account);
    ++begun[*account];
  }
  return begun;
}

TEST_CASE("slots are divided by guarantee, then by weight") {
  AccountLimits closed = MakeAccount("b", 5);
  closed.borrowing = false;
  struct Row {
    std::string name;
    std::vector<AccountLimits> accounts;
    int a_waiting;
    int b_waiting;
    int slots;
    int a;
    int b;
  };
  const Row rows[] = {
      {"equal weights",
       {MakeAccount("a"), MakeAccount("b")},
       500,
       500,
       100,
       50,
       50},
      {"weights of 1 and 3",
       {MakeAccount("a"), MakeAccount("b", 0, 3)},
       500,
       500,
       100,
       25,
       75},
      {"a guarantee is served first",
       {MakeAccount("a"), MakeAccount("b", 80)},
       500,
       500,
       100,
       10,
       90},
      {"an unused guarantee is borrowed",
       {MakeAccount("a"), MakeAccount("b", 80)},
       500,
       20,
       100,
       80,
       20},
      {"no borrowing beyond the guarantee",
       {MakeAccount("a"), closed},
       500,
       500,
       100,
       95,
       5},
      {"guarantees larger than the slots are divided",
       {MakeAccount("a", 100), MakeAccount("b", 100)},
       500,
       500,
       100,
       50,
       50},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FairQueue queue;
    queue.SetLimits(row.accounts);
    Fill(&queue, "a", row.a_waiting);
    Fill(&queue, "b", row.b_waiting);
    const std::map<std::string, int> begun = BeginMany(&queue, row.slots);
    CHECK(begun.at("a") >= row.a - 1);
    CHECK(begun.at("a") <= row.a + 1);
    CHECK(begun.at("b") >= row.b - 1);
    CHECK(begun.at("b") <= row.b + 1);
  }
}

TEST_CASE("an account with longer requests gets fewer of them") {
  FairQueue queue;
  queue.SetLimits({MakeAccount("long"), MakeAccount("short")});
  Fill(&queue, "long", 2000);
  Fill(&queue, "short", 2000);
  std::map<std::string, int> begun;
  for (int i = 0; i < 1000; ++i) {
    const std::string account = *queue.NextAccount({});
    queue.Take(account, Any);
    const double charged_seconds = queue.BeginAttempt(account);
    const Duration latency = milliseconds(account == "long" ? 40 : 10);
    queue.RecordAnswer(account, latency);
    queue.EndAttempt(account, charged_seconds, latency);
    ++begun[account];
  }
  CHECK(begun["short"] >= 3.5 * begun["long"]);
  CHECK(begun["short"] <= 4.5 * begun["long"]);
}

TEST_CASE("an idle account gets no credit for slots it did not use") {
  FairQueue queue;
  queue.SetLimits({MakeAccount("a"), MakeAccount("b")});
  Fill(&queue, "a", 1000);
  BeginMany(&queue, 500);
  Fill(&queue, "b", 1000);
  CHECK(BeginMany(&queue, 100)["b"] <= 51);
}

TEST_CASE("the earliest deadline of an account goes first") {
  FairQueue queue;
  queue.SetLimits({MakeAccount("a")});
  queue.Push("a", {1, At(300)});
  queue.Push("a", {2, At(100)});
  queue.Push("a", {3, At(200)});
  queue.Push("a", {4, At(100)});
  CHECK(queue.RequestsAhead("a", At(100)) == 2);
  CHECK(queue.RequestsAhead("a", At(250)) == 3);
  CHECK(queue.Remove("a", {3, At(200)}));
  CHECK_FALSE(queue.Remove("a", {3, At(200)}));
  for (uint64_t expected : {2, 4, 1}) {
    CHECK(queue.Take("a", Any)->handle == expected);
  }
  CHECK(queue.size() == 0);
}

TEST_CASE("a guarantee is divided among the entries by demand") {
  struct Row {
    int waiting;
    int refused;
    double elsewhere;
    int expected;
  };
  // The demand of the other entries includes the requests that they refused.
  const Row rows[] = {{0, 0, 10, 0},   {10, 0, 0, 40},    {10, 0, 30, 10},
                      {1, 0, 1000, 1}, {10, 90, 100, 20}, {0, 10, 30, 10}};
  for (const Row& row : rows) {
    FairQueue queue;
    queue.SetLimits({MakeAccount("a", 40)});
    Fill(&queue, "a", row.waiting);
    for (int i = 0; i < row.refused; ++i) queue.RecordRefusal("a", At(0));
    queue.SetRemoteDemand("a", row.elsewhere, At(0));
    CHECK(queue.Find("a")->local_guarantee == row.expected);
  }
}

TEST_CASE("queues are bounded") {
  AccountLimits limits = MakeAccount("a");
  limits.max_queued = 3;
  FairQueue queue;
  queue.SetLimits({limits});
  Fill(&queue, "a", 2);
  CHECK(queue.HasRoom("a"));
  Fill(&queue, "a", 1);
  CHECK_FALSE(queue.HasRoom("a"));
  CHECK_FALSE(queue.HasRoom("unknown"));
}

}  // namespace
}  // namespace thornplank
