// Validation of the headers and the body of a caller's request.
#include "requests/caller_request.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace thornplank {
namespace {

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;

void SetFault(int status, std::string title, std::string detail,
              RequestFault* fault) {
  *fault = {status, std::move(title), std::move(detail)};
}

std::optional<int64_t> ParseWholeNumber(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

std::optional<Milliseconds> ReadDeadline(const HttpRequest& request,
                                         const CallerRequestLimits& limits,
                                         RequestFault* fault) {
  if (!request.headers.Has(kDeadlineHeader)) return limits.default_deadline;
  const auto value = ParseWholeNumber(request.headers.Value(kDeadlineHeader));
  if (!value || *value <= 0 || *value > limits.max_deadline.count()) {
    SetFault(kBadRequest, "Bad deadline",
             std::string(kDeadlineHeader) +
                 " must be a whole number of milliseconds from 1 to " +
                 std::to_string(limits.max_deadline.count()),
             fault);
    return std::nullopt;
  }
  return Milliseconds(*value);
}

// Rejects requests that repeat one of these headers. If there were two values,
// another component that reads the same request might use the other one and run
// it under a different key.
bool CheckNoRepeatedHeaders(const HttpRequest& request, RequestFault* fault) {
  for (const char* name : {kDeadlineHeader, kIdempotencyKeyHeader,
                           kIdempotencyKeyTimeHeader, kRepeatHeader}) {
    if (request.headers.Count(name) <= 1) continue;
    SetFault(kBadRequest, "Repeated header",
             std::string(name) + " may be given once only", fault);
    return false;
  }
  return true;
}

bool IsPrintableAscii(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c >= 0x20 && c < 0x7f; });
}

// Returns false and sets `*fault` when the two headers do not form a valid key.
// Leaves `*key` empty when both are absent.
bool ReadIdempotencyKey(const HttpRequest& request,
                        const CallerRequestLimits& limits,
                        std::optional<IdempotencyKey>* key,
                        RequestFault* fault) {
  const bool has_key = request.headers.Has(kIdempotencyKeyHeader);
  const bool has_time = request.headers.Has(kIdempotencyKeyTimeHeader);
  if (!has_key && !has_time) return true;
  if (!has_key || !has_time) {
    SetFault(kBadRequest, "Incomplete idempotency key",
             std::string(kIdempotencyKeyHeader) + " and " +
                 kIdempotencyKeyTimeHeader + " are only valid together",
             fault);
    return false;
  }
  std::string text = request.headers.Value(kIdempotencyKeyHeader);
  if (text.empty() || text.size() > limits.max_idempotency_key_bytes ||
      !IsPrintableAscii(text)) {
    SetFault(kBadRequest, "Bad idempotency key",
             std::string(kIdempotencyKeyHeader) + " must have 1 to " +
                 std::to_string(limits.max_idempotency_key_bytes) +
                 " visible ASCII characters",
             fault);
    return false;
  }
  const auto time =
      ParseWholeNumber(request.headers.Value(kIdempotencyKeyTimeHeader));
  // Larger values are not plausible as milliseconds since the epoch, and time
  // arithmetic with them would overflow.
  constexpr int64_t kMaxUnixMilliseconds = int64_t{1} << 42;
  if (!time || *time < 0 || *time > kMaxUnixMilliseconds) {
    SetFault(kBadRequest, "Bad idempotency key time",
             std::string(kIdempotencyKeyTimeHeader) +
                 " must be the time at which the key was made, in "
                 "milliseconds since the Unix epoch",
             fault);
    return false;
  }
  *key = IdempotencyKey{std::move(text), FromUnixMilliseconds(*time),
                        DigestOf(request.body),
                        request.headers.Value(kRepeatHeader) == "1"};
  return true;
}

}  // namespace

std::optional<CallerRequest> ReadCallerRequest(
    HttpRequest request, const std::string& account, const std::string& service,
    const CallerRequestLimits& limits, RequestFault* fault) {
  if (request.body.size() > limits.max_request_bytes) {
    SetFault(kContentTooLarge, "Request too large",
             "a body may have at most " +
                 std::to_string(limits.max_request_bytes) + " bytes",
             fault);
    return std::nullopt;
  }
  if (!CheckNoRepeatedHeaders(request, fault)) return std::nullopt;
  const auto time_allowed = ReadDeadline(request, limits, fault);
  if (!time_allowed) return std::nullopt;
  CallerRequest result;
  if (!ReadIdempotencyKey(request, limits, &result.idempotency_key, fault)) {
    return std::nullopt;
  }
  result.account = account;
  result.service = service;
  result.content_type = request.headers.Value("Content-Type");
  result.body = std::move(request.body);
  result.time_allowed = *time_allowed;
  return result;
}

}  // namespace thornplank
