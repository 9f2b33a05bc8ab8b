// Next step after each outcome of an attempt, and the retry budget.
#include <doctest/doctest.h>

#include <string>

#include "routing/retry_budget.h"
#include "routing/retry_policy.h"

namespace thornplank {
namespace {

struct Row {
  std::string name;
  AttemptOutcome outcome;
  AttemptHistory history;
  NextStep expected;
};

AttemptHistory History(bool idempotent, int tries, bool may_have_run,
                       bool budget = true) {
  AttemptHistory history;
  history.idempotent = idempotent;
  history.tries = tries;
  history.may_have_run = may_have_run;
  history.has_budget = budget;
  return history;
}

TEST_CASE("the next step after an attempt") {
  using Outcome = AttemptOutcome;
  AttemptHistory unwanted = History(true, 1, false);
  unwanted.still_wanted = false;
  AttemptHistory alone = History(true, 1, false);
  alone.has_alternative = false;
  AttemptHistory refused_often = History(true, 0, false);
  refused_often.refusals = 8;
  const Row rows[] = {
      {"an answer is delivered", Outcome::kAnswered, History(false, 1, false),
       NextStep::kDeliver},
      {"a failure of an idempotent request is retried", Outcome::kFailed,
       History(true, 1, false), NextStep::kRetry},
      {"a failure of a non-idempotent request is delivered", Outcome::kFailed,
       History(false, 1, false), NextStep::kDeliver},
      {"a failure without budget is delivered", Outcome::kFailed,
       History(true, 1, false, false), NextStep::kDeliver},
      {"an unknown idempotent request is retried", Outcome::kUnknown,
       History(true, 1, false), NextStep::kRetry},
      {"an unknown non-idempotent request is not retried", Outcome::kUnknown,
       History(false, 1, false), NextStep::kFinishUnknown},
      {"the last try ends as unknown", Outcome::kUnknown,
       History(true, 3, true), NextStep::kFinishUnknown},
      {"a refused non-idempotent request is retried", Outcome::kRefusedNotRun,
       History(false, 0, false), NextStep::kRetry},
      {"a refused request is retried without budget", Outcome::kRefusedNotRun,
       History(false, 0, false, false), NextStep::kRetry},
      {"retries after refusals are bounded", Outcome::kRefusedNotRun,
       refused_often, NextStep::kFinishNotRun},
      {"an unsent non-idempotent request is retried", Outcome::kNotSent,
       History(false, 1, false), NextStep::kRetry},
      {"a retry of an unsent request needs budget", Outcome::kNotSent,
       History(false, 1, false, false), NextStep::kFinishNotRun},
      {"a request that may have run never ends as 'not run'", Outcome::kNotSent,
       History(true, 3, true), NextStep::kFinishUnknown},
      {"a request that may have run and is refused at last",
       Outcome::kRefusedNotRun,
       [] {
         AttemptHistory history = History(true, 1, true);
         history.refusals = 8;
         return history;
       }(),
       NextStep::kFinishUnknown},
      {"no retry when the caller is gone", Outcome::kNotSent, unwanted,
       NextStep::kFinishNotRun},
      {"no other executor", Outcome::kUnknown, alone, NextStep::kFinishUnknown},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(DecideNextStep(row.outcome, row.history) == row.expected);
  }
}

TEST_CASE("a budget allows its percentage of retries and no more") {
  struct BudgetRow {
    double percent;
    int requests;
    int most;
  };
  const BudgetRow rows[] = {{0, 1000, 0}, {10, 1000, 103}, {50, 1000, 503}};
  for (const BudgetRow& row : rows) {
    CAPTURE(row.percent);
    RetryBudget budget(row.percent);
    int retries = 0;
    for (int i = 0; i < row.requests; ++i) {
      budget.RecordFreshRequest();
      while (budget.available()) {
        budget.ConsumeToken();
        ++retries;
      }
    }
    CHECK(retries <= row.most);
    CHECK(retries >= row.requests * row.percent / 100 - 1);
  }
}

}  // namespace
}  // namespace thornplank
