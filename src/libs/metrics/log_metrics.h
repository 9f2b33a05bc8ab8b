// Metrics of the event log of this process: what was written, and what was
// lost.
#ifndef THORNPLANK_METRICS_LOG_METRICS_H_
#define THORNPLANK_METRICS_LOG_METRICS_H_

#include "metrics/metrics_registry.h"

namespace thornplank {

// Adds thornplank_log_lines_total, thornplank_log_bytes_total and
// thornplank_log_lines_lost_total by cause.
void AddLogMetrics(MetricsRegistry& metrics);

}  // namespace thornplank

#endif  // THORNPLANK_METRICS_LOG_METRICS_H_
