// Submission of urgent jobs while the log is down.
//
// Such a job goes to the current coordinator, which keeps scheduling under its
// epoch. The job is accepted once two entries hold it: the entry that the
// caller asked and the coordinator or, if these are the same, the coordinator
// and one more peer. Every entry that holds the job appends it when the log is
// available again; repeated submissions are ignored when they are read.
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
  // Provided by the owner; called without a lock held.
  struct Hooks {
    // The name of the coordinator according to the stream; empty if there is
    // none.
    std::function<std::string()> coordinator;
    // Holds the job and submits it to this entry's coordinator. Returns false,
    // without any effect, if this entry is not the coordinator.
    std::function<bool(const JobRequest&)> plan;
    // Keeps the job and appends it to the stream as soon as the log is
    // available.
    std::function<void(const JobRequest&)> hold;
  };

  // `mesh` may be null; then no job can be accepted.
  UrgentJobs(std::string name, PeerMesh* mesh, Duration call_timeout,
             Hooks hooks);

  // Registers the handlers for calls of peers at the mesh.
  void RegisterHandlers();
  // `callback` runs once, on any thread.
  void Submit(const JobRequest& job, JobAccess::ChangeCallback callback);

 private:
  void SubmitAsCoordinator(const JobRequest& job,
                           JobAccess::ChangeCallback callback);
  void SubmitToCoordinator(const std::string& coordinator,
                           const JobRequest& job,
                           JobAccess::ChangeCallback callback);
  void HandlePlan(const Message& message, const PeerMesh::Reply& reply);
  void HandleHold(const Message& message, const PeerMesh::Reply& reply);
  bool IsConnected(const std::string& peer) const;

  const std::string name_;
  PeerMesh* const mesh_;
  const Duration call_timeout_;
  const Hooks hooks_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_URGENT_JOBS_H_
