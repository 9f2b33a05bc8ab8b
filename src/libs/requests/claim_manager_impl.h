// The implementation of ClaimManager, shared by its source files.
#ifndef THORNPLANK_REQUESTS_CLAIM_MANAGER_IMPL_H_
#define THORNPLANK_REQUESTS_CLAIM_MANAGER_IMPL_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "claims/answer_cache.h"
#include "claims/claim_table.h"
#include "protocol/peer_mesh.h"
#include "requests/claim_manager.h"
#include "requests/claim_stream.h"
#include "requests/claim_waiters.h"

namespace thornplank {

class ClaimManager::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, LogClient& log, PeerMesh* mesh,
       MetricsRegistry& metrics, const RequestManagerSettings& settings);

  void Connect();
  void Start();
  void Stop();
  void SetReachableEntries(const std::vector<ClaimHolder>& entries);
  void Acquire(const CallerRequest& request, Time deadline,
               AdmissionCheck check_admission, VerdictCallback on_verdict);
  bool MaySend(const std::string& claim_id) const;
  void RecordAnswer(const std::string& claim_id, const UpstreamAnswer& answer);
  void RecordNotSent(const std::string& claim_id);
  void RecordUnknownOutcome(const std::string& claim_id);
  bool caught_up() const { return stream_.caught_up(); }
  int64_t next_offset() const { return stream_.next_offset(); }
  size_t pending_records() const { return stream_.pending_records(); }

 private:
  // Looks up or claims the waiter's key and acts on the decision of the table.
  void Decide(const ClaimWaiterPtr& waiter);
  // Tells the table once the claim stream has been read to its end.
  void UpdateCaughtUp();
  // If the key would have to be claimed but the router would not admit the
  // request, resolves `waiter` with the refusal and returns false.
  bool AdmitOrResolve(const ClaimWaiterPtr& waiter);
  // Passes the verdict to a waiter that is not, or no longer, in waiters_.
  void Resolve(const ClaimWaiterPtr& waiter, ClaimVerdict verdict);
  void ResolveAll(const ClaimWaiterList& list, const ClaimVerdict& verdict);
  // Answers a peer's query for the outcome of a claim of this entry.
  void HandlePeerQuery(const Message& message, PeerMesh::Reply reply);
  // Resolves `waiter` with the cached answer to an earlier request of its key.
  void ResolveWithCachedAnswer(const ClaimWaiterPtr& waiter);

  void AppendClaim(const ClaimRecord& record, Time deadline);
  // The append of the claim certainly never reached the log.
  void HandleUnappended(const std::string& claim_id);
  // Applies a record read from the claim stream; `time` is the log service's.
  void ApplyRecord(const ClaimRecord& record, WallTime time);
  // A claim of this entry was won or lost.
  void HandleClaimEvent(const ClaimEvent& event);
  // Records of the claim stream were lost to retention.
  void HandleGap();
  void HandleDeadline(const ClaimWaiterPtr& waiter);
  // Increments the counter of claims with the label value `what`.
  void CountClaim(const char* what);

  // The functions below are called with the mutex held. BeginLocked takes the
  // table's decision and adds `waiter` to waiters_ if it has to wait.
  ClaimDecision BeginLocked(const ClaimWaiterPtr& waiter, bool available);
  void ArmDeadline(const ClaimWaiterPtr& waiter);

  boost::asio::io_context& io_;
  PeerMesh* const mesh_;
  MetricsRegistry& metrics_;
  const RequestManagerSettings settings_;
  ClaimStream stream_;

  // Guards the members below. Never held while a callback runs or a record is
  // passed to the writer.
  mutable std::mutex mutex_;
  ClaimTable table_;
  AnswerCache answer_cache_;
  uint64_t next_claim_number_ = 1;
  ClaimWaiters waiters_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_MANAGER_IMPL_H_
