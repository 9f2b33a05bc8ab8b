// The requests and peer queries that wait for a claim: those whose own claim is
// pending, and those that wait for the outcome of a claim of another request.
// Not thread-safe.
#ifndef THORNPLANK_REQUESTS_CLAIM_WAITERS_H_
#define THORNPLANK_REQUESTS_CLAIM_WAITERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "claims/claim_types.h"
#include "requests/claim_verdict.h"
#include "routing/routing_types.h"

namespace thornplank {

// A request that is to be sent, or a peer's query for the outcome of one.
struct ClaimWaiter {
  explicit ClaimWaiter(boost::asio::io_context& io) : timer(io) {}

  ClaimRequest request;
  Time deadline;
  // Whether the router would admit the request; empty for peer queries.
  std::function<std::optional<Refusal>()> check_admission;
  // Called once, by whoever removed this waiter from ClaimWaiters if it was
  // added there, and reset by the call.
  std::function<void(ClaimVerdict)> on_verdict;
  // Whether the waiter may claim the key; false for peer queries.
  bool may_claim = true;
  // The claim whose outcome this waiter waits for; "" if none.
  std::string joined_claim_id;
  // Expires at `deadline`; runs while the waiter is in ClaimWaiters.
  boost::asio::steady_timer timer;
};
using ClaimWaiterPtr = std::shared_ptr<ClaimWaiter>;
using ClaimWaiterList = std::vector<ClaimWaiterPtr>;

class ClaimWaiters {
 public:
  enum class List { kNone, kPending, kJoined };

  // Adds a waiter whose own claim, request.claim_id, has not yet been read back
  // from the log.
  void AddPending(const ClaimWaiterPtr& waiter);
  // Adds a waiter for the outcome of the claim `claim_id` of this entry.
  void Join(const std::string& claim_id, const ClaimWaiterPtr& waiter);

  // Remove and return the waiters of a claim and cancel their timers; null or
  // empty when there are none.
  ClaimWaiterPtr TakePending(const std::string& claim_id);
  ClaimWaiterList TakeJoined(const std::string& claim_id);
  // Removes the waiter and returns the list that it was in. Its timer is not
  // cancelled.
  List Remove(const ClaimWaiterPtr& waiter);
  void CancelTimers();

 private:
  // By claim id. Each waiter is in at most one of the two.
  std::unordered_map<std::string, ClaimWaiterPtr> pending_;
  std::unordered_map<std::string, ClaimWaiterList> joined_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_WAITERS_H_
