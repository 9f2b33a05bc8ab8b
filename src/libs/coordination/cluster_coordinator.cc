// Taking, keeping and releasing leadership.
#include "coordination/cluster_coordinator.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

constexpr char kProducer[] = "leader";
// A producer of its own, so that neither writer waits for the appends of the
// other.
constexpr char kProgressProducer[] = "progress";
// Bounds the first sequence number, so that it never overflows.
constexpr int64_t kSequenceRange = int64_t{1} << 40;
// After a claim that did not succeed. Doubled by each further one, since a
// store that refuses claims is overloaded.
constexpr Milliseconds kMinClaimRetry{200};
constexpr Milliseconds kMaxClaimRetry{1600};

Time Now() { return std::chrono::steady_clock::now(); }

// The store takes two appends with the same producer, epoch and sequence number
// for duplicates and acknowledges both. Entries that claim the same epoch
// therefore start at different sequence numbers: the store accepts the first
// claim and rejects the others.
int64_t FirstSequence(const std::string& holder) {
  return static_cast<int64_t>(std::hash<std::string>()(holder) %
                              static_cast<uint64_t>(kSequenceRange));
}

}  // namespace

ClusterCoordinator::ClusterCoordinator(boost::asio::io_context& io,
                                       RecordStore& store, WorkerCalls& calls,
                                       const Formats& formats,
                                       ClusterCoordinatorSettings settings,
                                       Dependencies dependencies,
                                       MetricsRegistry& metrics)
    : io_(io),
      store_(store),
      calls_(calls),
      formats_(formats),
      settings_(std::move(settings)),
      dependencies_(std::move(dependencies)),
      first_sequence_(FirstSequence(settings_.holder)),
      election_(LeaderElectionSettings(), settings_.holder),
      predecessor_(settings_.holder, settings_.leadership_timeout),
      planner_(MakePlanner(settings_)),
      progress_write_limiter_(settings_.end_record_interval),
      metrics_(metrics),
      tick_timer_(io),
      planning_timer_(io),
      release_timer_(io) {}

ClusterCoordinator::~ClusterCoordinator() {
  *alive_ = false;
  ++*generation_;
}

Planner ClusterCoordinator::MakePlanner(
    const ClusterCoordinatorSettings& settings) {
  PlannerSettings planning;
  planning.bounds = settings.bounds;
  planning.features = settings.features;
  return Planner(planning);
}

void ClusterCoordinator::Start() { OnTick(); }

void ClusterCoordinator::OnTick() {
  const Time now = Now();
  if (phase_ == Phase::kFollowing && !released_ && now >= next_claim_time_ &&
      election_.ShouldClaim(dependencies_.board->leader(), now)) {
    BeginClaim();
  }
  if (phase_ == Phase::kLeading) {
    fleet_->Tick(now);
    RefuseStarts(start_gate_.TakeExpired(now));
    StopOutdatedRuns();
    ReviewLostWorkers(now);
    DropExpiredRecords();
    MeasureFragmentation(now);
    SchedulePlanning();
  }
  const auto heartbeat = election_.settings().heartbeat_interval;
  const bool holds_lead = board_writer_ != nullptr;
  if (holds_lead && board_writer_->idle() &&
      now - last_heartbeat_ >= heartbeat) {
    WriteHeartbeat(released_, nullptr);
  }
  tick_timer_.expires_after(settings_.tick_interval);
  tick_timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& code) {
        if (!code && *alive) OnTick();
      });
}

void ClusterCoordinator::OnBoardCaughtUp(Duration latency) {
  const Time now = Now();
  const bool is_first = last_board_read_ == Time{};
  const bool has_gap = now - last_board_read_ > kMaxReadGap;
  if (!is_first && has_gap) store_returned_ = now;
  last_board_read_ = now;
  election_.OnBoardCaughtUp(latency, now);
  if (phase_ == Phase::kLeading) AddSubmittedJobs();
}

void ClusterCoordinator::OnBoardSnapshot() {
  predecessor_.OnSnapshot(Now());
  ForgetDroppedJobs();
}

void ClusterCoordinator::ForgetDroppedJobs() {
  for (auto it = ended_jobs_.begin(); it != ended_jobs_.end();) {
    const auto id = it++;
    if (dependencies_.board->Find(*id) == nullptr) ended_jobs_.erase(id);
  }
}

