// Scheduling on one entry: claims leadership when it is vacant, and while this
// entry leads, places tasks and sends orders to workers.
//
// An entry is a process of the system that serves callers; one entry at a time
// leads. All durable state is in one partition, the board. Every entry writes
// submissions and cancellations. Only the leader writes the leader record, the
// states of jobs and the progress of their steps, that is, which run of a task
// is on which worker. A start is recorded before the order is sent, and an end
// is recorded before the worker may forget it. The epoch of the leader fences
// its writes and its calls to workers.
//
// Used on the loop of `io` only.
#ifndef THORNPLANK_COORDINATION_CLUSTER_COORDINATOR_H_
#define THORNPLANK_COORDINATION_CLUSTER_COORDINATOR_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/boot_clock.h"
#include "base/time.h"
#include "coordination/advice_requester.h"
#include "coordination/departure_schedule.h"
#include "coordination/fenced_writer.h"
#include "coordination/formats.h"
#include "coordination/fragmentation_monitor.h"
#include "coordination/health_record_schedule.h"
#include "coordination/job_board.h"
#include "coordination/leader_election.h"
#include "coordination/predecessor.h"
#include "coordination/progress_write_limiter.h"
#include "coordination/record_tail.h"
#include "coordination/scheduling_metrics.h"
#include "coordination/start_gate.h"
#include "coordination/worker_directory.h"
#include "coordination/worker_fleet.h"
#include "metrics/metrics_registry.h"
#include "workload/gone_workers.h"
#include "workload/job_ledger.h"
#include "workload/overdue_starts.h"
#include "workload/planner.h"
#include "workload/scheduling_features.h"

namespace thornplank {

struct ClusterCoordinatorSettings {
  // "instance/incarnation" of this entry; never used again by another process.
  std::string holder;
  Partition board;
  // A leader whose last stored heartbeat is older stops renewing leases. A
  // successor that cannot reach a worker waits for this time and for a lease
  // before it takes the runs there as ended: together less than the 14 s after
  // which every job must be at work again. The leases that are renewed last go
  // on for 4.5 s at least, so that runs survive outages of the store of 6 s.
  Milliseconds leadership_timeout{4000};
  // No stop of renewals is recorded while the last stored heartbeat is older:
  // as long as its record cannot be stored, a worker that answers again would
  // get no renewals.
  Milliseconds max_age_for_renewal_stops{1000};
  // Between two rounds that place tasks, while a new leader asks its workers
  // for their first reports: each round looks at all of them.
  Milliseconds survey_planning_interval{80};
  // From an event to the planning round, so that events that come together are
  // handled in one round.
  Milliseconds planning_delay{8};
  // A round that took long, since it looks at many workers, is followed by a
  // pause of this multiple of it, in which calls are handled.
  int planning_pause_factor = 4;
  // Least time between two reads of the directory of workers. Hundreds of
  // workers together rewrite their records several times a second; a worker
  // that leaves must get no new task after 2 s.
  Milliseconds directory_read_interval{200};
  // Tasks are placed by a directory that is not older, unless it cannot be
  // read: after an outage of the store the board may be readable again before
  // it. Both are extended by twice the latency of the store.
  Milliseconds max_directory_age{1500};
  Milliseconds directory_refresh_timeout{500};
  // How long the records of an ended job are kept on the board.
  Milliseconds job_retention{150000};
  Milliseconds tick_interval{100};
  // Least time between two progress writes that contain no start.
  Milliseconds end_record_interval{100};
  // For one call to the store while leadership is being taken. A store that is
  // slow must be able to answer, since a call that is given up is queued there
  // all the same.
  Milliseconds store_timeout{2500};
  // For the read of the board before a claim.
  Milliseconds claim_read_timeout{500};
  StoreLimits store_limits;
  WorkerBounds bounds;
  SchedulingFeatures features;
};

class ClusterCoordinator {
 public:
  // Provided by the owner; all must outlive the coordinator.
  struct Dependencies {
    const JobBoard* board = nullptr;
    std::function<const ServingConfiguration&()> configuration;
    // Failure domains that are closed for new work.
    std::function<const std::set<std::string>&()> closed_domains;
    // Offset after the last record that was applied to `board`.
    std::function<int64_t()> board_next_offset;
    // When the last read of the board that reached its end began.
    std::function<BootTime()> board_as_of;
    // The board has records up to this offset.
    std::function<void(int64_t)> expect_board;
    // Reads the board at once, regardless of its read interval. The callback
    // gets whether the end was reached.
    std::function<void(Milliseconds timeout, std::function<void(bool)>)>
        refresh_board;
    // Null if no advisor is configured.
    Advisor* advisor = nullptr;
  };

