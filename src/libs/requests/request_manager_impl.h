// The inside of RequestManager: from a caller's HTTP request to its answer.
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
#include "requests/claim_flow.h"
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
  bool claims_ready() const { return claims_.ready(); }
  int64_t next_claims_offset() const { return claims_.offset(); }

 private:
  // One request of a caller.
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

  std::optional<CallerRequest> Read(const HttpRequest& request,
                                    const Caller& caller,
                                    const std::string& service,
                                    bool names_known,
                                    RequestFault* fault) const;
  std::string MissingState() const;
  std::optional<RequestFault> CheckNames(const std::string& account,
                                         const std::string& service) const;
  std::string NextRequestId();
  void Acquire(const ExchangePtr& exchange);
  void HandleVerdict(const ExchangePtr& exchange, ClaimVerdict verdict);
  void RefuseForNow(const ExchangePtr& exchange, const std::string& reason);
  void RefuseUnclaimed(const ExchangePtr& exchange,
                       const ClaimVerdict& verdict);
  void Submit(const ExchangePtr& exchange);
  void Finish(const ExchangePtr& exchange, DispatchResult result);
  void Settle(const ExchangePtr& exchange,
              const std::optional<UpstreamAnswer>& late_answer);
  void Refuse(const ExchangePtr& exchange, const RequestFault& fault);
  void Answer(const ExchangePtr& exchange, HttpResponse response,
              const char* outcome);
  void CheckDrained(Time begun, std::function<void()> done);

  boost::asio::io_context& io_;
  const RequestManagerSettings settings_;
  MetricsRegistry& metrics_;
  PeerMesh* const mesh_;
  RequestDispatcher dispatcher_;
  ClaimFlow claims_;
  // Null without a mesh.
  std::unique_ptr<DemandExchange> demand_;

  // Guards everything below; no other lock is taken while it is held.
  mutable std::mutex mutex_;
  std::set<std::string> accounts_;
  // Accounts have been set once.
  bool accounts_known_ = false;
  // Every service that an executor ever had: one whose executors are all gone
  // is not unknown.
  std::set<std::string> services_;
  uint64_t next_request_ = 1;
  // Exchanges without an answer.
  size_t unanswered_ = 0;
  boost::asio::steady_timer drain_timer_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_REQUEST_MANAGER_IMPL_H_
