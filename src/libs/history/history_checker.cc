// Compares the outcomes that callers received with the runs that executors
// recorded.
#include "history/history_checker.h"

#include <unordered_map>

namespace thornplank {
namespace {

class Checker {
 public:
  explicit Checker(const std::vector<RunRecord>& runs) {
    verdict_.runs = runs.size();
    for (const RunRecord& run : runs) {
      ++runs_by_digest_[run.digest];
      if (!run.key.empty()) ++runs_by_key_[run.key];
    }
  }

  void CheckRecord(const HistoryRecord& record) {
    ++verdict_.requests;
    if (!record.key.empty()) {
      bool& may_have_run = key_may_have_run_[record.key];
      may_have_run = may_have_run || record.outcome != Outcome::kNotRun;
    }
    switch (record.outcome) {
      case Outcome::kAnswered:
        ++verdict_.answered;
        CheckAnswered(record);
        return;
      case Outcome::kNotRun:
        ++verdict_.not_run;
        CheckNotRun(record);
        return;
      case Outcome::kUnknown:
        ++verdict_.unknown;
        return;
      case Outcome::kNoAnswer:
        ++verdict_.no_answer;
        return;
    }
  }

  HistoryVerdict Finish() {
    for (const auto& [key, may_have_run] : key_may_have_run_) {
      if (may_have_run || runs_by_key_.count(key) == 0) continue;
      AddFault(&verdict_.false_not_run, "every attempt with key " + key +
                                            " got 'not run', but the key ran");
    }
    for (const auto& [key, count] : runs_by_key_) {
      if (count <= 1) continue;
      AddFault(&verdict_.double_runs,
               "key " + key + " ran " + std::to_string(count) + " times");
    }
    return verdict_;
  }

 private:
  void CheckAnswered(const HistoryRecord& record) {
    if (!record.own_answer) {
      AddFault(&verdict_.wrong_answers,
               "request " + record.id + " got the answer of another request");
    }
    // A repeated request with the same key gets the answer of the first run.
    const bool ran = record.key.empty() ? RunsWithDigest(record.digest) > 0
                                        : runs_by_key_.count(record.key) > 0;
    if (ran) return;
    AddFault(&verdict_.answered_without_run,
             "request " + record.id + " was answered but never ran");
  }

  void CheckNotRun(const HistoryRecord& record) {
    // Requests with a key are checked in Finish(), when all attempts are known.
    if (!record.key.empty() || RunsWithDigest(record.digest) == 0) return;
    AddFault(&verdict_.false_not_run,
             "request " + record.id + " got 'not run' but ran");
  }

  int RunsWithDigest(const std::string& digest) const {
    const auto it = runs_by_digest_.find(digest);
    return it == runs_by_digest_.end() ? 0 : it->second;
  }

  void AddFault(size_t* counter, std::string text) {
    ++*counter;
    if (verdict_.faults.size() >= kMaxFaultTexts) return;
    verdict_.faults.push_back(std::move(text));
  }

  HistoryVerdict verdict_;
  std::unordered_map<std::string, int> runs_by_digest_;
  // By key: whether any attempt had an outcome other than "not run".
  std::unordered_map<std::string, bool> key_may_have_run_;
  std::unordered_map<std::string, int> runs_by_key_;
};

}  // namespace

Json HistoryVerdict::ToJson() const {
  return {{"requests", requests},
          {"answered", answered},
          {"not_run", not_run},
          {"unknown", unknown},
          {"no_answer", no_answer},
          {"runs", runs},
          {"wrong_answers", wrong_answers},
          {"answered_without_run", answered_without_run},
          {"false_not_run", false_not_run},
          {"double_runs", double_runs},
          {"faults", faults},
          {"ok", ok()}};
}

HistoryVerdict CheckHistory(const std::vector<HistoryRecord>& history,
                            const std::vector<RunRecord>& runs) {
  Checker checker(runs);
  for (const HistoryRecord& record : history) checker.CheckRecord(record);
  return checker.Finish();
}

}  // namespace thornplank
