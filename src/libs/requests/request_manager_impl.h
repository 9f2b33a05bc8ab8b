// The implementation of RequestManager: validates a caller's HTTP request,
// claims its idempotency key if it has one, dispatches it and responds.
#ifndef THORNPLANK_REQUESTS_REQUEST_MANAGER_IMPL_H_
#define THORNPLANK_REQUESTS_REQUEST_MANAGER_IMPL_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "api/api_router.h"
#include "metrics/metrics_registry.h"
#include "requests/caller_request.h"
#include "requests/claim_manager.h"
#include "requests/demand_exchange.h"
#include "requests/request_answer.h"
#include "requests/request_dispatcher.h"
#include "requests/request_manager.h"

namespace thornplank {

class RequestManager::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, HttpClient& http, PeerMesh* mesh,
       LogClient& log, MetricsRegistry& metrics,
       const RequestManagerSettings& settings)
      : io_(io),
        settings_(settings),
        metrics_(metrics),
        mesh_(mesh),
        dispatcher_(io, http, {settings.seed, settings.failure_domain}),
        claims_(io, log, mesh, metrics, settings),
        drain_timer_(io) {}

  void Connect();
  void Handle(const HttpRequest& request, const Caller& caller,
              const PathParameters& parameters, HttpServer::Responder respond);
  void Start();
  void Stop();
  void SetAccounts(const std::vector<AccountLimits>& accounts);
  void SetExecutors(const std::vector<ExecutorInfo>& executors);
  void SetLiveEntries(const std::vector<std::string>& names);
  void SetReachableEntries(const std::vector<ClaimHolder>& entries);
  void Drain(std::function<void()> done);
  size_t in_flight() const;
  bool claims_ready() const { return claims_.caught_up(); }
  int64_t next_claims_offset() const { return claims_.next_offset(); }

 private:
  // A caller's request until it is answered and, if it has a claim, until the
  // claim's outcome is recorded.
  struct Exchange {
    std::string id;
    CallerRequest request;
    Time arrival;
    Time deadline;
    HttpServer::Responder respond;
    // Set once the claim on the key is won.
    std::string claim_id;
    RequestOutcome outcome = RequestOutcome::kUnknown;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  // Validates the request. The account and the service are only checked when
  // `names_known`, i.e. when this entry knows the accounts and services.
  std::optional<CallerRequest> ReadRequest(const HttpRequest& request,
                                           const Caller& caller,
                                           const std::string& service,
                                           bool names_known,
                                           RequestFault* fault) const;
  // Why this entry cannot judge or route requests yet; "" when it can.
  std::string DescribeMissingState() const;
  std::optional<RequestFault> CheckNames(const std::string& account,
                                         const std::string& service) const;
  // Counts a new request as unanswered and returns its id.
  std::string BeginRequest();
  void AcquireClaim(const ExchangePtr& exchange);
  void HandleVerdict(const ExchangePtr& exchange, ClaimVerdict verdict);
  // Refuses the request as not run because this entry lacks state; `reason`
  // says which.
  void RefuseUntilReady(const ExchangePtr& exchange, const std::string& reason);
  // Refuses a non-idempotent request for which no claim was won.
  void RefuseUnclaimed(const ExchangePtr& exchange,
                       const ClaimVerdict& verdict);
  void Submit(const ExchangePtr& exchange);
  void HandleResult(const ExchangePtr& exchange, DispatchResult result);
  // Records the outcome of the claim of a request that ended with kUnknown,
  // once no attempt is in flight any more.
  void HandleSettled(const ExchangePtr& exchange,
                     const std::optional<UpstreamAnswer>& late_answer);
  void Refuse(const ExchangePtr& exchange, const RequestFault& fault);
  void Respond(const ExchangePtr& exchange, HttpResponse response,
               const char* outcome);
  // Posts `done` if everything is drained, else checks again later.
  // `idle_since` is the time of the latest check that found an unsettled
  // request, or of the call of Drain.
  void CheckDrained(Time idle_since, std::function<void()> done);

  boost::asio::io_context& io_;
  const RequestManagerSettings settings_;
  MetricsRegistry& metrics_;
  PeerMesh* const mesh_;
  RequestDispatcher dispatcher_;
  ClaimManager claims_;
  // Null when mesh_ is null.
  std::unique_ptr<DemandExchange> demand_;

  // Guards the members below; no other lock is taken while it is held.
  mutable std::mutex mutex_;
  std::set<std::string> accounts_;
  // Whether SetAccounts has been called.
  bool accounts_known_ = false;
  // Every service that has ever had an executor. A service whose executors are
  // all gone stays known.
  std::set<std::string> services_;
  uint64_t next_request_number_ = 1;
  size_t unanswered_requests_ = 0;
  boost::asio::steady_timer drain_timer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_MANAGER_IMPL_H_
