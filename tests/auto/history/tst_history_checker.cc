// The checker finds each kind of fault, and none in a sound history.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "history/history_checker.h"

namespace thornplank {
namespace {

HistoryRecord Told(const std::string& id, const std::string& key,
                   Outcome outcome, bool own_answer) {
  HistoryRecord record;
  record.id = id;
  record.key = key;
  record.digest = id;
  record.outcome = outcome;
  record.own_answer = own_answer;
  return record;
}

TEST_CASE("each fault is found") {
  struct Row {
    const char* name;
    std::vector<HistoryRecord> history;
    std::vector<RunRecord> runs;
    size_t wrong, without_run, false_not_run, double_runs;
  };
  const std::vector<Row> rows = {
      {"sound",
       {Told("a", "", Outcome::kAnswered, true),
        Told("b", "", Outcome::kNotRun, false),
        Told("c", "k", Outcome::kUnknown, false),
        Told("d", "k", Outcome::kAnswered, true)},
       {{"x1", "", "a"}, {"x1", "k", "c"}},
       0,
       0,
       0,
       0},
      {"an idempotent request may run twice",
       {Told("a", "", Outcome::kAnswered, true)},
       {{"x1", "", "a"}, {"x2", "", "a"}},
       0,
       0,
       0,
       0},
      {"crossed answer",
       {Told("a", "", Outcome::kAnswered, false)},
       {{"x1", "", "a"}},
       1,
       0,
       0,
       0},
      {"answered out of nothing",
       {Told("a", "k", Outcome::kAnswered, true)},
       {},
       0,
       1,
       0,
       0},
      {"false not run",
       {Told("a", "k", Outcome::kNotRun, false)},
       {{"x1", "k", "a"}},
       0,
       0,
       1,
       0},
      {"a second attempt may be told not run while the first one ran",
       {Told("a", "k", Outcome::kAnswered, true),
        Told("a", "k", Outcome::kNotRun, false)},
       {{"x1", "k", "a"}},
       0,
       0,
       0,
       0},
      {"double run of a key",
       {Told("a", "k", Outcome::kUnknown, false)},
       {{"x1", "k", "a"}, {"x2", "k", "a"}},
       0,
       0,
       0,
       1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const HistoryVerdict verdict = CheckHistory(row.history, row.runs);
    CHECK(verdict.wrong_answers == row.wrong);
    CHECK(verdict.answered_without_run == row.without_run);
    CHECK(verdict.false_not_run == row.false_not_run);
    CHECK(verdict.double_runs == row.double_runs);
    CHECK(verdict.ok() ==
          (row.wrong + row.without_run + row.false_not_run + row.double_runs ==
           0));
  }
}

}  // namespace
}  // namespace thornplank
