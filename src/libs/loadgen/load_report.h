// Summary of a history of requests.
#ifndef THORNPLANK_LOADGEN_LOAD_REPORT_H_
#define THORNPLANK_LOADGEN_LOAD_REPORT_H_

#include <vector>

#include "base/json.h"
#include "history/history_record.h"

namespace thornplank {

// Returns the goodput (answered requests per second of the whole run) and, for
// each outcome, in total and by account, the number of requests and their
// latencies in microseconds: p50, p90, p99 and max.
Json SummarizeHistory(const std::vector<HistoryRecord>& history);

}  // namespace thornplank

#endif  // THORNPLANK_LOADGEN_LOAD_REPORT_H_
