// Construction of the responses to callers.
#include "requests/request_answer.h"

#include <algorithm>

#include "api/api_router.h"

namespace thornplank {
namespace {

constexpr int kServiceUnavailable = 503;

int64_t CeilSeconds(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
  return std::max<int64_t>(1, seconds.count());
}

}  // namespace

UpstreamAnswer ToUpstreamAnswer(const HttpResponse& upstream,
                                const std::string& executor) {
  return {upstream.status, upstream.headers.Value("Content-Type"),
          upstream.body, executor};
}

HttpResponse AnsweredResponse(const std::string& request_id,
                              const UpstreamAnswer& answer) {
  HttpResponse response;
  response.status = answer.status;
  if (!answer.content_type.empty()) {
    response.headers.Set("Content-Type", answer.content_type);
  }
  response.headers.Set(kOutcomeHeader, kOutcomeAnswered);
  response.headers.Set(kRequestIdHeader, request_id);
  response.headers.Set(kExecutorHeader, answer.executor);
  response.body = answer.body;
  return response;
}

HttpResponse NotRunResponse(const std::string& request_id,
                            const std::string& reason, Duration retry_after) {
  HttpResponse response =
      ProblemResponse(kServiceUnavailable, "Request not run", reason);
  response.headers.Set(kOutcomeHeader, kOutcomeNotRun);
  response.headers.Set(kRequestIdHeader, request_id);
  response.headers.Set("Retry-After", std::to_string(CeilSeconds(retry_after)));
  return response;
}

HttpResponse UnknownResponse(const std::string& request_id, int status,
                             const std::string& reason) {
  HttpResponse response = ProblemResponse(status, "Outcome unknown", reason);
  response.headers.Set(kOutcomeHeader, kOutcomeUnknown);
  response.headers.Set(kRequestIdHeader, request_id);
  return response;
}

HttpResponse FaultResponse(const std::string& request_id,
                           const RequestFault& fault) {
  HttpResponse response =
      ProblemResponse(fault.status, fault.title, fault.detail);
  response.headers.Set(kRequestIdHeader, request_id);
  return response;
}

}  // namespace thornplank
