// 128-bit digests of idempotency keys and of request bodies.
//
// ClaimTable stores digests in place of the keys, so that the memory for a key
// does not depend on its length. A collision can only cause a request to be
// refused; it never causes a request to run twice.
#ifndef THORNPLANK_CLAIMS_CLAIM_KEY_H_
#define THORNPLANK_CLAIMS_CLAIM_KEY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace thornplank {

struct Digest128 {
  uint64_t low = 0;
  uint64_t high = 0;

  bool operator==(const Digest128& other) const {
    return low == other.low && high == other.high;
  }
  bool operator!=(const Digest128& other) const { return !(*this == other); }
};

struct Digest128Hash {
  size_t operator()(const Digest128& digest) const { return digest.low; }
};

// The xxHash digest of `bytes`; used for request bodies.
Digest128 DigestOf(std::string_view bytes);

// Identifies an idempotency key within its account and service: different
// triples never give the same input to the hash.
Digest128 ClaimKeyDigest(std::string_view account, std::string_view service,
                         std::string_view key);

// Returns the digest as 32 hexadecimal digits.
std::string ToHex(const Digest128& digest);
// Parses the output of ToHex; nullopt when malformed.
std::optional<Digest128> ParseDigest(std::string_view hex);

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_KEY_H_
