// Checks a history of requests against the executors' own records of runs.
//
// Invariants: the answer to a request belongs to that request, and the request
// ran; a request with the outcome "not run" never ran; each idempotency key ran
// at most once. Several attempts may share a key: if the key ran, at least one
// of them must have an outcome other than "not run".
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

  // Numbers of faults by kind; `faults` describes them with their ids.
  size_t wrong_answers = 0;
  size_t answered_without_run = 0;
  size_t false_not_run = 0;
  size_t double_runs = 0;
  // Descriptions of the first faults, at most kMaxFaultTexts.
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
