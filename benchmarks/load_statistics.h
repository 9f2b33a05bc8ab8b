// Statistics that the request benchmark computes from the history of a load.
// They cover a window of it, so that its start and end can be left out.
#ifndef THORNPLANK_BENCHMARKS_LOAD_STATISTICS_H_
#define THORNPLANK_BENCHMARKS_LOAD_STATISTICS_H_

#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "history/history_record.h"

namespace thornplank {

// Half-open part [begin, end) of a load, relative to its start.
struct LoadWindow {
  Duration begin;
  Duration end;
};

// Answers per second that arrived within `window`, and within `deadline` of
// their request. Counts one account, or all if `account` is empty.
double AnswersPerSecond(const std::vector<HistoryRecord>& history,
                        const LoadWindow& window, Milliseconds deadline,
                        const std::string& account = "");

// Share of the requests sent within `window` that ended with `outcome`.
double OutcomeShare(const std::vector<HistoryRecord>& history,
                    const LoadWindow& window, Outcome outcome);

// Latency quantile in microseconds of the requests sent within `window` that
// ended with `outcome`; 0 if there are none. Counts one account, or all if
// `account` is empty.
double LatencyQuantile(const std::vector<HistoryRecord>& history,
                       const LoadWindow& window, Outcome outcome,
                       double quantile, const std::string& account = "");

// Medians of the values of each key. All rounds must have the same keys.
Json MedianOfRounds(const std::vector<Json>& rounds);

// Prints a Markdown table with one row per key of the first object and one
// column per object.
void PrintTable(const std::string& title, const std::vector<std::string>& names,
                const std::vector<Json>& columns);

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_LOAD_STATISTICS_H_
