// Sends single attempts of requests to executors over HTTP and classifies their
// outcomes.
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

// The data of one attempt.
struct Attempt {
  // Unique per attempt. The executor returns it with its answer.
  std::string id;
  std::string service;
  // Name of the executor.
  std::string executor;
  std::string address;
  std::string content_type;
  std::string body;
  // Empty when the request is idempotent.
  std::string idempotency_key;
  Time deadline;
  // Called right before the first byte is sent; the attempt is abandoned when
  // it returns false. May be empty.
  std::function<bool()> may_send;
};

struct AttemptReport {
  AttemptResult result;
  // Set if and only if the outcome is kAnswered or kFailed.
  std::optional<UpstreamAnswer> answer;
  // Set when no response arrived.
  Error error;
};

class AttemptSender {
 public:
  using Callback = std::function<void(AttemptReport)>;

  explicit AttemptSender(HttpClient& http);

  // `callback` runs once, on any thread, after Send has returned.
  void Send(Attempt attempt, Callback callback);
  // Sends a health check to the executor.
  void Probe(const std::string& address, Duration timeout,
             std::function<void(AttemptResult)> callback);

 private:
  HttpClient& http_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_ATTEMPT_SENDER_H_
