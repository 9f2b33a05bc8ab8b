// Time types used throughout the project.
//
// Decision code receives the current Time as an argument and never reads a
// clock itself.
#ifndef THORNPLANK_BASE_TIME_H_
#define THORNPLANK_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace thornplank {

// Monotonic time, for deadlines, leases and timeouts of one process.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Wall-clock time, for times that are shared between processes or shown to
// users.
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

// Milliseconds since the Unix epoch, the serialized form of a WallTime.
int64_t ToUnixMilliseconds(WallTime time);
WallTime FromUnixMilliseconds(int64_t milliseconds);

}  // namespace thornplank

#endif  // THORNPLANK_BASE_TIME_H_
