// Counts calls to another process by kind and outcome, and times them.
#ifndef THORNPLANK_METRICS_CALL_METER_H_
#define THORNPLANK_METRICS_CALL_METER_H_

#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "metrics/metrics_registry.h"

namespace thornplank {

// Not thread-safe.
class CallMeter {
 public:
  // Adds `name`_calls_total and `name`_call_seconds to `metrics`, which must
  // outlive this object.
  CallMeter(std::string name, std::string help, MetricsRegistry& metrics);

  // Records a call that began at `start_time` and has now been answered. `call`
  // and `outcome` must be string literals.
  void Record(const char* call, const char* outcome, Time start_time);

 private:
  const std::string name_;
  const std::string help_;
  MetricsRegistry& metrics_;
  // Keyed by the addresses of the literals: a leader makes hundreds of calls
  // per second, and a look-up by labels takes microseconds.
  std::map<std::pair<const char*, const char*>, Counter*> counters_;
  std::map<const char*, Histogram*> histograms_;
};

}  // namespace thornplank

#endif  // THORNPLANK_METRICS_CALL_METER_H_
