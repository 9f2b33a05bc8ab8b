// A monotonic clock that also advances while the instance is suspended.
//
// The steady clock stops during a suspension, so an age measured with it can be
// too small by the length of the suspension. Use this clock for anything that
// must not be trusted beyond a maximum age.
#ifndef THORNPLANK_BASE_BOOT_CLOCK_H_
#define THORNPLANK_BASE_BOOT_CLOCK_H_

#include <chrono>

namespace thornplank {

struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now();
};

using BootTime = BootClock::time_point;

}  // namespace thornplank

#endif  // THORNPLANK_BASE_BOOT_CLOCK_H_
