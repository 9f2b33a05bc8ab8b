// Problem details (RFC 9457) as HTTP responses.
#ifndef THORNPLANK_NET_PROBLEM_RESPONSE_H_
#define THORNPLANK_NET_PROBLEM_RESPONSE_H_

#include <string_view>

#include "base/error.h"
#include "net/http_message.h"

namespace thornplank {

// The standard reason phrase of `status`, or "Error".
std::string_view StatusTitle(int status);

// Builds a response with the body
// {"type","title","status","detail","step","peer"}; the detail is the error's
// reason.
HttpResponse ProblemResponse(int status, const Error& error);

}  // namespace thornplank

#endif  // THORNPLANK_NET_PROBLEM_RESPONSE_H_
