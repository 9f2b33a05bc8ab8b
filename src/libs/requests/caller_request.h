// Parses and validates a caller's HTTP request.
#ifndef THORNPLANK_REQUESTS_CALLER_REQUEST_H_
#define THORNPLANK_REQUESTS_CALLER_REQUEST_H_

#include <cstddef>
#include <optional>
#include <string>

#include "base/time.h"
#include "claims/claim_key.h"
#include "net/http_message.h"

namespace thornplank {

inline constexpr char kDeadlineHeader[] = "Thornplank-Deadline-Ms";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
inline constexpr char kIdempotencyKeyTimeHeader[] = "Idempotency-Key-Time";
// "1" when the caller may already have sent a request with this key.
inline constexpr char kRepeatHeader[] = "Thornplank-Repeat";

// The key of a non-idempotent request, with what identifies its repeats.
struct IdempotencyKey {
  std::string key;
  // When the caller created the key.
  WallTime key_time;
  Digest128 body_digest;
  // The caller declares that it may already have sent a request with this key.
  bool repeat = false;
};

// A validated request of a caller.
struct CallerRequest {
  std::string account;
  std::string service;
  std::string content_type;
  std::string body;
  // Time from the arrival of the request to its deadline; always positive.
  Milliseconds time_allowed{};
  // Set if and only if the request is not idempotent.
  std::optional<IdempotencyKey> idempotency_key;

  bool idempotent() const { return !idempotency_key.has_value(); }
};

struct CallerRequestLimits {
  Milliseconds default_deadline{10000};
  Milliseconds max_deadline{120000};
  size_t max_request_bytes = 4 * 1024 * 1024;
  size_t max_idempotency_key_bytes = 256;
};

// Why a request is invalid, whatever the state of the system; the fields of the
// problem-details response.
struct RequestFault {
  int status = 400;
  std::string title;
  std::string detail;
};

// Returns nullopt and sets `*fault` when a header or the body is invalid.
std::optional<CallerRequest> ReadCallerRequest(
    HttpRequest request, const std::string& account, const std::string& service,
    const CallerRequestLimits& limits, RequestFault* fault);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CALLER_REQUEST_H_
