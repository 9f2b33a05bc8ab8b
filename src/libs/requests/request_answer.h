// The HTTP responses to callers, for each outcome of a request.
//
// `answered`: a complete answer of an executor, whatever its status.
// `not-run`: the request provably was not and never will be run by an executor.
// `unknown`: the request may have run, and there is no complete answer.
#ifndef THORNPLANK_REQUESTS_REQUEST_ANSWER_H_
#define THORNPLANK_REQUESTS_REQUEST_ANSWER_H_

#include <string>

#include "base/time.h"
#include "claims/upstream_answer.h"
#include "net/http_message.h"
#include "requests/caller_request.h"

namespace thornplank {

inline constexpr char kRequestIdHeader[] = "Thornplank-Request-Id";
inline constexpr char kOutcomeHeader[] = "Thornplank-Outcome";
inline constexpr char kExecutorHeader[] = "Thornplank-Executor";
inline constexpr char kOutcomeAnswered[] = "answered";
inline constexpr char kOutcomeNotRun[] = "not-run";
inline constexpr char kOutcomeUnknown[] = "unknown";

// Keeps only what callers get of the executor's response; hop-specific headers
// are dropped.
UpstreamAnswer ToUpstreamAnswer(const HttpResponse& upstream,
                                const std::string& executor);

HttpResponse AnsweredResponse(const std::string& request_id,
                              const UpstreamAnswer& answer);
// 503 with Retry-After, rounded up to whole seconds and at least one.
HttpResponse NotRunResponse(const std::string& request_id,
                            const std::string& reason, Duration retry_after);
// `status` is 504 after a timeout or a broken connection, 409 for a repeat of a
// key.
HttpResponse UnknownResponse(const std::string& request_id, int status,
                             const std::string& reason);
// The response to an invalid request; it has no outcome header.
HttpResponse FaultResponse(const std::string& request_id,
                           const RequestFault& fault);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_ANSWER_H_
