// Carries claims on non-idempotent requests: the table of claims under one
// mutex, the claim stream of the log, and questions to other holders.
#ifndef THORNPLANK_REQUESTS_CLAIM_FLOW_H_
#define THORNPLANK_REQUESTS_CLAIM_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "claims/upstream_answer.h"
#include "requests/caller_request.h"
#include "requests/claim_verdict.h"
#include "requests/request_manager.h"
#include "routing/routing_types.h"

namespace thornplank {

class ClaimFlow {
 public:
  using Decided = std::function<void(ClaimVerdict)>;
  // Whether the request would find room now; asked before a claim is appended.
  using Admit = std::function<std::optional<Refusal>()>;

  // `mesh` may be null; it must not have been started yet.
  ClaimFlow(boost::asio::io_context& io, LogClient& log, PeerMesh* mesh,
            MetricsRegistry& metrics, const RequestManagerSettings& settings);
  ~ClaimFlow();

  void Start();
  void Stop();
  void SetReachableEntries(const std::vector<ClaimHolder>& entries);

  // `request` has an idempotency key. `decided` runs once, at `deadline` at
  // the latest, on any thread, perhaps before Acquire returns. No lock is held
  // while `admit` or `decided` runs.
  void Acquire(const CallerRequest& request, Time deadline, Admit admit,
               Decided decided);

  // Whether the claim is still held by this entry and not given up.
  bool MaySend(const std::string& claim_id) const;
  // A whole answer arrived; repeats of the key get it.
  void Answered(const std::string& claim_id, const UpstreamAnswer& answer);
  // Proved not sent; from now on MaySend is false.
  void NotSent(const std::string& claim_id);
  // May have run, and no answer will come.
  void Unknown(const std::string& claim_id);

  // The claim stream was once read to its end.
  bool ready() const;
  int64_t offset() const;
  // Records that wait to be appended.
  size_t pending_records() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_FLOW_H_
