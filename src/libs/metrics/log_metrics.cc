// Adds counters that read the totals of the event log.
#include "metrics/log_metrics.h"

#include <string>

#include "logging/event_log.h"

namespace thornplank {
namespace {

constexpr char kLostName[] = "thornplank_log_lines_lost_total";
constexpr char kLostHelp[] = "Lines that were not written, by cause.";

}  // namespace

void AddLogMetrics(MetricsRegistry& metrics) {
  metrics.AddCounter("thornplank_log_lines_total", "Lines written to the log.",
                     {},
                     [] { return static_cast<double>(log_totals().lines); });
  metrics.AddCounter("thornplank_log_bytes_total", "Bytes written to the log.",
                     {},
                     [] { return static_cast<double>(log_totals().bytes); });
  metrics.AddCounter(kLostName, kLostHelp, {{"cause", "over_budget"}}, [] {
    return static_cast<double>(log_totals().over_budget);
  });
  metrics.AddCounter(kLostName, kLostHelp, {{"cause", "not_read"}},
                     [] { return static_cast<double>(log_totals().dropped); });
}

}  // namespace thornplank