  ClusterCoordinator(boost::asio::io_context& io, RecordStore& store,
                     WorkerCalls& calls, const Formats& formats,
                     ClusterCoordinatorSettings settings,
                     Dependencies dependencies, MetricsRegistry& metrics);
  ~ClusterCoordinator();

  void Start();
  // To be called after a record was applied to the board.
  void OnBoardChange(const BoardChange& change);
  // The board was read anew from its newest records.
  void OnBoardSnapshot();
  // The board was read up to its end. `latency` is that of the store.
  void OnBoardCaughtUp(Duration latency);
  // The set of closed failure domains has changed.
  void OnClosedDomainsChanged();
  // A stream of the store could be read again after failed reads.
  void OnStoreRecovered();
  // The place of this entry in the order of succession, from 0.
  void set_place(int place) { election_.set_place(place); }
  // Stores a record under the epoch of this leader; does nothing unless it
  // leads.
  void WriteAsLeader(KeyedRecord record);
  // Gives up leadership if this entry leads, and never claims it again. `done`
  // runs when the release is stored or `timeout` has passed.
  void Release(Milliseconds timeout, std::function<void()> done);

  bool leading() const { return phase_ == Phase::kLeading; }
  // Neither leads nor is about to.
  bool following() const { return phase_ == Phase::kFollowing; }
  // The last epoch in which this entry led; 0 before the first.
  int64_t epoch() const { return epoch_; }
  // Empty unless this entry leads.
  const JobLedger& ledger() const { return ledger_; }
  // Null unless this entry leads.
  const WorkerFleet* fleet() const { return fleet_.get(); }
  // Those of the configuration in force.
  Guarantees guarantees() const {
    return dependencies_.configuration().guarantees();
  }
  // The last measurement; empty unless this entry leads.
  const std::vector<ServiceFragmentation>& fragmentation() const {
    return fragmentation_.services();
  }
  // Zero unless this entry leads.
  HeldCapacityUse held_use() const {
    return leading() ? planner_.held_use() : HeldCapacityUse();
  }
  // Steps that have waited for too long beside idle room; zero unless this
  // entry leads.
  size_t overdue_starts() const {
    return leading() ? overdue_starts_.count() : 0;
  }
  bool limits_equal_stops() const {
    return leading() && planner_.limits_equal_stops();
  }

 private:
  // The highest number of an end that an incarnation of a worker has reported.
  struct LatestEnd {
    int incarnation = 0;
    int64_t number = 0;
  };
  // Leadership is taken in three phases: append the leader record (kClaiming),
  // fence the progress writes of the predecessor (kFencing), read the board up
  // to that fence (kLoading). A refused claim or a higher epoch leads back to
  // kFollowing; other failures are retried.
  enum class Phase { kFollowing, kClaiming, kFencing, kLoading, kLeading };

