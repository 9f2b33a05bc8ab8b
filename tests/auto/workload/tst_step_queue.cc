// The order of steps: by priority, between accounts by share, within an account
// by whether they can be in time.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "planner_cluster.h"
#include "workload/account_shares.h"
#include "workload/cluster_capacity.h"
#include "workload/ready_step.h"
#include "workload/step_queue.h"

namespace thornplank::testing {
namespace {

constexpr char kService[] = "claims";
constexpr int64_t kStartMs = 1000000;

// Ready steps, and the shares by which they are ordered.
class Waiting {
 public:
  explicit Waiting(const Guarantees& guarantees = {}) : shares(guarantees) {
    shares.AddCapacity(shares.NumberOfService(kService), {64000, 256000, 64});
  }

  // A job of one step, accepted `age` ago. By default it has an objective that
  // is far away.
  std::string Add(const std::string& account, int priority, Milliseconds age,
                  Milliseconds slack = std::chrono::hours(1),
                  int accelerators = 1) {
    JobDefinition job =
        MakeJob(Id(next_++), {MakeStep(1, accelerators)}, priority, account);
    job.accepted = now - age;
    job.policy.stretch = 1;
    job.policy.slack = slack;
    ledger.Add(job, At(0));
    return job.id;
  }
  void AddRuns(const std::string& account, int priority, int64_t runs) {
    shares.Change(shares.Include(kService, account), priority, {1000, 1000, 1},
                  runs);
  }
  // `on`: whether the service is shared.
  StepQueue& Begin(bool on = true) {
    steps = CollectReadySteps(ledger, now);
    queue = std::make_unique<StepQueue>(
        steps, on ? &shares : nullptr,
        StepQueue::Settings{{on, {}}, max_share_wait, now});
    return *queue;
  }
  // Counts all tasks of the step as started.
  void Start(const ReadyStep& step) {
    shares.Change(shares.Include(step.service(), step.job->spec.account),
                  step.priority(), ReservedFor(*step.spec),
                  static_cast<int64_t>(step.waiting.size()));
    queue->OnSharesChanged(step.service(), step.job->spec.account);
  }
  ServiceAccount Of(const ReadyStep& step) const {
    return *shares.Find(step.service(), step.job->spec.account);
  }
  // The accounts, or the jobs, in the order in which steps come if each starts.
  std::vector<std::string> Accounts() {
    std::vector<std::string> order;
    while (const ReadyStep* step = queue->Next()) {
      Start(*step);
      order.push_back(step->job->spec.account);
    }
    return order;
  }
  std::vector<std::string> Jobs() {
    std::vector<std::string> order;
    while (const ReadyStep* step = queue->Next()) {
      Start(*step);
      order.push_back(step->ref.job);
    }
    return order;
  }

  WallTime now = FromUnixMilliseconds(kStartMs);
  Milliseconds max_share_wait{8000};
  JobLedger ledger;
  AccountShares shares;
  std::vector<ReadyStep> steps;
  std::unique_ptr<StepQueue> queue;

