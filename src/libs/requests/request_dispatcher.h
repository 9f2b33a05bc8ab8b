// Runs the request router and executes its actions: each submitted request is
// sent to executors in one or more attempts and ends with exactly one outcome.
#ifndef THORNPLANK_REQUESTS_REQUEST_DISPATCHER_H_
#define THORNPLANK_REQUESTS_REQUEST_DISPATCHER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "claims/upstream_answer.h"
#include "requests/caller_request.h"
#include "routing/request_router.h"
#include "routing/routing_types.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

class HttpClient;

// The outcomes are described in request_answer.h.
enum class RequestOutcome { kAnswered, kNotRun, kUnknown };

struct DispatchResult {
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // Set for kAnswered.
  UpstreamAnswer answer;
  // Set for kNotRun and kUnknown.
  std::string reason;
  // Set for kNotRun.
  Duration retry_after{};
};

// A request to be sent to executors.
struct Dispatch {
  std::string id;
  CallerRequest request;
  Time deadline;
  // Called right before the first byte of each attempt is sent; the attempt is
  // abandoned when it returns false. May be empty.
  std::function<bool()> may_send;
  // Runs once, on any thread.
  std::function<void(DispatchResult)> on_finished;
  // Runs once, after `on_finished`, when no attempt is in flight any more.
  // `late_answer` is set when a complete answer arrived after the outcome
  // kUnknown. May be empty.
  std::function<void(std::optional<UpstreamAnswer> late_answer)> on_settled;
};

class RequestDispatcher {
 public:
  RequestDispatcher(boost::asio::io_context& io, HttpClient& http,
                    RouterOptions options);
  ~RequestDispatcher();

  void Start();
  void Stop();

  void SetAccounts(const std::vector<AccountLimits>& accounts);
  void SetExecutors(const std::vector<ExecutorInfo>& executors);
  void SetPeers(const std::string& own_name,
                const std::vector<std::string>& live_entries);
  void SetPeerDemand(const PeerDemand& demand);
  PeerDemand demand() const;

  // The refusal with which Submit would end the request now; nullopt when it
  // would be admitted.
  std::optional<Refusal> CheckAdmission(const std::string& id,
                                        const CallerRequest& request,
                                        Time deadline) const;
  // `on_finished` may run before Submit returns.
  void Submit(Dispatch dispatch);

  // Number of requests that are not finished or still have an attempt in
  // flight.
  size_t unsettled_count() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_DISPATCHER_H_
