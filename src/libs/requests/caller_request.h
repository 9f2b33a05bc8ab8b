// Reads and checks what a caller asks for, before any decision is made.
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
// "1" when the caller may have sent a request of this key before.
inline constexpr char kRepeatHeader[] = "Thornplank-Repeat";

// Present when the request is not idempotent.
struct IdempotencyKey {
  std::string key;
  // When the caller made the key.
  WallTime key_time;
  Digest128 body_digest;
  // The caller says that it may have sent a request of this key before.
  bool repeat = false;
};

// One request as the caller sent it, checked.
struct CallerRequest {
  std::string account;
  std::string service;
  std::string content_type;
  std::string body;
  // From the arrival; never zero or below.
  Milliseconds time_allowed{};
  std::optional<IdempotencyKey> idempotency_key;

  bool idempotent() const { return !idempotency_key.has_value(); }
};

struct CallerRequestLimits {
  Milliseconds default_deadline{10000};
  Milliseconds max_deadline{120000};
  size_t max_request_bytes = 4 * 1024 * 1024;
  size_t max_idempotency_key_bytes = 256;
};

// Why a request is refused because of what it is, not of the system's state.
struct RequestFault {
  int status = 400;
  std::string title;
  std::string detail;
};

// nullopt and `*fault` when a header or the body is not acceptable.
std::optional<CallerRequest> ReadCallerRequest(
    HttpRequest request, const std::string& account, const std::string& service,
    const CallerRequestLimits& limits, RequestFault* fault);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CALLER_REQUEST_H_
