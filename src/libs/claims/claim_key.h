// 128-bit digests of idempotency keys and of request bodies.
//
// The table of claims holds digests in place of the keys themselves, so that
// a key costs the same however long it is. A collision can only refuse a
// request; it never makes one run twice.
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

// The identity of an idempotency key: no two different triples give the same
// input to the hash.
Digest128 ClaimKeyDigest(std::string_view account, std::string_view service,
                         std::string_view key);

// 32 hexadecimal digits, and back; nullopt when malformed.
std::string ToHex(const Digest128& digest);
std::optional<Digest128> ParseDigest(std::string_view hex);

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_CLAIM_KEY_H_
