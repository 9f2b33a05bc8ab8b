// Decides which executor gets which request, when, and what the caller is told.
//
// One object per entry. It holds the queues, the executors' loads and health,
// and the retry budgets; it does no I/O and reads no clock. Every call takes
// the present time and returns the actions that follow from the event. Each
// submitted request gets exactly one final action: FinishAnswered,
// FinishNotRun or FinishUnknown. Not thread-safe; the carrier holds it under
// its mutex.
#ifndef THORNPLANK_ROUTING_REQUEST_ROUTER_H_
#define THORNPLANK_ROUTING_REQUEST_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/retry_budget.h"
#include "routing/routing_types.h"

namespace thornplank {

class RequestTable;
class ServiceRouter;
class SlotSharingPolicy;
struct RoutedRequest;

struct RouterOptions {
  // Spreads Retry-After and breaks ties.
  uint64_t seed = 1;
  // Failure domain of this entry; executors in it are preferred when the load
  // is equal.
  std::string failure_domain;
};

class RequestRouter {
 public:
  explicit RequestRouter(RouterOptions options);
  // With a way of sharing slots between entries other than the default.
  RequestRouter(RouterOptions options,
                std::unique_ptr<SlotSharingPolicy> share);
  ~RequestRouter();
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  // Replaces the limits of all accounts. Requests of an account that has none
  // are refused.
  RoutingActions SetAccountLimits(const std::vector<AccountLimits>& accounts,
                                  Time now);
  // Replaces the executors by the present instance list. An executor that said
  // itself that it is leaving stays so whatever the list says, until it has
  // another address or answers a probe without that sign.
  RoutingActions SetExecutors(const std::vector<ExecutorInfo>& executors,
                              Time now);
  // The live entries, with or without `own_name`.
  RoutingActions SetLiveEntries(const std::string& own_name,
                                const std::vector<std::string>& live_entries,
                                Time now);
  // The newest demand of another entry, from its heartbeat.
  RoutingActions SetPeerDemand(const PeerDemand& demand, Time now);

  // Whether Submit would refuse the request now. Changes nothing; asked before
  // a claim is appended for a non-idempotent request. Submit at the same time
  // gives the same refusal and counts it as demand.
  std::optional<Refusal> CheckAdmission(const RequestInfo& request,
                                        Time now) const;

  // Takes a request, which is sent, queued or refused. An id that is already
  // known is ignored.
  RoutingActions Submit(const RequestInfo& request, Time now);
  // The outcome of an attempt, also of one whose request is already finished.
  // Ignored when no such attempt is in flight.
  RoutingActions CompleteAttempt(const std::string& request_id,
                                 const std::string& executor,
                                 const AttemptResult& result, Time now);
  // The outcome of a ProbeExecutor: kAnswered for a healthy executor.
  RoutingActions HandleProbeResult(const std::string& executor,
                                   const AttemptResult& result, Time now);
  // The caller is gone. A queued request finishes as not run; one in flight
  // goes on, and is not retried.
  RoutingActions Cancel(const std::string& request_id, Time now);
  // To be called at NextTickTime() or later: ends requests at their deadline
  // and starts probes.
  RoutingActions Tick(Time now);

  // This entry's own demand at the latest event, for its heartbeat: per service
  // and account what is in flight, and under `queued` what waits or was turned
  // away in the last seconds.
  PeerDemand demand() const;
  // When Tick has something to do; nullopt when only events will bring it.
  std::optional<Time> NextTickTime() const;

 private:
  // Null when there is no such service.
  const ServiceRouter* Find(const std::string& service) const;
  ServiceRouter* Find(const std::string& service);
  ServiceRouter* FindOrAdd(const std::string& service, Time now);
  std::vector<AccountLimits> LimitsFor(const std::string& service) const;
  // Position of this entry among the live ones.
  size_t own_entry_index() const;
  RetryBudget& RetryBudgetFor(const RequestInfo& request);
  void DispatchAll(Time now, RoutingActions* actions);
  void FinishOrRetry(RoutedRequest* request, ServiceRouter* service,
                     const AttemptResult& result, Time now,
                     RoutingActions* actions);
  void ExpireRequest(RoutedRequest* request, Time now, RoutingActions* actions);

  const RouterOptions options_;
  const std::unique_ptr<SlotSharingPolicy> slot_sharing_;
  std::vector<AccountLimits> limits_;
  // The time of the latest call.
  Time latest_event_time_;
  std::string own_name_;
  // The live entries with this one, sorted.
  std::vector<std::string> entries_;
  std::unique_ptr<RequestTable> table_;
  std::map<std::string, std::unique_ptr<ServiceRouter>> services_;
  // By service and account.
  std::map<std::pair<std::string, std::string>, RetryBudget> retry_budgets_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_REQUEST_ROUTER_H_
