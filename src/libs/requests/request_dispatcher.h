// Carries the request router: requests that may be sent go in, attempts go to
// executors, and each request comes out with one outcome.
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

enum class RequestOutcome { kAnswered, kNotRun, kUnknown };

struct DispatchResult {
  RequestOutcome outcome = RequestOutcome::kUnknown;
  // kAnswered.
  UpstreamAnswer answer;
  // kNotRun, kUnknown.
  std::string reason;
  // kNotRun.
  Duration retry_after{};
};

// One request on its way to executors.
struct Dispatch {
  std::string id;
  CallerRequest request;
  Time deadline;
  // Last check before the first byte of each attempt; may be empty.
  std::function<bool()> may_send;
  // Runs once, on any thread.
  std::function<void(DispatchResult)> finished;
  // Runs once, after `finished` and when no attempt is in flight any more,
  // with the whole answer when one came after the outcome kUnknown. May be
  // empty.
  std::function<void(std::optional<UpstreamAnswer> late_answer)> settled;
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

  // Whether Submit would refuse the request now.
  std::optional<Refusal> CheckAdmission(const std::string& id,
                                        const CallerRequest& request,
                                        Time deadline) const;
  // `finished` may run before Submit returns.
  void Submit(Dispatch dispatch);

  // Requests that are not finished, or have an attempt in flight.
  size_t unsettled() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_DISPATCHER_H_
