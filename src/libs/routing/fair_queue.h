// The requests of one service that wait at this entry, with fair queueing among
// client accounts.
//
// Accounts below their guarantee go first. Slots beyond the guarantees are
// assigned by start-time fair queueing: each account has a virtual time that
// advances by the service time used divided by the account's weight, and the
// account with the lowest virtual time goes next. Within an account the
// earliest deadline goes first. The length of an account's queue is bounded by
// its limit.
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

// A waiting request.
struct QueuedRequest {
  uint64_t handle = 0;  // see RoutedRequest
  Time deadline;
};

class FairQueue {
 public:
  // Weight of one attempt in an account's failure rate.
  static constexpr double kFailureWeight = 0.05;

  // Queue and counters of one account.
  struct Account {
    AccountLimits limits;
    // False when the account was removed from the limits; its queue then only
    // drains.
    bool has_limits = false;
    // Sorted by deadline, then by arrival.
    std::deque<QueuedRequest> waiting;
    int in_flight = 0;
    // This entry's part of the account's guarantee, in slots.
    int local_guarantee = 0;
    // Demand of the account at all other entries, in requests.
    double remote_demand = 0;
    // Recent refusals at this entry, as of the last SetRemoteDemand. They count
    // as demand, since the demand of the other entries includes their refusals.
    double refusal_demand = 0;
    // Virtual start time of the account's next request, in seconds of service
    // time divided by weight.
    double virtual_start = 0;
    ServiceTime service_time;
    // Over all attempts that were sent, at all executors.
    FailureRate failure_rate{kFailureWeight};
    // Recent refusals for lack of slots.
    DecayingCount refusals;

    int demand() const { return static_cast<int>(waiting.size()) + in_flight; }
  };

  // Replaces the limits; queues and counters stay. Accounts without new limits
  // keep their queued requests, with a weight of 1 and no guarantee.
  void SetLimits(const std::vector<AccountLimits>& limits);
  // Sets the demand of the account at all other entries together, in requests.
  void SetRemoteDemand(const std::string& account, double demand, Time now);

  // Null when the account has no limits.
  const Account* Find(const std::string& account) const;
  const std::map<std::string, Account>& accounts() const { return accounts_; }
  size_t size() const { return size_; }

  // Whether the account has limits and its queue is below max_queued.
  bool HasRoom(const std::string& account) const;
  // Number of the account's queued requests that go before one with this
  // deadline.
  int RequestsAhead(const std::string& account, Time deadline) const;
  // Precondition: the account is in accounts(). The bound is not checked, since
  // requests that are queued again for a retry may exceed it.
  void Push(const std::string& account, const QueuedRequest& request);
  // False when the request is not in the queue.
  bool Remove(const std::string& account, const QueuedRequest& request);

  // The account whose turn it is, without those in `blocked`; nullopt when none
  // may send.
  std::optional<std::string> NextAccount(
      const std::vector<std::string>& blocked) const;
  // Whether the account's next request would use a slot beyond its guarantee
  // while another account with requests in flight is below its guarantee.
  bool BorrowsFromActive(const std::string& account) const;
  // Removes and returns the account's first request for whose handle `eligible`
  // is true, among a bounded number of requests; nullopt when there is none.
  std::optional<QueuedRequest> Take(
      const std::string& account,
      const std::function<bool(uint64_t)>& eligible);
  // The account's request with the latest deadline; nullopt when none waits.
  std::optional<QueuedRequest> LastRequest(const std::string& account) const;

  // Records the start of an attempt. Returns the service time charged to the
  // account in seconds, 0 when the attempt uses the guarantee.
  double BeginAttempt(const std::string& account);
  // Records the end of the attempt that was charged `charged_seconds`; the
  // charge is corrected to `latency`, or to 0 when the attempt used no slot.
  void EndAttempt(const std::string& account, double charged_seconds,
                  std::optional<Duration> latency);
  // Service time of the account's requests, or of all requests while the
  // account has no answers.
  const ServiceTime& ServiceTimeOf(const std::string& account) const;
  void RecordAnswer(const std::string& account, Duration latency);
  // Records the outcome of an attempt that was sent. Returns the account's
  // failure rate before it.
  double RecordAttempt(const std::string& account, bool failed);
  // Records the refusal of a request for lack of slots.
  void RecordRefusal(const std::string& account, Time now);

  // The number of `slots` that the account can expect if it has more requests
  // than it can send.
  double SlotsFor(const std::string& account, double slots) const;

 private:
  bool MaySend(const Account& account) const;
  static void UpdateLocalGuarantee(Account* account);

  std::map<std::string, Account> accounts_;
  ServiceTime service_time_;
  // Highest virtual start time of an attempt beyond a guarantee. An account
  // that was idle starts from here, so that it gets no credit for the slots it
  // did not use.
  double virtual_time_ = 0;
  // Total of the accounts' waiting requests.
  size_t size_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_FAIR_QUEUE_H_
