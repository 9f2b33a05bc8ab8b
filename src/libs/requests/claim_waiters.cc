// The waiters, indexed by claim id.
#include "requests/claim_waiters.h"

#include <algorithm>
#include <utility>

namespace thornplank {

void ClaimWaiters::AddPending(const ClaimWaiterPtr& waiter) {
  pending_[waiter->request.claim_id] = waiter;
}

void ClaimWaiters::Join(const std::string& claim_id,
                        const ClaimWaiterPtr& waiter) {
  waiter->joined_claim_id = claim_id;
  joined_[claim_id].push_back(waiter);
}

ClaimWaiterPtr ClaimWaiters::TakePending(const std::string& claim_id) {
  const auto found = pending_.find(claim_id);
  if (found == pending_.end()) return nullptr;
  ClaimWaiterPtr waiter = std::move(found->second);
  pending_.erase(found);
  waiter->timer.cancel();
  return waiter;
}

ClaimWaiterList ClaimWaiters::TakeJoined(const std::string& claim_id) {
  const auto found = joined_.find(claim_id);
  if (found == joined_.end()) return {};
  ClaimWaiterList list = std::move(found->second);
  joined_.erase(found);
  for (const ClaimWaiterPtr& waiter : list) {
    waiter->joined_claim_id.clear();
    waiter->timer.cancel();
  }
  return list;
}

ClaimWaiters::List ClaimWaiters::Remove(const ClaimWaiterPtr& waiter) {
  const auto pending = pending_.find(waiter->request.claim_id);
  if (pending != pending_.end() && pending->second == waiter) {
    pending_.erase(pending);
    return List::kPending;
  }
  const auto joined = joined_.find(waiter->joined_claim_id);
  if (joined == joined_.end()) return List::kNone;
  ClaimWaiterList& list = joined->second;
  const auto found = std::find(list.begin(), list.end(), waiter);
  if (found == list.end()) return List::kNone;
  list.erase(found);
  if (list.empty()) joined_.erase(joined);
  waiter->joined_claim_id.clear();
  return List::kJoined;
}

void ClaimWaiters::CancelTimers() {
  for (auto& [claim_id, waiter] : pending_) waiter->timer.cancel();
  for (auto& [claim_id, list] : joined_) {
    for (const ClaimWaiterPtr& waiter : list) waiter->timer.cancel();
  }
}

}  // namespace thornplank
