// The requests of one service that wait at this entry, and whose turn it is.
//
// An account below its guarantee goes first. Slots beyond the guarantees go by
// start-time fair queueing: each account has a virtual time that advances by
// the service time it uses divided by its weight, and the account that is
// least advanced goes next. Within an account the earliest deadline goes
// first. Queues are bounded by the account's limit.
#ifndef THORNPLANK_ROUTING_FAIR_QUEUE_H_
#define THORNPLANK_ROUTING_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/decaying_count.h"
#include "routing/failure_rate.h"
#include "routing/routing_types.h"
#include "routing/service_time.h"

namespace thornplank {

// A waiting request; `handle` is the router's own number of it.
struct QueuedRequest {
  uint64_t handle = 0;
  Time deadline;
};

class FairQueue {
 public:
  // Weight of one attempt in an account's share of failures.
  static constexpr double kFailureWeight = 0.05;

  // One account's part of the queue.
  struct Account {
    AccountLimits limits;
    // False when the account's limits are gone and it only drains.
    bool has_limits = false;
    // Ascending by deadline, then by arrival.
    std::deque<QueuedRequest> waiting;
    int in_flight = 0;
    // Slots of the guarantee that fall to this entry.
    int local_guarantee = 0;
    // Demand of the same account at the other entries.
    double remote_demand = 0;
    // Requests turned away here lately, as of the last SetDemandElsewhere; the
    // other entries' demand holds theirs, too.
    double refusal_demand = 0;
    // Virtual time at which the account's next request starts.
    double virtual_start = 0;
    ServiceTime service_time;
    // Of all attempts that were sent, at all executors.
    FailureRate failure_rate{kFailureWeight};
    // Requests turned away lately for want of slots.
    DecayingCount refusals;

    int demand() const { return static_cast<int>(waiting.size()) + in_flight; }
  };

  // Replaces the limits; queues and loads stay. Accounts that are gone keep
  // what they queued, with a weight of 1 and no guarantee.
  void SetLimits(const std::vector<AccountLimits>& limits);
  // Demand of the account at all other entries together.
  void SetRemoteDemand(const std::string& account, double demand, Time now);

  // Null when the account has no limits.
  const Account* Find(const std::string& account) const;
  const std::map<std::string, Account>& accounts() const { return accounts_; }
  size_t size() const { return size_; }

  // Whether the account's queue takes one more.
  bool HasRoom(const std::string& account) const;
  // Requests of the account that go before one with this deadline.
  int RequestsAhead(const std::string& account, Time deadline) const;
  // Precondition: the account is known. Requests that return from an attempt
  // may exceed the bound.
  void Push(const std::string& account, const QueuedRequest& request);
  // False when the request does not wait.
  bool Remove(const std::string& account, const QueuedRequest& request);

  // The account whose turn it is; nullopt when none may send. Those in
  // `blocked` are passed over.
  std::optional<std::string> NextAccount(
      const std::vector<std::string>& blocked) const;
  // Whether a further request of the account would borrow while another account
  // with requests in flight has not used its guarantee up.
  bool BorrowsFromActive(const std::string& account) const;
  // Takes the first request of the account that `eligible` accepts, looking at
  // a bounded number. nullopt when there is none.
  std::optional<QueuedRequest> Take(
      const std::string& account,
      const std::function<bool(uint64_t)>& eligible);
  // The last of the account's requests, which would be sent last.
  std::optional<QueuedRequest> LastRequest(const std::string& account) const;

  // An attempt of the account has begun. Returns the virtual time charged.
  double BeginAttempt(const std::string& account);
  // It has ended; `latency` when it used a slot for that long.
  void EndAttempt(const std::string& account, double charged_seconds,
                  std::optional<Duration> latency);
  // Service time of the account, or of the service while that is unknown.
  const ServiceTime& ServiceTimeOf(const std::string& account) const;
  void RecordAnswer(const std::string& account, Duration latency);
  // An attempt that was sent has succeeded or failed. Returns the account's
  // share of failures before it.
  double RecordAttempt(const std::string& account, bool failed);
  // A request of the account was turned away for want of slots.
  void RecordRefusal(const std::string& account, Time now);

  // Slots out of `slots` that the account can count on, were it to have more
  // requests than it can send.
  double SlotsFor(const std::string& account, double slots) const;

 private:
  bool MaySend(const Account& account) const;
  static void UpdateLocalGuarantee(Account* account);

  std::map<std::string, Account> accounts_;
  ServiceTime service_time_;
  // Virtual start of the request that was begun last; an account that was
  // idle starts from here, and does not catch up on what it left unused.
  double virtual_time_ = 0;
  // Sum of the accounts' waiting requests.
  size_t size_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_FAIR_QUEUE_H_
