// Routing within one service: its queue, its executors, this entry's share of
// the slots, and admission.
#ifndef THORNPLANK_ROUTING_SERVICE_ROUTER_H_
#define THORNPLANK_ROUTING_SERVICE_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/admission_margin.h"
#include "routing/executor_pool.h"
#include "routing/fair_queue.h"
#include "routing/request_table.h"
#include "routing/routing_types.h"
#include "routing/slot_sharing_policy.h"

namespace thornplank {

class ServiceRouter {
 public:
  // `share` and `table` outlive this object.
  ServiceRouter(uint64_t seed, std::string own_failure_domain,
                const SlotSharingPolicy* share, RequestTable* table);

  ExecutorPool& pool() { return pool_; }
  const FairQueue& queue() const { return queue_; }

  // Limits of this service only.
  void SetLimits(const std::vector<AccountLimits>& limits, Time now);
  // All executors of this service.
  RoutingActions SetExecutors(const std::vector<ExecutorInfo>& executors,
                              Time now);
  // The live entries sorted by name, and the position of this one.
  void SetLiveEntries(const std::vector<std::string>& entries, size_t own,
                      Time now);
  // The newest demand of another entry for this service.
  void SetPeerDemand(const std::string& entry,
                     std::vector<AccountDemand> demand, Time now);

  std::optional<Refusal> CheckAdmission(const RequestInfo& request,
                                        Time now) const;
  // When a caller that is refused may come back: after the backlog of its
  // account, spread over a time that grows with it.
  Duration RetryAfter(const std::string& account, const std::string& id,
                      Time now) const;
  // Counts a refusal by CheckAdmission, which shows as demand and lengthens the
  // times that RetryAfter gives.
  void CountRefusal(const std::string& account, Time now);
  // This entry's demand: what waits, what was turned away lately, and what is
  // in flight. Were refusals left out, an entry with a small share would admit
  // and thus ask for little, and keep its small share for good.
  std::vector<AccountDemand> Demand(const std::string& service, Time now) const;

  void Enqueue(RoutedRequest* request, Time now);
  void RemoveQueued(const RoutedRequest& request);
  // Gives up on a queued request whose time is up.
  void ExpireQueued(RoutedRequest* request, Time now, RoutingActions* actions);
  // Sends what can be sent.
  void Dispatch(Time now, RoutingActions* actions);
  // Ends the accounting of an attempt that was in flight. Returns changes of
  // the executor's state.
  RoutingActions EndAttempt(const RoutedRequest& request,
                            const AttemptResult& result, Time now);
  // Probes, inspections, and refusal of queued requests that have become
  // hopeless.
  void Tick(Time now, RoutingActions* actions);
  std::optional<Time> NextTickTime() const;

  // Emits the final action of a request that got no answer and forgets it.
  void FinishUnserved(RoutedRequest* request, const std::string& reason,
                      Time now, RoutingActions* actions);

 private:
  void Reallocate(Time now);
  SlotSharingInput MakeSlotSharingInput(Time now) const;
  Duration ExpectedWait(const std::string& account, Time deadline) const;
  double ExpectedSlots(const std::string& account) const;
  bool DispatchOne(Time now, std::vector<std::string>* blocked,
                   RoutingActions* actions);
  // Whether the last free slot is kept from an account that would borrow it,
  // for the next request of an account below its guarantee.
  bool ReservesLastSlotFrom(const std::string& account) const;
  void Send(RoutedRequest* request, Executor* executor, Time now,
            RoutingActions* actions);
  void ShedLateRequests(Time now, RoutingActions* actions);

  const uint64_t seed_;
  const SlotSharingPolicy* const slot_sharing_;
  RequestTable* const table_;
  FairQueue queue_;
  ExecutorPool pool_;
  AdmissionMargin admission_margin_;
  std::vector<std::string> entries_;
  size_t own_entry_index_ = 0;
  std::map<std::string, std::vector<AccountDemand>> peer_demand_;
  // Slots that this entry would have soon if its demand grew.
  double attainable_slots_ = 0;
  Time next_reallocation_;
  Time next_shedding_;
  // Until then the demand changes without events.
  Time refusals_decayed_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SERVICE_ROUTER_H_
