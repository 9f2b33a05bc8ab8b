// Decides which executor gets which request and when, and how each request
// ends.
//
// Each entry has one object, which holds the queues, the executors' loads and
// health, and the retry budgets. It does no I/O and reads no clock: each call
// reports an event with the current time and returns the resulting actions.
// Each submitted request gets exactly one final action: FinishAnswered,
// FinishNotRun or FinishUnknown. Not thread-safe; the RequestDispatcher guards
// it by a mutex.
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
  // Seed for the jitter of Retry-After and for random choices among executors.
  uint64_t seed = 1;
  // Failure domain of this entry; executors in it are preferred when the load
  // is equal.
  std::string failure_domain;
};

class RequestRouter {
 public:
  explicit RequestRouter(RouterOptions options);
  // Uses `slot_sharing` in place of the default policy, DemandShare.
  RequestRouter(RouterOptions options,
                std::unique_ptr<SlotSharingPolicy> slot_sharing);
  ~RequestRouter();
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  // Replaces the limits of all accounts. Requests of an account that has none
  // are refused.
  RoutingActions SetAccountLimits(const std::vector<AccountLimits>& accounts,
                                  Time now);
  // Replaces the executors by those of the current instance list. An executor
  // that announced itself that it is leaving stays in that state, whatever the
  // list says, until it has another address or answers a probe without that
  // notice.
  RoutingActions SetExecutors(const std::vector<ExecutorInfo>& executors,
                              Time now);
  // Replaces the list of live entries, which may or may not contain `own_name`.
  RoutingActions SetLiveEntries(const std::string& own_name,
                                const std::vector<std::string>& live_entries,
                                Time now);
  // Replaces the demand of another entry, taken from its heartbeat. Ignored
  // when the entry is not live.
  RoutingActions SetPeerDemand(const PeerDemand& demand, Time now);

  // Returns the refusal that Submit would give now; nullopt when it would admit
  // the request. Changes nothing; called before a claim is appended for a
  // non-idempotent request. Submit, called at the same time, refuses alike and
  // also counts the refusal as demand.
  std::optional<Refusal> CheckAdmission(const RequestInfo& request,
                                        Time now) const;

  // Sends, queues or refuses a request. Ignored when a request with this id is
  // being handled.
  RoutingActions Submit(const RequestInfo& request, Time now);
  // Handles the outcome of an attempt, also when its request is already
  // finished. Ignored when no such attempt is in flight.
  RoutingActions CompleteAttempt(const std::string& request_id,
                                 const std::string& executor,
                                 const AttemptResult& result, Time now);
  // Handles the outcome of a ProbeExecutor action: kAnswered for a healthy
  // executor.
  RoutingActions HandleProbeResult(const std::string& executor,
                                   const AttemptResult& result, Time now);
  // Handles the loss of the caller. A queued request finishes as not run, or as
  // unknown when an earlier attempt may have run; a request in flight continues
  // and is not retried.
  RoutingActions Cancel(const std::string& request_id, Time now);
  // To be called at NextTickTime() or later: ends requests at their deadline
  // and starts probes.
  RoutingActions Tick(Time now);

  // This entry's demand at the latest event, for its heartbeat: per service and
  // account the requests in flight and, as `queued`, those that wait or were
  // refused in the last seconds.
  PeerDemand demand() const;
  // When Tick is due next; nullopt when it is not due without another event.
  std::optional<Time> NextTickTime() const;

 private:
  // Null when there is no such service.
  const ServiceRouter* Find(const std::string& service) const;
  ServiceRouter* Find(const std::string& service);
  ServiceRouter* FindOrAdd(const std::string& service, Time now);
  std::vector<AccountLimits> LimitsFor(const std::string& service) const;
  // Index of this entry in `entries_`.
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
  // The live entries and this one, sorted by name.
  std::vector<std::string> entries_;
  std::unique_ptr<RequestTable> table_;
  std::map<std::string, std::unique_ptr<ServiceRouter>> services_;
  // By service and account.
  std::map<std::pair<std::string, std::string>, RetryBudget> retry_budgets_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_REQUEST_ROUTER_H_
