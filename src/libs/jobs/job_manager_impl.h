// The implementation of JobManager; see job_manager.h.
//
// job_manager_impl.cc contains the loop between stream, coordinator and
// workers; job_manager_access.cc contains the functions that serve HTTP
// handlers and peers.
#ifndef THORNPLANK_JOBS_JOB_MANAGER_IMPL_H_
#define THORNPLANK_JOBS_JOB_MANAGER_IMPL_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "jobs/coordinator.h"
#include "jobs/job_access.h"
#include "jobs/job_manager.h"
#include "jobs/job_waiters.h"
#include "jobs/log_health.h"
#include "jobs/snapshot_schedule.h"
#include "jobs/urgent_jobs.h"
#include "metrics/metrics_registry.h"
#include "platform/stream_follower.h"
#include "platform/stream_writer.h"
#include "platform/worker_client.h"

namespace thornplank {

class JobManager::Impl : public JobAccess,
                         public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, HttpClient& http, LogClient& log,
       JobManagerSettings settings, MetricsRegistry& metrics);

  // To be called once, before any other function.
  void Initialize(PeerMesh* mesh, MetricsRegistry& metrics);
  void Start();
  void Drain(std::function<void()> done);
  void Stop();

  void SetWorkers(const std::vector<WorkerInfo>& workers);
  void SetGuarantees(const std::vector<AccountGuarantee>& accounts);
  void SetEvents(const std::vector<EventReservation>& events);
  void SetLiveEntries(const std::vector<std::string>& names);

  void Submit(const JobRequest& job, ChangeCallback callback) override;
  void Cancel(const std::string& id, const std::string& by,
              ChangeCallback callback) override;
  std::optional<JobEntry> Find(const std::string& id) const override;
  std::vector<JobEntry> List(const std::string& account,
                             size_t limit) const override;
  std::optional<std::string> CheckCanRun(const JobSpec& job) const override;
  std::string NewJobId() override;
  bool ready() const override;
  std::chrono::seconds retry_after() const override {
    return settings_.retry_after;
  }

  bool is_coordinator() const;
  CoordinatorEpoch current_epoch() const;
  int64_t jobs_offset() const;
  std::string not_ready_reason() const;
  size_t open_jobs() const;
  size_t max_listed_jobs() const { return settings_.max_listed_jobs; }
  Json ProduceSnapshot() const;
  bool ConsumeSnapshot(const Json& snapshot, Error* error);

 private:
  // What one turn of the loop has to send after it has released the mutex.
  struct Outbox {
    std::vector<WorkerCall> calls;
    std::vector<JobStreamRecord> records;
    std::vector<SnapshotPartRecord> snapshot;
    std::optional<EpochRecord> claim;
    std::optional<ResignRecord> resign;
    // Waiters whose deadline has passed.
    std::vector<JobWaiters::Waiter> expired;
    // Submissions of urgent jobs that were waiting when the log went down.
    std::vector<JobWaiters::Waiter> urgent;
    // Read the stream's offsets to see whether a snapshot is due.
    bool check_retention = false;
    // Read the stream's offsets to check for a newer epoch after a pause.
    bool verify_epoch = false;
    // The offset of the next record to apply.
    int64_t next_offset = 0;
  };

  void OnRecord(const LogRecord& record);
  void OnGap(int64_t from, int64_t first_kept);
  void HandleStreamChange(const JobStreamChange& change, Time now,
                          JobWaiters::Answers* answers);
  void HandleEpochChange(Time now);
  void StepDown(const std::string& why);

  void ArmTimer();
  void ScheduleTurn();
  void RunTurn();
  Outbox PrepareTurn(Time now);
  void CheckForPause(Time now, Outbox* outbox);
  void Plan(Time now, Outbox* outbox);
  void SendOutbox(Outbox outbox);
  void SendCall(const WorkerCall& call);
  void HandleCallResult(const WorkerCall& call,
                        const std::optional<WorkerReport>& report,
                        WorkerRefusal refusal, const Error& error);
  void AppendRecord(const JobStreamRecord& record);
  void ReadOffsets(bool check_retention, int64_t next_offset);
  void HandleOffsets(bool check_retention,
                     const std::optional<LogReadResult>& result);
  void AppendSnapshot(
      const std::shared_ptr<std::vector<SnapshotPartRecord>>& parts,
      size_t next);

  // Whether and why the log counts as down. mutex_ must be held.
  LogProblem EvaluateLogHealth(Time now) const;
  bool IsLogDown(Time now) const {
    return EvaluateLogHealth(now) != LogProblem::kNone;
  }
  bool IsOwnRecord(const std::string& record_id) const;
  void AppendSubmission(const JobRequest& job, const std::string& record_id,
                        Time deadline);
  void HandleAppendFailure(const std::string& job, const std::string& record_id,
                           const Error& error);
  void FailWaiter(JobWaiters::Waiter waiter, bool proved_not_appended,
                  const std::string& reason);
  bool PlanUrgent(const JobRequest& job);
  void HoldUrgent(const JobRequest& job);
  JobEntry MakeHeldEntry(const JobRequest& job) const;
  std::string NewRecordId();
  std::string RecordIdPrefix() const;

  const JobManagerSettings settings_;
  boost::asio::io_context& io_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer timer_;
  LogClient& log_;
  WorkerClient workers_;
  StreamWriter writer_;
  // Guarded by mutex_.
  LogHealth log_health_;
  std::unique_ptr<StreamFollower> follower_;
  std::shared_ptr<UrgentJobs> urgent_;
  Counter& placements_;
  Counter& epochs_won_;
  Counter& records_lost_;
  Summary& decision_time_;
  std::atomic<uint64_t> next_id_{1};
  std::atomic<bool> turn_scheduled_{false};
  std::atomic<bool> stopped_{false};

  // Guards the members below and log_health_. Nothing is sent and no callback
  // runs while it is held.
  mutable std::mutex mutex_;
  JobStreamState state_;
  CoordinatorElection election_;
  // Set if and only if this entry holds the newest epoch it knows of and has
  // not stepped down from it.
  std::unique_ptr<Coordinator> coordinator_;
  // The epoch from which this entry stepped down before the stream showed its
  // resignation.
  int64_t abandoned_epoch_ = 0;
  std::shared_ptr<const PlanningInputs> inputs_;
  bool live_entries_known_ = false;
  // state_ was restored from a ready peer, or covered that peer's snapshot.
  bool restored_from_peer_ = false;
  bool draining_ = false;
  JobWaiters waiters_;
  // Urgent jobs that were not read back from the stream yet, by id.
  std::map<std::string, JobRequest> held_urgent_jobs_;
  // After a pause of this process nothing is sent to workers until state_ has
  // reached epoch_check_offset_, which is the end of the stream as read after
  // the pause: an epoch that another entry won meanwhile is then known.
  bool verifying_epoch_ = false;
  // nullopt until the read has ended; 0 if it failed.
  std::optional<int64_t> epoch_check_offset_;
  Time last_turn_;
  Time retention_checked_at_;
  SnapshotSchedule snapshots_;
  bool snapshot_in_progress_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_MANAGER_IMPL_H_