void ClusterCoordinator::OnClosedDomainsChanged() {
  if (!fleet_) return;
  fleet_->CloseDomains(dependencies_.closed_domains());
  SchedulePlanning();
}

void ClusterCoordinator::OnStoreRecovered() {
  directory_unreadable_ = false;
  if (directory_) directory_->RetryIfLost(settings_.store_timeout);
}

void ClusterCoordinator::OnBoardChange(const BoardChange& change) {
  switch (change.kind) {
    case BoardChange::Kind::kLeader: {
      const LeaderRecord& leader = dependencies_.board->leader();
      election_.OnLeaderRecord(leader, Now());
      predecessor_.OnLeaderRecord(leader, Now());
      claim_retry_ = Milliseconds(0);
      LogLeader(leader);
      const bool is_own = leader.holder == settings_.holder;
      if (is_own && leader.epoch == claimed_epoch_ && !leader.released &&
          (phase_ == Phase::kFollowing || phase_ == Phase::kClaiming)) {
        BeginLeadership(leader.epoch);
      }
      if (!is_own && phase_ != Phase::kFollowing && leader.epoch > epoch_ &&
          phase_ != Phase::kClaiming) {
        ScheduleStepDown("another entry leads");
      }
      return;
    }
    case BoardChange::Kind::kSubmitted:
      if (phase_ != Phase::kLeading) return;
      unordered_submissions_.insert(change.job);
      return AddSubmittedJobs();
    case BoardChange::Kind::kCancelled:
      if (phase_ != Phase::kLeading) return;
      SyncJobFromBoard(change.job);
      StopOutdatedRuns();
      return SchedulePlanning();
    case BoardChange::Kind::kRenewalStops:
      renewal_stops_read_ = Now();
      return;
    case BoardChange::Kind::kDropped:
      ended_jobs_.erase(change.job);
      return;
    case BoardChange::Kind::kState:
    case BoardChange::Kind::kEntry:
    case BoardChange::Kind::kRoster:
    case BoardChange::Kind::kNone:
      return;
  }
}

// The pages of a snapshot are not in the order in which records were stored: a
// job that they contain may have been cancelled by a record that is stored
// before its submission and read after it.
void ClusterCoordinator::AddSubmittedJobs() {
  for (auto it = unordered_submissions_.begin();
       it != unordered_submissions_.end();) {
    const auto id = it++;
    const BoardJob* job = dependencies_.board->Find(*id);
    const bool is_ordered =
        job == nullptr ||
        job->submission_offset < dependencies_.board_next_offset();
    if (!is_ordered) continue;
    LogSubmission(*id);
    SyncJobFromBoard(*id);
    unordered_submissions_.erase(id);
    SchedulePlanning();
  }
}

void ClusterCoordinator::LogLeader(const LeaderRecord& leader) {
  const bool known = leader.epoch == logged_leader_.epoch &&
                     leader.released == logged_leader_.released;
  logged_leader_ = leader;
  if (known) return;
  LogEvent(events::kLeaderSeen,
           {{"holder", leader.holder},
            {"epoch", leader.epoch},
            {"released", leader.released},
            {"board_next", dependencies_.board_next_offset()}});
}

// The board is read just before a claim, so that the claim misses neither a
// record of the leader nor another claim: followers read a busy board too
// rarely for that.
void ClusterCoordinator::BeginClaim() {
  phase_ = Phase::kClaiming;
  dependencies_.refresh_board(
      settings_.claim_read_timeout, [this, generation = generation_,
                                     current = *generation_](bool is_current) {
        if (*generation != current || phase_ != Phase::kClaiming) return;
        const bool still_vacant =
            is_current && !released_ &&
            election_.ShouldClaim(dependencies_.board->leader(), Now());
        if (still_vacant) return SendClaim();
        phase_ = Phase::kFollowing;
        directory_.reset();
        if (!is_current) DelayNextClaim();
      });
}

// The epoch alone decides between claimants. A condition that the board still
// ends where this entry has read to would refuse nearly every claim: other
// entries append callers' records in between.
void ClusterCoordinator::SendClaim() {
  const int64_t epoch = dependencies_.board->leader().epoch + 1;
  claimed_epoch_ = epoch;
  FollowDirectory();
  AppendRequest request;
  request.partition = settings_.board;
  request.records = {JobBoard::Leader({settings_.holder, epoch, false})};
  request.producer = ProducerPosition{kProducer, epoch, first_sequence_};
  LogEvent(
      events::kLeadershipClaimed,
      {{"epoch", epoch}, {"board_next", dependencies_.board_next_offset()}});
  store_.Append(request, settings_.store_timeout,
                [this, epoch, generation = generation_,
                 current = *generation_](const AppendResult& result) {
                  if (*generation == current) OnClaimResult(epoch, result);
                });
}

