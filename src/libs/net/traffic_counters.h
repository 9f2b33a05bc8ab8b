// Counters of the bytes a client has written to and read from its connections.
#ifndef THORNPLANK_NET_TRAFFIC_COUNTERS_H_
#define THORNPLANK_NET_TRAFFIC_COUNTERS_H_

#include <atomic>
#include <cstdint>

namespace thornplank {

// TCP payload, including HTTP headers. Thread-safe.
struct TrafficCounters {
  std::atomic<uint64_t> sent{0};
  std::atomic<uint64_t> received{0};
};

}  // namespace thornplank

#endif  // THORNPLANK_NET_TRAFFIC_COUNTERS_H_
