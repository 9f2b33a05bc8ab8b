// The answers that callers get, for each outcome.
//
// `answered`: a whole answer of an executor, whatever its status. `not-run`:
// proved that this request was given to no executor and never will be.
// `unknown`: it may have run and there is no whole answer to give.
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

// The answer of `upstream` without the headers that concern only this hop.
UpstreamAnswer ToUpstreamAnswer(const HttpResponse& upstream,
                                const std::string& executor);

HttpResponse AnsweredResponse(const std::string& request_id,
                              const UpstreamAnswer& answer);
// 503 with Retry-After, rounded up to whole seconds and at least one.
HttpResponse NotRunResponse(const std::string& request_id,
                            const std::string& reason, Duration retry_after);
// 504 for a deadline or a broken connection, 409 for a repeat of a key.
HttpResponse UnknownResponse(const std::string& request_id, int status,
                             const std::string& reason);
// A refusal because of what the request is; it carries no outcome.
HttpResponse FaultResponse(const std::string& request_id,
                           const RequestFault& fault);

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_ANSWER_H_
