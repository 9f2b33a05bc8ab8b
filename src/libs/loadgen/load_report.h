// Rates, percentiles and outcomes of a history.
#ifndef THORNPLANK_LOADGEN_LOAD_REPORT_H_
#define THORNPLANK_LOADGEN_LOAD_REPORT_H_

#include <vector>

#include "base/json.h"
#include "history/history_record.h"

namespace thornplank {

// Counts per outcome, goodput per second of the whole run, and latencies in
// microseconds at p50, p90, p99 and max: over all answered, over all not-run,
// and per account.
Json SummarizeHistory(const std::vector<HistoryRecord>& history);

}  // namespace thornplank

#endif  // THORNPLANK_LOADGEN_LOAD_REPORT_H_
