// The inside of ClaimFlow, shared by its source files.
#ifndef THORNPLANK_REQUESTS_CLAIM_FLOW_IMPL_H_
#define THORNPLANK_REQUESTS_CLAIM_FLOW_IMPL_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "claims/answer_cache.h"
#include "claims/claim_table.h"
#include "protocol/peer_mesh.h"
#include "requests/claim_flow.h"
#include "requests/claim_stream.h"
#include "requests/claim_waiters.h"

namespace thornplank {

class ClaimFlow::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, LogClient& log, PeerMesh* mesh,
       MetricsRegistry& metrics, const RequestManagerSettings& settings);

  void Connect();
  void Start();
  void Stop();
  void SetReachableEntries(const std::vector<ClaimHolder>& entries);
  void Acquire(const CallerRequest& request, Time deadline, Admit admit,
               Decided decided);
  bool MaySend(const std::string& claim_id) const;
  void Answered(const std::string& claim_id, const UpstreamAnswer& answer);
  void NotSent(const std::string& claim_id);
  void Unknown(const std::string& claim_id);
  bool ready() const { return stream_.ready(); }
  int64_t offset() const { return stream_.offset(); }
  size_t pending_records() const { return stream_.pending(); }

 private:
  void Decide(const ClaimWaiterPtr& waiter);
  void NoteCaughtUp();
  // Whether the key would have to be claimed and may be, as far as the router
  // is concerned; resolves `waiter` and returns false when not.
  bool PassAdmission(const ClaimWaiterPtr& waiter);
  void Resolve(const ClaimWaiterPtr& waiter, ClaimVerdict verdict);
  void ResolveAll(const ClaimWaiterList& list, const ClaimVerdict& verdict);
  void AnswerPeer(const Message& message, PeerMesh::Reply reply);
  void GiveHeldAnswer(const ClaimWaiterPtr& waiter);

  void AppendClaim(const ClaimRecord& record, Time deadline);
  void NotAppended(const std::string& claim_id);
  void FoldRecord(const ClaimRecord& record, WallTime time);
  void HandleEvent(const ClaimEvent& event);
  void FoldGap();
  void DeadlinePassed(const ClaimWaiterPtr& waiter);
  void Count(const char* what);

  // The following are called with the mutex held.
  ClaimDecision BeginLocked(const ClaimWaiterPtr& waiter, bool available);
  void ArmDeadline(const ClaimWaiterPtr& waiter);

  boost::asio::io_context& io_;
  PeerMesh* const mesh_;
  MetricsRegistry& metrics_;
  const RequestManagerSettings settings_;
  ClaimStream stream_;

  // Guards everything below. Never held while a callback runs or a record is
  // handed to the writer.
  mutable std::mutex mutex_;
  ClaimTable table_;
  AnswerCache answers_;
  uint64_t next_claim_ = 1;
  ClaimWaiters waiters_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_FLOW_IMPL_H_
