// Checks a history of requests against the executors' own records of runs.
//
// What must hold: an answered caller got its own answer, and its request ran;
// a caller told "not run" has a request that never ran; a non-idempotent key
// ran at most once. Several attempts may share a key: then its one run must
// belong to an attempt that was told something else than "not run".
#ifndef THORNPLANK_HISTORY_HISTORY_CHECKER_H_
#define THORNPLANK_HISTORY_HISTORY_CHECKER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "history/history_record.h"

namespace thornplank {

struct HistoryVerdict {
  size_t requests = 0;
  size_t answered = 0;
  size_t not_run = 0;
  size_t unknown = 0;
  size_t no_answer = 0;
  size_t runs = 0;

  // Faults; each also stands in `faults` with its ids.
  size_t wrong_answers = 0;
  size_t answered_without_run = 0;
  size_t false_not_run = 0;
  size_t double_runs = 0;
  // The first of them, readable, at most kMaxFaultTexts.
  std::vector<std::string> faults;

  bool ok() const {
    return wrong_answers + answered_without_run + false_not_run + double_runs ==
           0;
  }
  Json ToJson() const;
};

inline constexpr size_t kMaxFaultTexts = 20;

HistoryVerdict CheckHistory(const std::vector<HistoryRecord>& history,
                            const std::vector<RunRecord>& runs);

}  // namespace thornplank

#endif  // THORNPLANK_HISTORY_HISTORY_CHECKER_H_
