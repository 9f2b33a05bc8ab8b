// HTTP form of the calls between entries.
//
// A forwarded call keeps its method, headers and body. Its target is that of
// the caller after kForwardPath; what the gateway adds is in headers of its
// own.
#ifndef THORNPLANK_REPLICAS_ENTRY_MESSAGES_H_
#define THORNPLANK_REPLICAS_ENTRY_MESSAGES_H_

#include <optional>

#include "net/http_message.h"
#include "replicas/entry_calls.h"

namespace thornplank {

inline constexpr char kIntroducePath[] = "/v1/entry/introduce";
inline constexpr char kRosterPath[] = "/v1/entry/roster";
inline constexpr char kForwardPath[] = "/v1/entry/forward";

// The Read functions return nullopt if the message is malformed.
HttpRequest ToRequest(const EntryIntroduction& introduction);
std::optional<EntryIntroduction> ReadIntroduction(const HttpRequest& request);
HttpResponse ToResponse(const IntroductionAnswer& answer);
std::optional<IntroductionAnswer> ReadIntroductionAnswer(
    const HttpResponse& response);

HttpRequest ToRequest(const ReplicaRoster& roster);
std::optional<ReplicaRoster> ReadRosterRequest(const HttpRequest& request);

HttpRequest ToRequest(const ForwardedCall& call);
std::optional<ForwardedCall> ReadForwardedCall(HttpRequest request);
HttpResponse ToResponse(CallAnswer answer);
// An answer that no replica gave, such as that of a server that is overloaded,
// is no answer to the call.
std::optional<CallAnswer> ReadCallAnswer(HttpResponse response);

}  // namespace thornplank

#endif  // THORNPLANK_REPLICAS_ENTRY_MESSAGES_H_