 private:
  int next_ = 1;
};

// Guards against an account with many older jobs whose steps all come before
// those of the others.
TEST_CASE("accounts alternate by weight") {
  for (const bool on : {true, false}) {
    CAPTURE(on);
    Waiting waiting({{"large", 20}, {"small", 10}});
    for (int i = 0; i < 6; ++i) waiting.Add("large", 2, Milliseconds(5000));
    for (int i = 0; i < 3; ++i) waiting.Add("small", 2, Milliseconds(10));
    waiting.Begin(on);
    const std::vector<std::string> shared = {"large", "small", "large",
                                             "large", "small", "large",
                                             "large", "small", "large"};
    CHECK((waiting.Accounts() == shared) == on);
  }
}

// Guards against steps that earn nothing any more and are started while others
// of the account miss their objective.
TEST_CASE("within an account, steps that can be in time come first") {
  for (const bool on : {true, false}) {
    CAPTURE(on);
    Waiting waiting;
    // The objective is the length (1 s) and the slack; three times that is the
    // end of any use.
    const std::string expired =
        waiting.Add("a", 2, Milliseconds(7000), Milliseconds(1000));
    const std::string late =
        waiting.Add("a", 2, Milliseconds(5000), Milliseconds(4500));
    const std::string older =
        waiting.Add("a", 2, Milliseconds(4000), Milliseconds(4000));
    const std::string newer =
        waiting.Add("a", 2, Milliseconds(100), Milliseconds(4000));
    waiting.Begin(on);
    const std::vector<std::string> in_time = {older, newer, late, expired};
    CHECK((waiting.Jobs() == in_time) == on);
  }
}

// A job with several steps must be judged by all of those that are still ahead.
TEST_CASE("how much time a step has left") {
  struct Row {
    const char* name;
    int64_t age_ms;
    Timeliness timeliness;
  };
  // Chains of 3 s (steps 0, 1, 3) and 2 s (steps 0, 2): objective 3 x 3 s.
  const std::vector<Row> rows = {
      {"just accepted", 0, Timeliness::kInTime},
      {"as much as it needs", 6000, Timeliness::kInTime},
      {"less than it needs", 6001, Timeliness::kLate},
      {"of no use any more", 27001, Timeliness::kExpired},
      {"accepted in the future", -5000, Timeliness::kInTime},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Waiting waiting;
    JobDefinition job =
        MakeJob(Id(1), {MakeStep(1, 1), MakeStep(1, 1, {0}),
                        MakeStep(1, 1, {0}), MakeStep(1, 1, {1})});
    job.accepted = waiting.now - Milliseconds(row.age_ms);
    waiting.ledger.Add(job, At(0));
    const auto steps = CollectReadySteps(waiting.ledger, waiting.now);
    REQUIRE(steps.size() == 1);
    CHECK(steps[0].timeliness == row.timeliness);
    CHECK(steps[0].time_left == Milliseconds(9000 - row.age_ms));
    CHECK(job.estimate_from(0) == Milliseconds(3000));
    CHECK(job.estimate_from(1) == Milliseconds(2000));
    CHECK(job.estimate_from(2) == Milliseconds(1000));
  }
}

// Jobs that last until they are cancelled have no objective to miss.
TEST_CASE("a long-running step is never late") {
  Waiting waiting;
  StepSpec lasting = MakeStep(1, 1);
  lasting.long_running = true;
  JobDefinition job = MakeJob(Id(1), {lasting});
  job.accepted = waiting.now - std::chrono::hours(100);
  waiting.ledger.Add(job, At(0));
  CHECK(CollectReadySteps(waiting.ledger, waiting.now)[0].timeliness ==
        Timeliness::kInTime);
}

// Guards against an account whose batch jobs never start, since its other work
// already exceeds its share.
TEST_CASE("an account that waits too long goes first") {
  struct Row {
    const char* name;
    int64_t waited_ms;
    // Whether it runs something of that priority.
    bool runs;
    bool first;
  };
  const std::vector<Row> rows = {
      {"a short wait", 8000, false, false},
      {"a long wait", 8001, false, true},
      {"a long wait of an account that is served", 8001, true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Waiting waiting;
    waiting.AddRuns("busy", 1, 40);
    if (row.runs) waiting.AddRuns("busy", 2, 1);
    waiting.AddRuns("others", 2, 1);
    waiting.Add("busy", 2, Milliseconds(row.waited_ms));
    waiting.Add("busy", 2, Milliseconds(row.waited_ms));
    for (int i = 0; i < 3; ++i) waiting.Add("others", 2, Milliseconds(9000));
    waiting.Begin();
    const std::vector<std::string> order = waiting.Accounts();
    CHECK((order.front() == "busy") == row.first);
    // Once it runs something, its share decides again.
    CHECK(order.back() == "busy");
  }
}

TEST_CASE("of several accounts that wait too long, the oldest goes first") {
  Waiting waiting;
  waiting.AddRuns("b", 1, 10);
  waiting.Add("a", 2, Milliseconds(9000));
  waiting.Add("b", 2, Milliseconds(10000));
  waiting.Begin();
  CHECK(waiting.Accounts() == std::vector<std::string>{"b", "a"});
}

// No part may delay urgent steps within a guarantee: neither shares nor waits
// of other accounts come before them.
TEST_CASE("urgent steps within a guarantee come first") {
  struct Row {
    const char* name;
    // Accelerators of its urgent step, of 8 guaranteed.
    int accelerators;
    std::vector<std::string> order;
  };
  const std::vector<Row> rows = {
      {"within", 8, {"safe", "starved", "idle"}},
      {"partly", 9, {"safe", "starved", "idle"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Waiting waiting({{"safe", 8}});
    waiting.AddRuns("safe", 2, 60);
    waiting.Add("idle", 0, Milliseconds(100));
    waiting.Add("starved", 0, Milliseconds(20000));
    waiting.Add("safe", 0, Milliseconds(1), std::chrono::hours(1),
                row.accelerators);
    waiting.Begin();
    CHECK(waiting.Accounts() == row.order);
  }
}

// Guards against a change of behaviour where accounts have no shares.
TEST_CASE("services that are not shared keep the order of their steps") {
  Waiting waiting({{"a", 8}, {"b", 1}});
  waiting.AddRuns("a", 2, 8);
  for (int i = 0; i < 50; ++i) {
    waiting.Add(i % 3 == 0 ? "a" : "b", i % 4, Milliseconds(20000 - 300 * i),
                Milliseconds(i * 100));
  }
  StepQueue& queue = waiting.Begin(/*on=*/false);
  for (const ReadyStep& step : waiting.steps) {
    CHECK(queue.Next() == &step);
  }
  CHECK(queue.Next() == nullptr);
  CHECK(queue.Next() == nullptr);
}

TEST_CASE("a single account has the order of before, except for late steps") {
  Waiting waiting({{"a", 8}});
  for (int i = 0; i < 50; ++i) {
    waiting.Add("a", i % 4, Milliseconds(10 + 7919 * i % 1000));
  }
  StepQueue& queue = waiting.Begin();
  for (const ReadyStep& step : waiting.steps) {
    const ReadyStep* next = queue.Next();
    REQUIRE(next != nullptr);
    CHECK(next->priority() == step.priority());
    CHECK(next->job->spec.accepted == step.job->spec.accepted);
    waiting.Start(*next);
  }
}

TEST_CASE("a queue without steps is empty") {
  Waiting waiting;
  CHECK(waiting.Begin().Next() == nullptr);
}

// Guards against rounds that compare each step with each account. The number of
// comparisons depends on neither the workers nor, per step, on more than the
// logarithm of the accounts.
TEST_CASE("the cost of a step grows with the logarithm of the accounts") {
  struct Row {
    int workers;
    int steps;
    int accounts;
  };
  const std::vector<Row> rows = {
      {350, 1000, 27},  {1000, 1000, 27},  {6000, 1000, 27},
      {350, 1000, 500}, {6000, 1000, 500}, {6000, 10000, 500},
  };
  for (const Row& row : rows) {
    CAPTURE(row.workers);
    CAPTURE(row.steps);
    CAPTURE(row.accounts);
    Waiting waiting;
    for (int i = 0; i < row.workers; ++i) {
      waiting.AddRuns("account-" + std::to_string(i % row.accounts), 2, 8);
    }
    for (int i = 0; i < row.steps; ++i) {
      waiting.Add("account-" + std::to_string(i % row.accounts), i % 3,
                  Milliseconds(i));
    }
    waiting.Begin();
    CHECK(waiting.Accounts().size() == static_cast<size_t>(row.steps));
    // Each step is inserted at most twice, each time with one search; removing
    // the first account compares nothing.
    const double search = std::log2(row.accounts) + 2;
    CHECK(static_cast<double>(waiting.queue->comparisons()) <=
          row.steps * 2 * 2 * search);
  }
}

// An account's use as this test counts it.
struct Counted {
  int64_t guarantee = 0;
  int64_t urgent = 0;

  bool IsBelowGuarantee() const { return urgent < guarantee; }
  bool HasRoomFor(int64_t more) const {
    return guarantee > 0 && urgent + more <= guarantee;
  }
};

TEST_CASE("properties of every order") {
  CHECK(rc::check([] {
    Guarantees guarantees;
    std::map<std::string, Counted> counted;
    const int accounts = *rc::gen::inRange(1, 7);
    for (int i = 0; i < accounts; ++i) {
      const std::string name = "a" + std::to_string(i);
      counted[name].guarantee = *rc::gen::element<int64_t>(0, 0, 1, 4, 40);
      if (counted[name].guarantee > 0) {
        guarantees[name] = counted[name].guarantee;
      }
    }
    Waiting waiting(guarantees);
    waiting.max_share_wait = std::chrono::hours(1000);
    const auto account = [&] {
      return "a" + std::to_string(*rc::gen::inRange(0, accounts));
    };
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
      const std::string name = account();
      const int priority = *rc::gen::inRange(0, 3);
      const int runs = *rc::gen::inRange(1, 8);
      waiting.AddRuns(name, priority, runs);
      if (priority == 0) counted[name].urgent += runs;
    }
    for (int i = *rc::gen::inRange(0, 60); i > 0; --i) {
      waiting.Add(account(), *rc::gen::inRange(0, 3),
                  Milliseconds(*rc::gen::inRange(0, 60000)),
                  Milliseconds(*rc::gen::inRange(0, 30000)),
                  *rc::gen::inRange(0, 5));
    }
    StepQueue& queue = waiting.Begin();
    std::set<const ReadyStep*> left;
    for (const ReadyStep& step : waiting.steps) left.insert(&step);
    while (const ReadyStep* next = queue.Next()) {
      // Each step comes once.
      RC_ASSERT(left.erase(next) == 1);
      const std::string& name = next->job->spec.account;
      // Only the first step of an account competes with other accounts.
      const auto other_is_behind_in_account = [&](const ReadyStep* step) {
        return std::any_of(left.begin(), left.end(), [&](const ReadyStep* o) {
          return o != step && o->urgent() &&
                 o->job->spec.account == step->job->spec.account;
        });
      };
      for (const ReadyStep* other : left) {
        // Priorities are never inverted.
        RC_ASSERT(other->priority() >= next->priority());
        if (other->priority() != next->priority()) continue;
        const std::string& other_name = other->job->spec.account;
        if (other_name == name) {
          RC_ASSERT(other->timeliness >= next->timeliness);
          continue;
        }
        if (next->urgent()) {
          // No account below its guarantee is behind one that has used up its
          // own.
          RC_ASSERT(!counted[other_name].IsBelowGuarantee() ||
                    counted[name].IsBelowGuarantee() ||
                    counted[name].HasRoomFor(next->spec->need.accelerators));
          // Nor is a step within a guarantee behind one that is not.
          RC_ASSERT(
              !counted[other_name].HasRoomFor(other->spec->need.accelerators) ||
              other_is_behind_in_account(other) ||
              counted[name].HasRoomFor(next->spec->need.accelerators));
          continue;
        }
        // Progressive filling.
        RC_ASSERT(waiting.shares.WeightedShare(waiting.Of(*next)) <=
                  waiting.shares.WeightedShare(waiting.Of(*other)));
      }
      // Some steps find no room.
      if (*rc::gen::inRange(0, 4) == 0) continue;
      waiting.Start(*next);
      if (next->urgent()) counted[name].urgent += next->spec->need.accelerators;
    }
    RC_ASSERT(left.empty());
  }));
}

}  // namespace
}  // namespace thornplank::testing
