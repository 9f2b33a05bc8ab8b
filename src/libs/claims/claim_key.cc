// Computes digests by xxHash and converts them to and from hexadecimal text.
#include "claims/claim_key.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>

namespace thornplank {
namespace {

constexpr size_t kHexDigits = 32;
constexpr size_t kHalfDigits = kHexDigits / 2;

// The length prefix distinguishes ("ab", "c") from ("a", "bc").
void AppendLengthPrefixed(std::string_view part, std::string* input) {
  input->append(std::to_string(part.size()));
  input->push_back(':');
  input->append(part);
}

std::optional<uint64_t> ParseHalf(std::string_view digits) {
  uint64_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, value, 16);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

}  // namespace

Digest128 DigestOf(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.low64, hash.high64};
}

Digest128 ClaimKeyDigest(std::string_view account, std::string_view service,
                         std::string_view key) {
  std::string input;
  AppendLengthPrefixed(account, &input);
  AppendLengthPrefixed(service, &input);
  AppendLengthPrefixed(key, &input);
  return DigestOf(input);
}

std::string ToHex(const Digest128& digest) {
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(digest.high),  // NOLINT
                static_cast<unsigned long long>(digest.low));  // NOLINT
  return std::string(text, kHexDigits);
}

std::optional<Digest128> ParseDigest(std::string_view hex) {
  if (hex.size() != kHexDigits) return std::nullopt;
  const auto high = ParseHalf(hex.substr(0, kHalfDigits));
  const auto low = ParseHalf(hex.substr(kHalfDigits));
  if (!high || !low) return std::nullopt;
  return Digest128{*low, *high};
}

}  // namespace thornplank
