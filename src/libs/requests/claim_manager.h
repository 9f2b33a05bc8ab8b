// Decides whether a non-idempotent request may be sent, so that the requests
// with one idempotency key are run at most once over all entries.
//
// An entry claims a key by appending a record to the claim stream of the log.
// The claim is won once the record has been read back as the first of its key.
// Only the holder of the claim sends the request; when that is another entry,
// it is queried for the outcome. Thread-safe.
#ifndef THORNPLANK_REQUESTS_CLAIM_MANAGER_H_
#define THORNPLANK_REQUESTS_CLAIM_MANAGER_H_

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

class ClaimManager {
 public:
  using VerdictCallback = std::function<void(ClaimVerdict)>;
  // Whether the router would admit the request now; called before a claim is
  // appended. Returns the refusal, or nullopt when the request is admitted.
  using AdmissionCheck = std::function<std::optional<Refusal>()>;

  // `mesh` may be null; otherwise it must not have been started yet.
  ClaimManager(boost::asio::io_context& io, LogClient& log, PeerMesh* mesh,
               MetricsRegistry& metrics,
               const RequestManagerSettings& settings);
  ~ClaimManager();

  void Start();
  void Stop();
  void SetReachableEntries(const std::vector<ClaimHolder>& entries);

  // Claims the idempotency key of `request`, which must have one. `on_verdict`
  // runs once, at `deadline` at the latest, on any thread and possibly before
  // Acquire returns. No lock is held while `check_admission` or `on_verdict`
  // runs.
  void Acquire(const CallerRequest& request, Time deadline,
               AdmissionCheck check_admission, VerdictCallback on_verdict);

  // Whether this entry still holds the claim and has not released it.
  bool MaySend(const std::string& claim_id) const;

  // A won claim must end with exactly one of the following three calls.

  // A complete answer arrived; repeats of the key get the same answer.
  void RecordAnswer(const std::string& claim_id, const UpstreamAnswer& answer);
  // The request was provably not sent. The claim is released, and MaySend
  // returns false from now on.
  void RecordNotSent(const std::string& claim_id);
  // The request may have run, and no answer will come.
  void RecordUnknownOutcome(const std::string& claim_id);

  // True once the claim stream has been read to its end for the first time.
  bool caught_up() const;
  // Offset of the next record to read from the claim stream.
  int64_t next_offset() const;
  // Number of claim records that are waiting to be appended.
  size_t pending_records() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_CLAIM_MANAGER_H_
