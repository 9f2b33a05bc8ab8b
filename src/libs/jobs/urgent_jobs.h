// Urgent jobs while the log is down.
//
// Such a job goes to the incumbent coordinator, which keeps planning under
// its epoch, and is accepted once two entries hold it: the one that the caller
// asked and the coordinator, or, when they are the same, one more peer. Every
// holder appends the job when the log is back; the fold takes it once.
#ifndef THORNPLANK_JOBS_URGENT_JOBS_H_
#define THORNPLANK_JOBS_URGENT_JOBS_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "jobs/job_access.h"
#include "protocol/peer_mesh.h"

namespace thornplank {

class UrgentJobs : public std::enable_shared_from_this<UrgentJobs> {
 public:
  // What the carrier does for it; called without a lock held.
  struct Hooks {
    // Name of the coordinator by the stream, or "".
    std::function<std::string()> coordinator;
    // Holds the job and gives it to this entry's coordinator; false, without
    // any effect, when it has none.
    std::function<bool(const JobRequest&)> plan;
    // Keeps the job and appends it to the stream as soon as the log allows.
    std::function<void(const JobRequest&)> hold;
  };

  // `mesh` may be null: then nothing can be accepted.
  UrgentJobs(std::string name, PeerMesh* mesh, Duration call_timeout,
             Hooks hooks);

  // Adds the handlers of the peers' calls.
  void Start();
  void Submit(const JobRequest& job, JobAccess::ChangeCallback callback);

 private:
  void SubmitAsCoordinator(const JobRequest& job,
                           JobAccess::ChangeCallback callback);
  void SubmitToCoordinator(const std::string& coordinator,
                           const JobRequest& job,
                           JobAccess::ChangeCallback callback);
  void HandlePlan(const Message& message, const PeerMesh::Reply& reply);
  void HandleHold(const Message& message, const PeerMesh::Reply& reply);
  bool Connected(const std::string& peer) const;

  const std::string name_;
  PeerMesh* const mesh_;
  const Duration call_timeout_;
  const Hooks hooks_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_URGENT_JOBS_H_
