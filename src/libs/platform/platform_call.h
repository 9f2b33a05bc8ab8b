// JSON requests and responses, shared by the clients of the platform.
#ifndef THORNPLANK_PLATFORM_PLATFORM_CALL_H_
#define THORNPLANK_PLATFORM_PLATFORM_CALL_H_

#include <functional>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/json.h"
#include "base/time.h"
#include "net/http_client.h"
#include "net/http_message.h"

namespace thornplank {

// One request to the platform.
struct PlatformCall {
  // The step named in errors: "append", "grant".
  std::string step;
  // "ip:port".
  std::string address;
  std::string method = "GET";
  std::string target;
  // Not sent when null.
  Json body;
  // Sent as If-None-Match unless empty. The response may then be 304 without a
  // body.
  std::string etag;
  Duration timeout = std::chrono::seconds(1);
};

// The outcome of a call.
struct PlatformReply {
  // 0 when no complete response was received.
  int status = 0;
  // The response body when it is a JSON object, else null.
  Json body;
  // The response's ETag, or "".
  std::string etag;
  // The response's Retry-After (seconds on the wire), at most one minute; zero
  // when absent.
  Duration retry_after = Duration::zero();
  // Valid only when status is 0.
  SendProgress progress = SendProgress::kUnknown;
  // Set unless status is 200 with a JSON object, or 304.
  Error error;

  bool ok() const { return error.step.empty(); }
};

// Sends `call`. `callback` runs once, on a thread of `http`.
void SendPlatformCall(HttpClient& http, const PlatformCall& call,
                      std::function<void(const PlatformReply&)> callback);

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_PLATFORM_CALL_H_
