// The carrier of jobs: between the job stream, the scheduler, the workers and
// the HTTP interface of this entry.
//
// Every entry follows the stream and answers reads from its fold. One of them
// is the coordinator, by an epoch in the stream; it alone plans and calls
// workers. One mutex guards all of it; nothing is sent and no callback runs
// while it is held. See docs/design/jobs.md.
#ifndef THORNPLANK_JOBS_JOB_MANAGER_H_
#define THORNPLANK_JOBS_JOB_MANAGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "jobs/job_manager_settings.h"
#include "scheduling/job_types.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

class ApiRouter;
class HttpClient;
class LogClient;
class MetricsRegistry;
class PeerMesh;

class JobManager {
 public:
  // `mesh` may be null. Handlers are added to it, so construct this before
  // the mesh starts. Everything given by reference must outlive this object
  // and the io_context's run.
  JobManager(boost::asio::io_context& io, HttpClient& http, LogClient& log,
             PeerMesh* mesh, JobManagerSettings settings,
             MetricsRegistry& metrics);
  ~JobManager();

  // Adds the routes under /v1/jobs.
  void RegisterRoutes(ApiRouter& router);

  // What is planned with; kept on every entry, used by the coordinator. A
  // coordinator without a list of workers waits for one.
  void SetWorkers(const std::vector<WorkerInfo>& workers);
  void SetGuarantees(const std::vector<AccountGuarantee>& accounts);
  void SetEvents(const std::vector<EventReservation>& events);
  // The entries that are alive by observation, this one included or not.
  void SetLiveEntries(const std::vector<std::string>& names);

  // Follows the stream from the fold's offset on.
  void Start();
  // A planned stop: resigns when this entry is the coordinator, claims nothing
  // any more, then calls `done` once. Runs go on under the next coordinator.
  void Drain(std::function<void()> done);
  // Stops the follower and the timer; nothing is sent afterwards.
  void Stop();

  bool is_coordinator() const;
  // The newest epoch of the stream; 0 when there was none yet.
  int64_t epoch() const;
  // Name of the coordinator by the stream, or "".
  std::string coordinator() const;
  // The offset of the stream up to which this entry has folded.
  int64_t jobs_offset() const;
  // Whether the fold is complete and has once reached the end of the stream,
  // or has taken the fold of a peer that was ready.
  bool ready() const;
  // What readiness waits for, or "".
  std::string not_ready_reason() const;

  // The fold for an entry that joins, {"parts":[…]}; null unless ready.
  Json ProduceSnapshot() const;
  // Takes a peer's snapshot. One that covers less than what is folded changes
  // nothing (true). False and `*error` when it cannot be read.
  bool ConsumeSnapshot(const Json& snapshot, Error* error);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_MANAGER_H_
