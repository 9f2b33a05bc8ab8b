// Metrics of the process itself: resident memory and processor time.
#ifndef THORNPLANK_METRICS_PROCESS_METRICS_H_
#define THORNPLANK_METRICS_PROCESS_METRICS_H_

#include "metrics/metrics_registry.h"

namespace thornplank {

// Adds process_resident_memory_bytes and process_cpu_seconds_total.
void AddProcessMetrics(MetricsRegistry& metrics);

}  // namespace thornplank

#endif  // THORNPLANK_METRICS_PROCESS_METRICS_H_
