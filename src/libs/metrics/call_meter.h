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
  // Makes `name`_calls_total and `name`_call_seconds. `metrics` outlives this
  // object.
  CallMeter(std::string name, std::string help, MetricsRegistry& metrics);

  // A call that was begun at `begun` has its answer. Both texts are literals.
  void Record(const char* call, const char* outcome, Time begun);

 private:
  const std::string name_;
  const std::string help_;
  MetricsRegistry& metrics_;
  // Found by the literals' addresses: a leader makes hundreds of calls a
  // second, and a look-up by labels costs microseconds.
  std::map<std::pair<const char*, const char*>, Counter*> counters_;
  std::map<const char*, Histogram*> histograms_;
};

}  // namespace thornplank

#endif  // THORNPLANK_METRICS_CALL_METER_H_
