// Routing within one service: queue, executors, this entry's share of the
// slots, and admission control.
//
// Times are passed in; the class reads no clock. Not thread-safe.
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
  // `slot_sharing` and `table` must outlive this object.
  ServiceRouter(uint64_t seed, std::string own_failure_domain,
                const SlotSharingPolicy* slot_sharing, RequestTable* table);

  ExecutorPool& pool() { return pool_; }
  const FairQueue& queue() const { return queue_; }

  // Replaces the limits; `limits` holds those for this service only.
  void SetLimits(const std::vector<AccountLimits>& limits, Time now);
  // Replaces the executors by `executors`, all of this service.
  RoutingActions SetExecutors(const std::vector<ExecutorInfo>& executors,
                              Time now);
  // Sets the live entries, sorted by name, and the index of this entry in them.
  void SetLiveEntries(const std::vector<std::string>& entries, size_t own,
                      Time now);
  // Replaces the demand of another entry for this service.
  void SetPeerDemand(const std::string& entry,
                     std::vector<AccountDemand> demand, Time now);

  // Returns why the request is not admitted; nullopt when it is.
  std::optional<Refusal> CheckAdmission(const RequestInfo& request,
                                        Time now) const;
  // The time after which a refused caller may retry: the expected time to serve
  // the backlog of its account, plus jitter over a range that grows with the
  // backlog.
  Duration RetryAfter(const std::string& account, const std::string& id,
                      Time now) const;
  // Counts a refusal by CheckAdmission. Recent refusals are part of the demand
  // and widen the range of the jitter in RetryAfter.
  void CountRefusal(const std::string& account, Time now);
  // This entry's demand per account: waiting requests, recent refusals, and
  // requests in flight. Without the refusals, an entry with a small share would
  // admit few requests, report little demand, and keep its small share forever.
  std::vector<AccountDemand> Demand(const std::string& service, Time now) const;

  void Enqueue(RoutedRequest* request, Time now);
  void RemoveQueued(const RoutedRequest& request);
  // Ends a queued request whose timer has fired.
  void ExpireQueued(RoutedRequest* request, Time now, RoutingActions* actions);
  // Sends queued requests while executors have usable slots.
  void Dispatch(Time now, RoutingActions* actions);
  // Updates counters and health for the end of an attempt. Returns changes of
  // the executor's state.
  RoutingActions EndAttempt(const RoutedRequest& request,
                            const AttemptResult& result, Time now);
  // Starts probes, checks the executors' responsiveness, and refuses queued
  // requests that would be sent after their deadline.
  void Tick(Time now, RoutingActions* actions);
  std::optional<Time> NextTickTime() const;

  // Emits the final action of a request that got no answer and erases it from
  // the table.
  void FinishUnserved(RoutedRequest* request, const std::string& reason,
                      Time now, RoutingActions* actions);

 private:
  // Recomputes this entry's slots and the accounts' remote demand.
  void Reallocate(Time now);
  SlotSharingInput MakeSlotSharingInput(Time now) const;
  Duration ExpectedWait(const std::string& account, Time deadline) const;
  double ExpectedSlots(const std::string& account) const;
  // Sends or ends one queued request, or adds an account to `blocked` when no
  // executor suits its requests. Returns false when nothing more can be sent.
  bool DispatchOne(Time now, std::vector<std::string>* blocked,
                   RoutingActions* actions);
  // Whether `account` may not use the last free slot, because it would borrow
  // it and the slot is reserved for an account below its guarantee.
  bool ReservesLastSlotFrom(const std::string& account) const;
  void Send(RoutedRequest* request, Executor* executor, Time now,
            RoutingActions* actions);
  // Ends queued requests whose expected wait far exceeds their deadline.
  void ShedLateRequests(Time now, RoutingActions* actions);

  const uint64_t seed_;
  const SlotSharingPolicy* const slot_sharing_;
  RequestTable* const table_;
  FairQueue queue_;
  ExecutorPool pool_;
  AdmissionMargin admission_margin_;
  // The live entries, sorted by name.
  std::vector<std::string> entries_;
  size_t own_entry_index_ = 0;
  // Latest reported demand, by entry.
  std::map<std::string, std::vector<AccountDemand>> peer_demand_;
  // Slots that this entry would soon get if its demand grew.
  double attainable_slots_ = 0;
  Time next_reallocation_;
  Time next_shedding_;
  // Until this time recent refusals still decay, so that the demand changes
  // without events.
  Time refusals_decayed_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_SERVICE_ROUTER_H_
