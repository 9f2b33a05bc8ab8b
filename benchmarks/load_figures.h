// What the request benchmark reads out of a history: the middle of a load,
// without its beginning and its end.
#ifndef THORNPLANK_BENCHMARKS_LOAD_FIGURES_H_
#define THORNPLANK_BENCHMARKS_LOAD_FIGURES_H_

#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "history/history_record.h"

namespace thornplank {

// Part of a load, counted from its start; `end` is not in it.
struct LoadWindow {
  Duration begin;
  Duration end;
};

// Answers a second that came within `window` and within `deadline` of their
// request; of one account, or of all when `account` is empty.
double AnswersPerSecond(const std::vector<HistoryRecord>& history,
                        const LoadWindow& window, Milliseconds deadline,
                        const std::string& account = "");

// Share of the requests sent within `window` that ended as `outcome`.
double ShareOf(const std::vector<HistoryRecord>& history,
               const LoadWindow& window, Outcome outcome);

// The latency in microseconds below which a share of `quantile` lies, of the
// requests sent within `window` that ended as `outcome`; 0 without any.
double LatencyQuantile(const std::vector<HistoryRecord>& history,
                       const LoadWindow& window, Outcome outcome,
                       double quantile, const std::string& account = "");

// The median of the numbers under each key; all rounds have the same keys.
Json MedianOfRounds(const std::vector<Json>& rounds);

// Prints one row per key of the first object, and one column per object.
void PrintTable(const std::string& title, const std::vector<std::string>& names,
                const std::vector<Json>& columns);

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_LOAD_FIGURES_H_