  static Planner MakePlanner(const ClusterCoordinatorSettings& settings);
  void OnTick();
  // Logs the leader if it has changed.
  void LogLeader(const LeaderRecord& leader);
  void ForgetDroppedJobs();
  // Adds the jobs whose submissions were read together with all records that
  // were stored before them.
  void AddSubmittedJobs();
  void LogSubmission(const std::string& id) const;
  void BeginClaim();
  void SendClaim();
  void OnClaimResult(int64_t epoch, const AppendResult& result);
  void DelayNextClaim();
  void BeginLeadership(int64_t epoch);
  void CreateWriters();
  void FenceProgress();
  void FollowDirectory();
  void LoadProgress();
  std::map<StepRef, ProgressBlocks> DecodeProgress() const;
  void OnProgressLoaded();
  WorkerFleet::Handlers MakeFleetHandlers();
  size_t RestoreProgress();
  void RestoreCheckpoints();
  // Passes the verdicts of the previous leader on workers to the fleet.
  void RestoreHealth(Time now);
  void SyncJobFromBoard(const std::string& id);
  void InheritRuns(const StepRef& ref, Time now);
  // Reads what the previous leader recorded of workers that it could not ask.
  void LoadRenewalStops();
  // Returns the number of workers whose announced departures are recorded.
  size_t LoadDepartures();
  void AddDeparturesIfDue(Time now, std::vector<KeyedRecord>* records);
  // When all leases that previous leaders may have given are over, on any
  // worker and on this one.
  Time InheritedLeaseBound(Time now) const;
  Time LeaseBoundOf(const std::string& worker, Time now) const;
  void StepDown(const std::string& reason);
  void ScheduleStepDown(const std::string& reason);

  void SchedulePlanning();
  // Returns whether tasks may be placed by the directory as it is. If it must
  // be read first, does that, and plans afterwards.
  bool IsDirectoryCurrent();
  void RunPlanningRound();
  void StopRestOfGang(const StopDecision& stop);
  void ApplyStart(const StartDecision& decision, Time now);
  // Logs why steps wait, once for each change of the reason.
  void LogWaits(const std::vector<WaitDecision>& waits);
  Json UnsettledMembers(const StepProgress& gang) const;
  void LogAccountWaits(const std::vector<AccountWait>& waits);
  void ReviewOverdueStarts(Time now);
  void MeasureFragmentation(Time now);
  void LogEqualStopLimit(const EqualStopLimitChange& change);
  void LogFeatureChanges(const std::vector<FeatureChange>& changes);
  void LogHoldChanges(const std::vector<HoldChange>& changes);
  // Requests advice on the candidate workers of waiting steps.
  void RequestAdvice(const std::vector<WaitDecision>& waits);
  void RecordWaitMetrics(const StartDecision& decision, Time now);
  RunProfile ProfileOf(const TaskRef& task) const;
  size_t WorkersLostRunning(const TaskRef& task) const;
  void OnWorkerAlive(const std::string& worker,
                     const std::optional<WallTime>& incarnation_start);
  void OnWorkerEnded(const std::string& worker,
                     const std::optional<WallTime>& incarnation_start);
  // Ends the wait for lost workers that are not heard of again.
  void ReviewLostWorkers(Time now);
  void OnCrashRecordsChanged(const std::vector<TaskRef>& tasks);
  void LogDroppedCheckpoints();
  // The store does not take a record of the leader.
  void OnRecordRejected(const KeyedRecord& record);
  // Logs the task if it will not be started again.
  void LogIfGivenUp(const TaskRef& task);
  void OnRunEnd(const std::string& worker, const RunEndReport& end);
  void StopOutdatedRuns();
  void FlushProgress();
  void PublishEndedJobs();
  void OnStartsRecorded(std::vector<PendingStart> starts);
  void SendStarts(const StartGate::Group& starts);
  void RefuseStarts(const std::vector<StartGate::Refusal>& refusals);
  void OnProgressStored(const std::vector<std::string>& started,
                        const std::map<std::string, LatestEnd>& ends);
  void PublishJobStates(const std::vector<std::string>& changed);
  void DropProgressRecords(const std::string& job,
                           std::vector<KeyedRecord>* records);
  void DropExpiredRecords();
  void WriteHeartbeat(bool released, FencedWriter::StoredCallback stored);

