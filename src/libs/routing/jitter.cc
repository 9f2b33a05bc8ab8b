// Computes the fraction from a hash of the key.
#include "routing/jitter.h"

#include <xxhash.h>

namespace thornplank {
namespace {

// Width of the mantissa of a double, in bits.
constexpr int kFractionBits = 53;

}  // namespace

double JitterFraction(uint64_t seed, std::string_view key) {
  const uint64_t hash = XXH64(key.data(), key.size(), seed);
  return static_cast<double>(hash >> (64 - kFractionBits)) /
         static_cast<double>(uint64_t{1} << kFractionBits);
}

}  // namespace thornplank
