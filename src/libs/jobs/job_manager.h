// Connects the job stream, the scheduler, the workers and this entry's HTTP
// interface for jobs.
//
// Every entry follows the job stream, applies its records to a JobStreamState
// and answers reads from that. The entry that holds the newest epoch in the
// stream is the coordinator; only the coordinator schedules jobs and calls
// workers. See docs/design/jobs.md.
//
// Thread-safe: one mutex guards all state, and nothing is sent and no callback
// runs while it is held.
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

  // Inputs of the scheduler; kept on every entry, used by the coordinator. A
  // coordinator without a list of workers waits for one.
  void SetWorkers(const std::vector<WorkerInfo>& workers);
  void SetGuarantees(const std::vector<AccountGuarantee>& accounts);
  void SetEvents(const std::vector<EventReservation>& events);
  // The entries that are observed to be alive. This entry counts as alive,
  // whether listed or not.
  void SetLiveEntries(const std::vector<std::string>& names);

  // Starts to follow the stream, at jobs_offset().
  void Start();
  // Prepares a planned stop: claims no further epoch, resigns if this entry is
  // the coordinator, then calls `done` once. Running jobs continue under the
  // next coordinator.
  void Drain(std::function<void()> done);
  // Stops following the stream. Afterwards nothing is sent.
  void Stop();

  bool is_coordinator() const;
  // The newest epoch in the stream; 0 if there is none.
  int64_t epoch() const;
  // The name of the coordinator according to the stream; empty if there is
  // none.
  std::string coordinator() const;
  // The offset of the next record to apply.
  int64_t jobs_offset() const;
  // Whether the state of the job stream is complete and has reached the end of
  // the stream once, or covers the snapshot of a peer that was ready.
  bool ready() const;
  // What readiness waits for; empty if ready.
  std::string not_ready_reason() const;

  // A snapshot of the job stream's state for a joining entry, {"parts":[…]};
  // null unless ready.
  Json ProduceSnapshot() const;
  // Restores the state from a peer's snapshot. A snapshot that covers no more
  // than this entry has applied changes nothing, and the function returns true.
  // Returns false and sets `*error` if the snapshot cannot be read.
  bool ConsumeSnapshot(const Json& snapshot, Error* error);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_MANAGER_H_