  boost::asio::io_context& io_;
  RecordStore& store_;
  WorkerCalls& calls_;
  const Formats& formats_;
  const ClusterCoordinatorSettings settings_;
  const Dependencies dependencies_;
  // Sequence number of the claim; the writers continue after it.
  const int64_t first_sequence_;
  LeaderElection election_;
  Predecessor predecessor_;
  Planner planner_;
  ProgressWriteLimiter progress_write_limiter_;
  SchedulingMetrics metrics_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer planning_timer_;
  // Time-out of Release; before that, delays retries while progress is loaded.
  boost::asio::steady_timer release_timer_;

  Phase phase_ = Phase::kFollowing;
  // Release was called.
  bool released_ = false;
  bool planning_scheduled_ = false;
  int64_t epoch_ = 0;
  // Epoch of the last claim, answered or not; 0 once it has been used.
  int64_t claimed_epoch_ = 0;
  Time next_claim_time_{};
  // Before the next claim, after one that failed.
  Milliseconds claim_retry_{0};
  // When the claim was stored; later, when the last leader record that is known
  // to be stored was sent.
  BootTime leadership_confirmed_{};
  LeaderRecord logged_leader_;
  Time last_board_read_{};
  // When the board could be read again after the last outage of the store;
  // nullopt if there was none. Valid in every phase.
  std::optional<Time> store_returned_;
  Time last_heartbeat_{};
  Time last_cleanup_{};
  // When tasks were last placed, and how long it took.
  Time last_placement_{};
  Duration placement_time_{};

  // The members below are in use only while this entry leads or takes
  // leadership.
  JobLedger ledger_;
  std::unique_ptr<FencedWriter> board_writer_;
  std::unique_ptr<FencedWriter> progress_writer_;
  std::unique_ptr<WorkerFleet> fleet_;
  std::unique_ptr<WorkerDirectory> directory_;
  bool refreshing_directory_ = false;
  // The last refresh of the directory failed; it is not waited for again until
  // the store has recovered.
  bool directory_unreadable_ = false;
  std::unique_ptr<AdviceRequester> advice_;
  GoneWorkers gone_workers_;
  Time last_loss_review_{};
  OverdueStarts overdue_starts_;
  Time last_overdue_review_{};
  HealthRecordSchedule health_schedule_;
  DepartureSchedule departure_schedule_;
  // Blocks of progress that have a record on the board.
  std::set<ProgressBlockRef> stored_blocks_;
  // Tasks whose checkpoint has a record of its own on the board.
  std::set<TaskRef> stored_checkpoints_;
  // Jobs that have failed since their progress cannot be stored. None of their
  // runs may begin: a successor would not know of it.
  std::set<std::string> unstorable_jobs_;
  // When the newest record of renewal stops was read; valid in every phase.
  Time renewal_stops_read_{};
  // The ends of leases by the record of the previous leader, by worker.
  std::map<std::string, Time> recorded_lease_ends_;
  // Jobs that have started and not ended, to be published once the next
  // progress write is stored.
  std::set<std::string> started_jobs_;
  // Jobs whose end is published, so that the records of their steps may be
  // dropped.
  std::set<std::string> published_ended_jobs_;
  // Jobs that were read and not yet added to the ledger.
  std::set<std::string> unordered_submissions_;
  // Jobs on the board that ended in this epoch and were removed from the
  // ledger. The board may still show them as unfinished and must not bring them
  // back.
  std::set<std::string> ended_jobs_;
  // Ends that the next flush will record, by worker.
  std::map<std::string, LatestEnd> unrecorded_ends_;
  // Starts that are decided and not yet recorded.
  std::vector<PendingStart> pending_starts_;
  // Those that are recorded and not yet sent.
  StartGate start_gate_;
  // Waiting steps, each with the reason that was last logged.
  std::map<StepRef, WaitReason> logged_waits_;
  FragmentationMonitor fragmentation_;

  // Incremented on each loss of leadership and on destruction. Callbacks that
  // captured another value do nothing.
  std::shared_ptr<int64_t> generation_ = std::make_shared<int64_t>(0);
  // False once this object is destroyed; timers that have expired by then do
  // nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_CLUSTER_COORDINATOR_H_
