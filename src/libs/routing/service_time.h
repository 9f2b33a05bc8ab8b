// Running estimate of how long a service takes for a request.
#ifndef THORNPLANK_ROUTING_SERVICE_TIME_H_
#define THORNPLANK_ROUTING_SERVICE_TIME_H_

#include "base/time.h"

namespace thornplank {

// All durations are zero while nothing is known.
class ServiceTime {
 public:
  // The latency of one answered request.
  void Record(Duration latency);
  bool known() const { return samples_ > 0; }
  Duration mean() const;
  // Most requests take less than this.
  Duration high_estimate() const;

 private:
  // Both in ticks of Duration.
  double mean_ = 0;
  double deviation_ = 0;  // mean of the absolute distance from mean_
  int samples_ = 0;       // stops at the length of the window
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SERVICE_TIME_H_
