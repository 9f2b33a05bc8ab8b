// Translation of attempts into HTTP requests, and of responses and failures
// into outcomes.
#include "requests/attempt_sender.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr char kNotRunHeader[] = "Thornplank-Not-Run";
constexpr char kLeavingHeader[] = "Thornplank-Leaving";
constexpr char kHealthTarget[] = "/healthz";
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;
constexpr Duration kMinTimeout = Milliseconds(1);

bool ProvesNotRun(const HttpResponse& response) {
  return response.status == kServiceUnavailable &&
         response.headers.Value(kNotRunHeader) == "1";
}

AttemptOutcome OutcomeOf(const HttpResponse& response) {
  if (ProvesNotRun(response)) return AttemptOutcome::kRefusedNotRun;
  if (response.status >= kFirstServerError) return AttemptOutcome::kFailed;
  return AttemptOutcome::kAnswered;
}

AttemptResult ResultOf(const std::optional<HttpResponse>& response,
                       const HttpFailure& failure, Duration latency) {
  AttemptResult result;
  result.latency = latency;
  if (!response) {
    result.outcome = failure.progress == SendProgress::kNotSent
                         ? AttemptOutcome::kNotSent
                         : AttemptOutcome::kUnknown;
    return result;
  }
  result.outcome = OutcomeOf(*response);
  result.leaving = response->headers.Value(kLeavingHeader) == "1";
  return result;
}

AttemptReport ReportOf(const std::optional<HttpResponse>& response,
                       const HttpFailure& failure, const std::string& executor,
                       Duration latency) {
  AttemptReport report;
  report.result = ResultOf(response, failure, latency);
  if (!response) {
    report.error = failure.error;
    return report;
  }
  if (report.result.outcome != AttemptOutcome::kRefusedNotRun) {
    report.answer = ToUpstreamAnswer(*response, executor);
  }
  return report;
}

HttpRequest ToHttpRequest(Attempt* attempt, Duration time_left) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/services/" + attempt->service + "/requests";
  request.headers.Set(kRequestIdHeader, attempt->id);
  request.headers.Set(
      kDeadlineHeader,
      std::to_string(
          std::chrono::duration_cast<Milliseconds>(time_left).count()));
  if (!attempt->content_type.empty()) {
    request.headers.Set("Content-Type", attempt->content_type);
  }
  if (!attempt->idempotency_key.empty()) {
    request.headers.Set(kIdempotencyKeyHeader, attempt->idempotency_key);
  }
  request.body = std::move(attempt->body);
  return request;
}

}  // namespace

AttemptSender::AttemptSender(HttpClient& http) : http_(http) {}

void AttemptSender::Send(Attempt attempt, Callback callback) {
  const Time start = std::chrono::steady_clock::now();
  const Duration time_left = std::max(kMinTimeout, attempt.deadline - start);
  HttpSendOptions options;
  options.timeout = time_left;
  options.verify_connection = !attempt.idempotency_key.empty();
  options.match_header = kRequestIdHeader;
  options.may_send = std::move(attempt.may_send);
  HttpRequest request = ToHttpRequest(&attempt, time_left);
  http_.Send(
      attempt.address, std::move(request), std::move(options),
      [executor = attempt.executor, start, callback = std::move(callback)](
          std::optional<HttpResponse> response, const HttpFailure& failure) {
        const Duration latency = std::chrono::steady_clock::now() - start;
        callback(ReportOf(response, failure, executor, latency));
      });
}

void AttemptSender::Probe(const std::string& address, Duration timeout,
                          std::function<void(AttemptResult)> callback) {
  HttpRequest request;
  request.target = kHealthTarget;
  HttpSendOptions options;
  options.timeout = std::max(kMinTimeout, timeout);
  const Time start = std::chrono::steady_clock::now();
  http_.Send(
      address, std::move(request), std::move(options),
      [start, callback = std::move(callback)](
          std::optional<HttpResponse> response, const HttpFailure& failure) {
        callback(ResultOf(response, failure,
                          std::chrono::steady_clock::now() - start));
      });
}

}  // namespace thornplank
