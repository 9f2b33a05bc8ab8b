// Running estimate of how long a service takes for a request.
#ifndef THORNPLANK_ROUTING_SERVICE_TIME_H_
#define THORNPLANK_ROUTING_SERVICE_TIME_H_

#include "base/time.h"

namespace thornplank {

class ServiceTime {
 public:
  // The latency of one answered request.
  void Record(Duration latency);
  bool known() const { return samples_ > 0; }
  // Zero while nothing is known.
  Duration mean() const;

 private:
  double mean_ = 0;  // in ticks of Duration
  int samples_ = 0;  // stops at the length of the window
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SERVICE_TIME_H_
