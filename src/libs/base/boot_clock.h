// A clock that also counts while the instance is suspended.
//
// The steady clock stands still in a suspended instance, so an age measured
// with it may be short by the whole suspension. What must not be trusted for
// longer than some bound is measured with this clock.
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