void ClusterCoordinator::OnClaimResult(int64_t epoch,
                                       const AppendResult& result) {
  if (phase_ != Phase::kClaiming) return;
  if (result.outcome == StoreOutcome::kStored) return BeginLeadership(epoch);
  LogEvent(events::kLeadershipClaimRejected, result.error, {{"epoch", epoch}});
  phase_ = Phase::kFollowing;
  directory_.reset();
  // If the outcome is unknown, the board shows whether this claim or a
  // competing one was stored.
  DelayNextClaim();
  dependencies_.refresh_board(settings_.claim_read_timeout, [](bool) {});
}

void ClusterCoordinator::DelayNextClaim() {
  claim_retry_ = std::clamp(claim_retry_ * 2, kMinClaimRetry, kMaxClaimRetry);
  next_claim_time_ = Now() + claim_retry_;
}

void ClusterCoordinator::BeginLeadership(int64_t epoch) {
  phase_ = Phase::kFencing;
  // The record of the same claim must not start leadership a second time.
  claimed_epoch_ = 0;
  epoch_ = epoch;
  leadership_confirmed_ = BootClock::now();
  last_heartbeat_ = Now();
  FollowDirectory();
  CreateWriters();
  FenceProgress();
}

// Both writers exist from the claim on: an entry that is taking leadership says
// so as often as a leader does, or others would claim it meanwhile.
void ClusterCoordinator::CreateWriters() {
  const auto fenced = [this] { ScheduleStepDown("fenced by the store"); };
  FencedWriterSettings writer;
  writer.producer = kProducer;
  writer.epoch = epoch_;
  // The claim had the first sequence number.
  writer.first_sequence = first_sequence_ + 1;
  writer.partition = settings_.board;
  writer.limits = settings_.store_limits;
  board_writer_ = std::make_unique<FencedWriter>(io_, store_, writer, fenced);
  writer.producer = kProgressProducer;
  writer.first_sequence = first_sequence_;
  progress_writer_ = std::make_unique<FencedWriter>(
      io_, store_, writer, fenced,
      [this](const KeyedRecord& record) { OnRecordRejected(record); });
}

// Once a record is stored under the new epoch, the store rejects progress
// writes of a predecessor, so that the progress read afterwards is final.
void ClusterCoordinator::FenceProgress() {
  progress_writer_->Write(
      {JobBoard::Leader({settings_.holder, epoch_, false})},
      [this, generation = generation_, current = *generation_] {
        if (*generation != current || phase_ != Phase::kFencing) return;
        phase_ = Phase::kLoading;
        LoadProgress();
      });
}

void ClusterCoordinator::FollowDirectory() {
  if (directory_) return;
  refreshing_directory_ = false;
  directory_unreadable_ = false;
  RecordTailSettings tail;
  tail.partition = formats_.streams().workers;
  tail.min_read_interval = settings_.directory_read_interval;
  directory_ = std::make_unique<WorkerDirectory>(io_, store_, tail);
}

WorkerFleet::Handlers ClusterCoordinator::MakeFleetHandlers() {
  WorkerFleet::Handlers handlers;
  handlers.on_end = [this](const std::string& worker, const RunEndReport& end) {
    OnRunEnd(worker, end);
  };
  handlers.on_alive = [this](const std::string& worker,
                             const std::optional<WallTime>& incarnation_start) {
    OnWorkerAlive(worker, incarnation_start);
  };
  handlers.on_ended = [this](const std::string& worker,
                             const std::optional<WallTime>& incarnation_start) {
    OnWorkerEnded(worker, incarnation_start);
  };
  handlers.on_began = [this](const TaskRef& task) {
    ledger_.RecordBegan(task.step.job);
  };
  handlers.on_progress = [this](const RunReport& run) {
    ledger_.RecordCheckpoint(run.task, run.run, run.checkpoint);
    LogDroppedCheckpoints();
  };
  handlers.on_start_survived = [this](const TaskRef& task, int run) {
    ledger_.RecordSurvivedStart(task, run);
  };
  handlers.profile_of = [this](const TaskRef& task) { return ProfileOf(task); };
  handlers.is_known_service = [this](const std::string& service) {
    // Before the first configuration every service counts as known.
    const ServingConfiguration& configuration = dependencies_.configuration();
    return configuration.queues.empty() || configuration.KnowsService(service);
  };
  handlers.on_ticket_refused = [this](const StepRef& step,
                                      const std::string& worker) {
    advice_->OnTicketRefused(step, worker);
  };
  handlers.on_answer = [this](const std::string& worker) {
    for (const StartGate::Group& group : start_gate_.OnAnswer(worker)) {
      SendStarts(group);
    }
  };
  handlers.on_no_answer = [this](const std::string& worker) {
    RefuseStarts(start_gate_.OnFailure(worker));
  };
  handlers.on_change = [this] { SchedulePlanning(); };
  handlers.on_fenced = [this] {
    ScheduleStepDown("a worker has accepted a higher epoch");
  };
  handlers.may_renew = [this] {
    return BootClock::now() - leadership_confirmed_ <
           settings_.leadership_timeout;
  };
  return handlers;
}

