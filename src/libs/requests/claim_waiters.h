// Who waits for a claim: the request that needs it, and those that want the
// outcome of one that is running. Not thread-safe.
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

// A request that wants to be sent, or a peer that wants to know its outcome.
struct ClaimWaiter {
  explicit ClaimWaiter(boost::asio::io_context& io) : timer(io) {}

  ClaimRequest request;
  Time deadline;
  // Whether the request would find room; empty for questions of peers.
  std::function<std::optional<Refusal>()> admit;
  // Emptied when called, by the one that took this waiter out.
  std::function<void(ClaimVerdict)> decided;
  // May claim the key; false for questions of peers.
  bool may_claim = true;
  // The claim in whose list of joined waiters this one stands, or "".
  std::string joined_claim;
  // Runs while the waiter stands in ClaimWaiters.
  boost::asio::steady_timer timer;
};
using ClaimWaiterPtr = std::shared_ptr<ClaimWaiter>;
using ClaimWaiterList = std::vector<ClaimWaiterPtr>;

class ClaimWaiters {
 public:
  enum class Place { kNowhere, kPending, kJoined };

  // The waiter's own claim, request.claim_id, has to be folded first.
  void AddPending(const ClaimWaiterPtr& waiter);
  // Waits for the outcome of a claim of this entry.
  void Join(const std::string& claim_id, const ClaimWaiterPtr& waiter);

  // Take out, with timers cancelled; null or empty when there is none.
  ClaimWaiterPtr TakePending(const std::string& claim_id);
  ClaimWaiterList TakeJoined(const std::string& claim_id);
  // Takes this waiter out from wherever it stands.
  Place Take(const ClaimWaiterPtr& waiter);
  void CancelTimers();

 private:
  // Each waiter stands in at most one of the two.
  std::unordered_map<std::string, ClaimWaiterPtr> pending_;
  std::unordered_map<std::string, ClaimWaiterList> joined_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_WAITERS_H_
