// Converts between wall-clock time and Unix milliseconds.
#include "base/time.h"

namespace thornplank {

int64_t ToUnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch())
      .count();
}

WallTime FromUnixMilliseconds(int64_t milliseconds) {
  return WallTime(Milliseconds(milliseconds));
}

}  // namespace thornplank
