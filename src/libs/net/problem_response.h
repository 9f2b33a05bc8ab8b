// Problem details (RFC 9457) as HTTP responses.
#ifndef THORNPLANK_NET_PROBLEM_RESPONSE_H_
#define THORNPLANK_NET_PROBLEM_RESPONSE_H_

#include <string_view>

#include "base/error.h"
#include "net/http_message.h"

namespace thornplank {

// The standard phrase of `status`, or "Error".
std::string_view StatusTitle(int status);

// {"type","title","status","detail","step","peer"} with the error's reason as
// the detail.
HttpResponse ProblemResponse(int status, const Error& error);

}  // namespace thornplank

#endif  // THORNPLANK_NET_PROBLEM_RESPONSE_H_
