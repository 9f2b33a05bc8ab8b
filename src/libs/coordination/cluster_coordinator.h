// One entry's part in scheduling: it claims the lead when that is vacant, and
// while it leads it places tasks and orders workers.
//
// One partition, the board, holds what must last. Every entry writes
// submissions and cancellations; the leader alone writes who leads, the states
// of jobs, and the progress of their steps: which run of a task is where. A
// start is recorded before it is sent, and an end before the worker may forget
// it. The leader's epoch fences what it writes, and every worker.
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
#include "coordination/fenced_writer.h"
#include "coordination/formats.h"
#include "coordination/job_board.h"
#include "coordination/leader_election.h"
#include "coordination/progress_write_limiter.h"
#include "coordination/record_tail.h"
#include "coordination/scheduling_metrics.h"
#include "coordination/stream_reachability.h"
#include "coordination/worker_fleet.h"
#include "metrics/metrics_registry.h"
#include "workload/job_ledger.h"
#include "workload/planner.h"

namespace thornplank {

struct ClusterCoordinatorSettings {
  // Instance and incarnation: unique for ever.
  std::string holder;
  // Where it stands among the entries: 0 should lead first, 1 last.
  double rank = 0;
  Partition board;
  // A leader without the store for longer stops renewing leases; a successor
  // waits for that, and for a lease, where it cannot reach a worker itself.
  // With a lease of 6.5 s it outlasts outages of the store of 12 s.
  Milliseconds leadership_timeout{6000};
  // Collects events that come together into one round of placement.
  Milliseconds planning_delay{8};
  // Hundreds of workers renew their entries several times a second together; a
  // worker that leaves must get nothing new after 2 s.
  Milliseconds directory_read_interval{200};
  // How long an ended job is remembered.
  Milliseconds job_retention{150000};
  Milliseconds tick_interval{100};
  // Between two records of ends alone.
  Milliseconds end_record_interval{100};
  // For one call of the store while taking the lead.
  Milliseconds store_timeout{900};
  WorkerBounds bounds;
};

class ClusterCoordinator {
 public:
  // What it needs of the entry that it runs in.
  struct Dependencies {
    const JobBoard* board = nullptr;
    std::function<const ServingConfiguration&()> configuration;
    // Failure domains that take no new work.
    std::function<const std::set<std::string>&()> closed_domains;
    // Offset behind the last record of the board that was folded.
    std::function<int64_t()> board_next_offset;
    std::function<BootTime()> board_as_of;
    // Reads the board at once, outside its pace; logged whether its end was
    // reached.
    std::function<void(std::function<void(bool)>)> refresh_board;
    // Null where no queue needs advice.
    Advisor* advisor = nullptr;
  };

  ClusterCoordinator(boost::asio::io_context& io, RecordStore& store,
                     WorkerCalls& calls, const Formats& formats,
                     ClusterCoordinatorSettings settings,
                     Dependencies dependencies, MetricsRegistry& metrics);
  ~ClusterCoordinator();

  void Start();
  // After the board has folded a record.
  void OnBoardChange(const BoardChange& change);
  // The board was read up to its end by a store that takes `latency`.
  void OnBoardCaughtUp(Duration latency);
  // Another set of failure domains takes no new work.
  void OnClosedDomainsChanged();
  // A stream of the store could be read again after a loss.
  void OnStoreRecovered();
  // Gives the lead back, if it is held; `done` runs when that is stored or
  // `timeout` has passed. It takes no lead afterwards.
  void Release(Milliseconds timeout, std::function<void()> done);

  bool leading() const { return phase_ == Phase::kLeading; }
  int64_t epoch() const { return epoch_; }
  const JobLedger& ledger() const { return ledger_; }
  const WorkerFleet* fleet() const { return fleet_.get(); }

 private:
  // The last end of a worker's incarnation, by its number.
  struct LatestEnd {
    int incarnation = 0;
    int64_t number = 0;
  };
  enum class Phase { kFollowing, kClaiming, kFencing, kLoading, kLeading };

