// Sends JSON requests and decodes the responses.
#include "platform/platform_call.h"

#include <charconv>
#include <utility>

namespace thornplank {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr std::chrono::seconds kMaxRetryAfter{60};

Duration ParseRetryAfter(const std::string& text) {
  int64_t seconds = 0;
  const char* end = text.data() + text.size();
  const auto [last, code] = std::from_chars(text.data(), end, seconds);
  if (code != std::errc() || last != end || seconds < 0) {
    return Duration::zero();
  }
  return std::min<Duration>(std::chrono::seconds(seconds), kMaxRetryAfter);
}

// Formats the status and the problem's detail: "status 503: detail".
std::string DescribeStatus(const PlatformReply& reply) {
  std::string reason = "status " + std::to_string(reply.status);
  const auto detail = StringField(reply.body, "detail");
  if (detail) reason += ": " + *detail;
  return reason;
}

PlatformReply ToReply(const PlatformCall& call,
                      const std::optional<HttpResponse>& response,
                      const HttpFailure& failure) {
  PlatformReply reply;
  if (!response) {
    reply.progress = failure.progress;
    reply.error = {call.step, call.address,
                   failure.error.step + ": " + failure.error.reason};
    return reply;
  }
  reply.status = response->status;
  reply.retry_after = ParseRetryAfter(response->headers.Value("Retry-After"));
  reply.etag = response->headers.Value("ETag");
  if (reply.status == kNotModified && !call.etag.empty()) return reply;
  std::optional<Json> body = ParseJson(response->body);
  if (body && body->is_object()) reply.body = std::move(*body);
  if (reply.status != kOk) {
    reply.error = {call.step, call.address, DescribeStatus(reply)};
  } else if (reply.body.is_null()) {
    reply.error = {call.step, call.address, "the answer is no JSON object"};
  }
  return reply;
}

}  // namespace

void SendPlatformCall(HttpClient& http, const PlatformCall& call,
                      std::function<void(const PlatformReply&)> callback) {
  HttpRequest request;
  request.method = call.method;
  request.target = call.target;
  if (!call.etag.empty()) request.headers.Set("If-None-Match", call.etag);
  if (!call.body.is_null()) {
    request.headers.Set("Content-Type", "application/json");
    // Texts from callers may contain invalid UTF-8.
    request.body =
        call.body.dump(-1, ' ', false, Json::error_handler_t::replace);
  }
  HttpSendOptions options;
  options.timeout = call.timeout;
  PlatformCall call_without_body = call;
  call_without_body.body = nullptr;
  http.Send(
      call.address, std::move(request), std::move(options),
      [call = std::move(call_without_body), callback = std::move(callback)](
          std::optional<HttpResponse> response, const HttpFailure& failure) {
        callback(ToReply(call, response, failure));
      });
}

}  // namespace thornplank
