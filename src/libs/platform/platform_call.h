// What the clients of the platform share: JSON requests and their answers.
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

// One call of the platform.
struct PlatformCall {
  // For errors: "append", "grant".
  std::string step;
  // "ip:port".
  std::string address;
  std::string method = "GET";
  std::string target;
  // Not sent when null.
  Json body;
  // If-None-Match; empty for none. The answer may then be 304 without a body.
  std::string etag;
  Duration timeout = std::chrono::seconds(1);
};

// How a call ended.
struct PlatformReply {
  // 0 when no whole answer came.
  int status = 0;
  // Of an answer with a JSON object as its body, else null.
  Json body;
  // The answer's ETag, or "".
  std::string etag;
  // Of the answer's Retry-After in seconds, else zero.
  Duration retry_after = Duration::zero();
  // Meaningful when status is 0.
  SendProgress progress = SendProgress::kUnknown;
  // Set unless status is 200 with a JSON object, or 304.
  Error error;

  bool ok() const { return error.step.empty(); }
};

// `callback` runs once, on a thread of the client.
void SendPlatformCall(HttpClient& http, const PlatformCall& call,
                      std::function<void(const PlatformReply&)> callback);

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_PLATFORM_CALL_H_