// Adds a job of the board to the ledger, and cancels it there if it was
// cancelled.
void ClusterCoordinator::SyncJobFromBoard(const std::string& id) {
  const BoardJob* job = dependencies_.board->Find(id);
  if (job == nullptr) return;
  if (ledger_.Find(id) == nullptr) {
    if (IsTerminal(job->published_state) || ended_jobs_.count(id) > 0) return;
    const Time now = Now();
    ledger_.Add(*job->spec, now);
    ledger_.AdoptState(id, job->published_state);
    fragmentation_.OnJob(*job->spec, now);
  }
  if (job->cancelled) ledger_.Cancel(id);
}

void ClusterCoordinator::ScheduleStepDown(const std::string& reason) {
  boost::asio::post(
      io_, [this, reason, generation = generation_, current = *generation_] {
        if (*generation == current) StepDown(reason);
      });
}

void ClusterCoordinator::StepDown(const std::string& reason) {
  if (phase_ == Phase::kFollowing) return;
  LogEvent(events::kLeadershipLost, {{"epoch", epoch_}, {"reason", reason}});
  ++*generation_;
  phase_ = Phase::kFollowing;
  planning_timer_.cancel();
  planning_scheduled_ = false;
  directory_.reset();
  fleet_.reset();
  advice_.reset();
  board_writer_.reset();
  progress_writer_.reset();
  ledger_ = JobLedger();
  unordered_submissions_.clear();
  pending_starts_.clear();
  start_gate_.Clear();
  logged_waits_.clear();
  fragmentation_ = FragmentationMonitor();
  unrecorded_ends_.clear();
  claim_retry_ = Milliseconds(0);
  DelayNextClaim();
}

void ClusterCoordinator::Release(Milliseconds timeout,
                                 std::function<void()> done) {
  released_ = true;
  if (phase_ != Phase::kLeading) return done();
  auto once = std::make_shared<std::function<void()>>(std::move(done));
  const auto finish = [this, once, alive = alive_] {
    if (!*once || !*alive) return;
    release_timer_.cancel();
    const auto callback = std::exchange(*once, nullptr);
    LogEvent(events::kLeadershipReleased, {{"epoch", epoch_}});
    callback();
  };
  release_timer_.expires_after(timeout);
  release_timer_.async_wait([finish](const boost::system::error_code& code) {
    if (!code) finish();
  });
  // Decisions made so far are recorded before the release.
  FlushProgress();
  WriteHeartbeat(/*released=*/true, finish);
}

void ClusterCoordinator::WriteAsLeader(KeyedRecord record) {
  if (phase_ != Phase::kLeading) return;
  std::vector<KeyedRecord> records;
  records.push_back(std::move(record));
  board_writer_->Write(std::move(records), nullptr);
}

void ClusterCoordinator::WriteHeartbeat(bool released,
                                        FencedWriter::StoredCallback stored) {
  last_heartbeat_ = Now();
  const BootTime sent_at = BootClock::now();
  board_writer_->Write(
      {JobBoard::Leader({settings_.holder, epoch_, released})},
      [this, sent_at, generation = generation_, current = *generation_,
       stored = std::move(stored)] {
        if (*generation != current) return;
        leadership_confirmed_ = std::max(leadership_confirmed_, sent_at);
        dependencies_.expect_board(board_writer_->stored_end());
        if (stored) stored();
      });
}

}  // namespace thornplank
