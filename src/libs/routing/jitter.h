// Deterministic jitter from a seed and a key.
#ifndef THORNPLANK_ROUTING_JITTER_H_
#define THORNPLANK_ROUTING_JITTER_H_

#include <cstdint>
#include <string_view>

namespace thornplank {

// A pseudo-random number in [0, 1) that depends only on the seed and the key.
double JitterFraction(uint64_t seed, std::string_view key);

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SPREAD_H_
