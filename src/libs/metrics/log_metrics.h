// What the log of this process takes, and what of it was left out.
#ifndef THORNPLANK_METRICS_LOG_METRICS_H_
#define THORNPLANK_METRICS_LOG_METRICS_H_

#include "metrics/metrics_registry.h"

namespace thornplank {

// Adds thornplank_log_lines_total, thornplank_log_bytes_total and
// thornplank_log_lines_lost_total by cause.
void AddLogMetrics(MetricsRegistry& metrics);

}  // namespace thornplank

#endif  // THORNPLANK_METRICS_LOG_METRICS_H_
