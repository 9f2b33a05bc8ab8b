// The inside of JobManager; see job_manager.h.
//
// job_manager_impl.cc holds the loop between stream, coordinator and workers,
// job_manager_access.cc what the HTTP handlers and the peers ask for.
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

  // Once, before anything else.
  void Open(PeerMesh* mesh, MetricsRegistry& metrics);
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
  // What one turn of the loop leaves to be sent without the lock.
  struct Outbox {
    std::vector<WorkerCall> calls;
    std::vector<JobStreamRecord> records;
    std::vector<SnapshotPartRecord> snapshot;
    std::optional<EpochRecord> claim;
    std::optional<ResignRecord> resign;
    std::vector<JobWaiters::Waiter> expired;
    // Submitted just before the log went down.
    std::vector<JobWaiters::Waiter> urgent;
    bool check_retention = false;
    bool check_epoch = false;
    int64_t next_offset = 0;
  };

  void OnRecord(const LogRecord& record);
  void OnGap(int64_t from, int64_t first_kept);
  void HandleChange(const JobStreamChange& change, Time now,
                    JobWaiters::Answers* answers);
  void EpochMoved(Time now);
  void StepDown(const std::string& why);

  void ArmTimer();
  void SchedulePump();
  void Pump();
  Outbox Turn(Time now);
  void NoticePause(Time now, Outbox* outbox);
  void Plan(Time now, Outbox* outbox);
  void SendOut(Outbox outbox);
  void SendCall(const WorkerCall& call);
  void CallDone(const WorkerCall& call,
                const std::optional<WorkerReport>& report,
                WorkerRefusal refusal, const Error& error);
  void AppendPlanned(const JobStreamRecord& record);
  void ReadOffsets(bool check_retention, int64_t next_offset);
  void OffsetsRead(bool check_retention,
                   const std::optional<LogReadResult>& result);
  void AppendSnapshot(
      const std::shared_ptr<std::vector<SnapshotPartRecord>>& parts,
      size_t next);

  // Whether the log cannot be used now, and why. With mutex_ held.
  LogTrouble JudgeLog(Time now) const;
  bool LogDown(Time now) const { return JudgeLog(now) != LogTrouble::kNone; }
  bool IsOwnRecord(const std::string& record_id) const;
  void AppendSubmission(const JobRequest& job, const std::string& record_id,
                        Time deadline);
  void SubmissionFailed(const std::string& job, const std::string& record_id,
                        const Error& error);
  void AnswerFailed(JobWaiters::Waiter waiter, bool proved_not_appended,
                    const std::string& reason);
  bool PlanUrgent(const JobRequest& job);
  void HoldUrgent(const JobRequest& job);
  JobEntry HeldEntry(const JobRequest& job) const;
  std::string NewRecordId();
  std::string RecordIdPrefix() const;

  const JobManagerSettings settings_;
  boost::asio::io_context& io_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer timer_;
  LogClient& log_;
  WorkerClient workers_;
  StreamWriter writer_;
  // With mutex_ held.
  LogHealth log_health_;
  std::unique_ptr<StreamFollower> follower_;
  std::shared_ptr<UrgentJobs> urgent_;
  Counter& placements_;
  Counter& epochs_won_;
  Counter& records_lost_;
  Summary& decision_time_;
  std::atomic<uint64_t> next_id_{1};
  std::atomic<bool> pump_scheduled_{false};
  std::atomic<bool> stopped_{false};

  // Guards everything below. Nothing is sent, and no callback runs, with it
  // held.
  mutable std::mutex mutex_;
  JobStreamState fold_;
  CoordinatorElection election_;
  // Set exactly while this entry holds the newest epoch it knows of and has
  // not stepped down from it.
  std::unique_ptr<Coordinator> coordinator_;
  // The epoch that this entry gave up though the stream does not say so yet.
  int64_t given_up_epoch_ = 0;
  std::shared_ptr<const PlanningInputs> inputs_;
  bool live_entries_known_ = false;
  // A ready peer's fold was taken over or covers no more than this one.
  bool from_peer_ = false;
  bool draining_ = false;
  JobWaiters waiters_;
  // Urgent jobs that the stream does not have yet.
  std::map<std::string, JobRequest> held_;
  // After a pause nothing is sent to workers until the stream was asked for a
  // newer epoch and its answer, up to this offset, was folded.
  bool verifying_ = false;
  std::optional<int64_t> verify_offset_;
  Time last_turn_;
  Time retention_checked_at_;
  SnapshotSchedule snapshots_;
  bool snapshot_under_way_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_MANAGER_IMPL_H_
