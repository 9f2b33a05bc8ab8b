// Running estimate of a service's time per request.
#ifndef THORNPLANK_ROUTING_SERVICE_TIME_H_
#define THORNPLANK_ROUTING_SERVICE_TIME_H_

#include "base/time.h"

namespace thornplank {

// All durations are zero before the first Record.
class ServiceTime {
 public:
  // The latency of one answered request.
  void Record(Duration latency);
  bool known() const { return samples_ > 0; }
  Duration mean() const;
  // Mean plus 2.5 mean deviations; most requests take less.
  Duration high_estimate() const;

 private:
  // Both in ticks of Duration.
  double mean_ = 0;
  double deviation_ = 0;  // mean of the absolute distance from mean_
  int samples_ = 0;       // recorded samples, up to the window length
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SERVICE_TIME_H_
