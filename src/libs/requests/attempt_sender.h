// Sends one attempt of a request to an executor and says how it went.
#ifndef THORNPLANK_REQUESTS_ATTEMPT_SENDER_H_
#define THORNPLANK_REQUESTS_ATTEMPT_SENDER_H_

#include <functional>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "requests/request_answer.h"
#include "routing/routing_types.h"

namespace thornplank {

// One attempt as it goes to the executor.
struct Attempt {
  // Unique per attempt; the executor echoes it.
  std::string id;
  std::string service;
  std::string executor;
  std::string address;
  std::string content_type;
  std::string body;
  // "" when the request is idempotent.
  std::string idempotency_key;
  Time deadline;
  // Last check before the first byte; may be empty.
  std::function<bool()> may_send;
};

struct AttemptReport {
  AttemptResult result;
  // Set exactly when `result` is kAnswered or kFailed.
  std::optional<UpstreamAnswer> answer;
  // Set when there is no answer.
  Error error;
};

class AttemptSender {
 public:
  using Callback = std::function<void(AttemptReport)>;

  explicit AttemptSender(HttpClient& http);

  // `callback` runs once, on any thread, never before Send returns.
  void Send(Attempt attempt, Callback callback);
  // Asks the executor for its health.
  void Probe(const std::string& address, Duration timeout,
             std::function<void(AttemptResult)> callback);

 private:
  HttpClient& http_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_ATTEMPT_SENDER_H_