  void OnTick();
  // Logs who leads, once for each change.
  void LogLeader(const LeaderRecord& leader);
  void BeginClaim();
  void SendClaim();
  void OnClaimResult(int64_t epoch, const AppendResult& result);
  void BeginLeadership(int64_t epoch);
  void FenceProgress();
  void LoadProgress(const std::string& after_key);
  void OnProgressLoaded();
  void SyncJobFromBoard(const std::string& id);
  void InheritRuns(const StepRef& ref, Time now);
  void StepDown(const std::string& reason);
  void ScheduleStepDown(const std::string& reason);

  void SchedulePlanning();
  void RunPlanningRound();
  void StopRestOfGang(const StopDecision& stop);
  void ApplyStart(const StartDecision& decision, Time now);
  // Logs why steps wait, once for each reason.
  void LogWaits(const std::vector<WaitDecision>& waits);
  // Asks about the workers that waiting steps may need.
  void RequestAdvice(const std::vector<WaitDecision>& waits);
  void RecordWaitMetrics(const StartDecision& decision, Time now);
  RunProfile ProfileOf(const TaskRef& task) const;
  size_t WorkersLostRunning(const TaskRef& task) const;
  // Logs it where the task is to be started no more.
  void LogIfGivenUp(const TaskRef& task);
  void OnRunEnd(const std::string& worker, const RunEndReport& end);
  void StopOutdatedRuns();
  void FlushProgress();
  void PublishEndedJobs();
  void OnProgressStored(const std::vector<std::string>& begun,
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
  // Of a claim; the writers go on behind it.
  const int64_t first_sequence_;
  LeaderElection election_;
  Planner planner_;
  ProgressWriteLimiter progress_write_limiter_;
  SchedulingMetrics metrics_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer planning_timer_;
  boost::asio::steady_timer release_timer_;

  Phase phase_ = Phase::kFollowing;
  bool released_ = false;
  bool planning_scheduled_ = false;
  int64_t epoch_ = 0;
  // Of the last claim, answered or not.
  int64_t claimed_epoch_ = 0;
  Time next_claim_time_{};
  BootTime leadership_confirmed_{};
  LeaderRecord logged_leader_;
  Time last_heartbeat_{};
  Time last_cleanup_{};

  // Everything below lives while this entry leads.
  JobLedger ledger_;
  std::map<StepRef, ProgressBlocks> loaded_progress_;
  std::unique_ptr<FencedWriter> board_writer_;
  std::unique_ptr<FencedWriter> progress_writer_;
  std::unique_ptr<WorkerFleet> fleet_;
  std::unique_ptr<RecordTail> directory_;
  StreamReachability directory_reachability_{"directory"};
  std::unique_ptr<AdviceRequester> advice_;
  // Progress that has a record on the board.
  std::set<ProgressBlockRef> stored_blocks_;
  // Jobs that began and have not ended; logged when their start is stored.
  std::set<std::string> started_jobs_;
  // Jobs whose end is published, so that their records may go.
  std::set<std::string> published_ended_jobs_;
  // Jobs that ended under this lead and left the ledger; the board may learn
  // of it later and must not bring them back.
  std::set<std::string> finished_jobs_;
  // Ends that the next flush covers, by worker.
  std::map<std::string, LatestEnd> unrecorded_ends_;
  struct PendingStart {
    std::string worker;
    TaskRef task;
    int run = 0;
    std::string checkpoint;
    std::string ticket;
  };
  std::vector<PendingStart> pending_starts_;
  // Steps that wait, with the reason that was logged.
  std::map<StepRef, WaitReason> logged_waits_;

  // Callbacks that outlive this object, or this lead, do nothing.
  std::shared_ptr<int64_t> generation_ = std::make_shared<int64_t>(0);
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_CLUSTER_COORDINATOR_H_
