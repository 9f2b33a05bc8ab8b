// The checker finds each kind of fault, and none in a correct history.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "history/history_checker.h"

namespace thornplank {
namespace {

HistoryRecord MakeRecord(const std::string& id, const std::string& key,
                         Outcome outcome, bool own_answer) {
  HistoryRecord record;
  record.id = id;
  record.key = key;
  record.digest = id;
  record.outcome = outcome;
  record.own_answer = own_answer;
  return record;
}

TEST_CASE("each kind of fault is found") {
  struct Row {
    const char* name;
    std::vector<HistoryRecord> history;
    std::vector<RunRecord> runs;
    size_t wrong_answers, answered_without_run, false_not_run, double_runs;
  };
  const std::vector<Row> rows = {
      {"correct history",
       {MakeRecord("a", "", Outcome::kAnswered, true),
        MakeRecord("b", "", Outcome::kNotRun, false),
        MakeRecord("c", "k", Outcome::kUnknown, false),
        MakeRecord("d", "k", Outcome::kAnswered, true)},
       {{"x1", "", "a"}, {"x1", "k", "c"}},
       0,
       0,
       0,
       0},
      {"an idempotent request may run twice",
       {MakeRecord("a", "", Outcome::kAnswered, true)},
       {{"x1", "", "a"}, {"x2", "", "a"}},
       0,
       0,
       0,
       0},
      {"answer of another request",
       {MakeRecord("a", "", Outcome::kAnswered, false)},
       {{"x1", "", "a"}},
       1,
       0,
       0,
       0},
      {"answered but never ran",
       {MakeRecord("a", "k", Outcome::kAnswered, true)},
       {},
       0,
       1,
       0,
       0},
      {"outcome 'not run', but it ran",
       {MakeRecord("a", "k", Outcome::kNotRun, false)},
       {{"x1", "k", "a"}},
       0,
       0,
       1,
       0},
      {"a second attempt may get 'not run' although the first one ran",
       {MakeRecord("a", "k", Outcome::kAnswered, true),
        MakeRecord("a", "k", Outcome::kNotRun, false)},
       {{"x1", "k", "a"}},
       0,
       0,
       0,
       0},
      {"a key ran twice",
       {MakeRecord("a", "k", Outcome::kUnknown, false)},
       {{"x1", "k", "a"}, {"x2", "k", "a"}},
       0,
       0,
       0,
       1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const HistoryVerdict verdict = CheckHistory(row.history, row.runs);
    CHECK(verdict.wrong_answers == row.wrong_answers);
    CHECK(verdict.answered_without_run == row.answered_without_run);
    CHECK(verdict.false_not_run == row.false_not_run);
    CHECK(verdict.double_runs == row.double_runs);
    CHECK(verdict.ok() == (row.wrong_answers + row.answered_without_run +
                               row.false_not_run + row.double_runs ==
                           0));
  }
}

}  // namespace
}  // namespace thornplank
