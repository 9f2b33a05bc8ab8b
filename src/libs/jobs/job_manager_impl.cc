// The loop between the job stream, the coordinator and the workers.
#include "jobs/job_manager_impl.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>

#include "jobs/worker_caller.h"
#include "logging/events/jobs_events.h"

namespace thornplank {
namespace {

using Clock = std::chrono::steady_clock;

// How long an epoch claim or a resignation may wait to be appended.
constexpr std::chrono::seconds kElectionAppendTimeout{2};
// How long a part of a snapshot may wait to be appended. After that the
// snapshot is abandoned, and a later one replaces it.
constexpr std::chrono::seconds kSnapshotAppendTimeout{30};
constexpr std::chrono::seconds kOffsetReadTimeout{2};

}  // namespace

JobManager::Impl::Impl(boost::asio::io_context& io, HttpClient& http,
                       LogClient& log, JobManagerSettings settings,
                       MetricsRegistry& metrics)
    : settings_(std::move(settings)),
      io_(io),
      strand_(boost::asio::make_strand(io)),
      timer_(strand_),
      log_(log),
      workers_(http),
      writer_(io, log, settings_.stream, settings_.writer),
      log_health_(settings_.log_down_after),
      placements_(metrics.counter("thornplank_gangs_placed_total",
                                  "Gangs that this entry placed.")),
      epochs_won_(metrics.counter("thornplank_epochs_won_total",
                                  "Epochs that this entry won.")),
      records_lost_(metrics.counter(
          "thornplank_job_records_lost_total",
          "Records of the coordinator that could not be appended.")),
      decision_time_(metrics.summary("thornplank_job_decision_seconds",
                                     "Time of one turn of the scheduler.")),
      state_(settings_.retention),
      election_(settings_.name, settings_.incarnation, settings_.election),
      inputs_(std::make_shared<PlanningInputs>()),
      last_turn_(Clock::now()),
      snapshots_(settings_.snapshot_records, settings_.snapshot_interval) {}

void JobManager::Impl::Initialize(PeerMesh* mesh, MetricsRegistry& metrics) {
  const std::weak_ptr<Impl> weak = weak_from_this();
  UrgentJobs::Hooks hooks;
  hooks.coordinator = [weak] {
    const auto self = weak.lock();
    if (!self) return std::string();
    const CoordinatorEpoch epoch = self->current_epoch();
    return epoch.resigned ? std::string() : epoch.holder;
  };
  hooks.plan = [weak](const JobRequest& job) {
    const auto self = weak.lock();
    return self != nullptr && self->PlanUrgent(job);
  };
  hooks.hold = [weak](const JobRequest& job) {
    if (const auto self = weak.lock()) self->HoldUrgent(job);
  };
  urgent_ = std::make_shared<UrgentJobs>(
      settings_.name, mesh, settings_.leases.call_timeout, std::move(hooks));
  urgent_->RegisterHandlers();
  const auto gauge = [&](const std::string& name, const std::string& help,
                         double (*read)(const Impl&)) {
    metrics.AddGauge(name, help, {}, [weak, read] {
      const auto self = weak.lock();
      return self ? read(*self) : 0.0;
    });
  };
  gauge("thornplank_coordinator", "1 while this entry is the coordinator.",
        [](const Impl& self) { return self.is_coordinator() ? 1.0 : 0.0; });
  gauge(
      "thornplank_jobs_offset", "Offset of the job stream that is folded.",
      [](const Impl& self) { return static_cast<double>(self.jobs_offset()); });
  gauge("thornplank_jobs_open", "Jobs that are not final.",
        [](const Impl& self) { return static_cast<double>(self.open_jobs()); });
}

void JobManager::Impl::Start() {
  const std::weak_ptr<Impl> weak = weak_from_this();
  follower_ = std::make_unique<StreamFollower>(
      io_, log_, settings_.stream, settings_.follower,
      [weak](const LogRecord& record) {
        if (const auto self = weak.lock()) self->OnRecord(record);
      },
      [weak](int64_t from, int64_t first_kept) {
        if (const auto self = weak.lock()) self->OnGap(from, first_kept);
      });
  follower_->Start(jobs_offset());
  ArmTimer();
}

void JobManager::Impl::Stop() {
  stopped_ = true;
  if (follower_) follower_->Stop();
  boost::asio::post(strand_,
                    [self = shared_from_this()] { self->timer_.cancel(); });
  const std::lock_guard<std::mutex> lock(mutex_);
  coordinator_.reset();
}

void JobManager::Impl::Drain(std::function<void()> done) {
  // On the strand, so that the resignation follows the records of all earlier
  // turns.
  boost::asio::post(strand_, [self = shared_from_this(),
                              done = std::move(done)]() mutable {
    std::optional<ResignRecord> resign;
    std::vector<JobStreamRecord> records;
    {
      const std::lock_guard<std::mutex> lock(self->mutex_);
      self->draining_ = true;
      if (self->coordinator_) {
        records = self->coordinator_->TakeRecords();
        resign = ResignRecord{self->coordinator_->epoch(), self->settings_.name,
                              self->settings_.incarnation};
        self->StepDown("this entry is stopping");
      }
    }
    for (const JobStreamRecord& record : records) self->AppendRecord(record);
    if (!resign) {
      done();
      return;
    }
    self->writer_.Append(self->NewRecordId(), EncodeJobRecord(*resign),
                         Clock::now() + kElectionAppendTimeout,
                         [done = std::move(done)](AppendState, int64_t,
                                                  const Error&) { done(); });
  });
}

void JobManager::Impl::SetWorkers(const std::vector<WorkerInfo>& workers) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto inputs = std::make_shared<PlanningInputs>(*inputs_);
  inputs->workers = workers;
  inputs_ = std::move(inputs);
  if (coordinator_) coordinator_->SetWorkers(workers, Clock::now());
}

void JobManager::Impl::SetGuarantees(
    const std::vector<AccountGuarantee>& accounts) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto inputs = std::make_shared<PlanningInputs>(*inputs_);
  inputs->guarantees = accounts;
  inputs_ = std::move(inputs);
  if (coordinator_) coordinator_->SetGuarantees(accounts, Clock::now());
}

void JobManager::Impl::SetEvents(const std::vector<EventReservation>& events) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto inputs = std::make_shared<PlanningInputs>(*inputs_);
  inputs->events = events;
  inputs_ = std::move(inputs);
  if (coordinator_) coordinator_->SetEvents(events, Clock::now());
}

void JobManager::Impl::SetLiveEntries(const std::vector<std::string>& names) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<std::string> live(names.begin(), names.end());
  live.insert(settings_.name);
  live_entries_known_ = true;
  election_.SetLiveEntries(live, Clock::now());
}

void JobManager::Impl::OnRecord(const LogRecord& record) {
  JobWaiters::Answers answers;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = Clock::now();
    if (IsOwnRecord(record.id)) log_health_.HandleOwnRecord(now);
    HandleStreamChange(state_.Apply(record), now, &answers);
  }
  for (const auto& answer : answers) answer();
  ScheduleTurn();
}

void JobManager::Impl::OnGap(int64_t from, int64_t first_kept) {
  LogEvent(events::kJobStreamGap, {{"from", from}, {"first_kept", first_kept}});
  const std::lock_guard<std::mutex> lock(mutex_);
  state_.SkipLostRecords(first_kept);
  if (!state_.complete() && coordinator_) StepDown("log records were missed");
}

void JobManager::Impl::HandleStreamChange(const JobStreamChange& change,
                                          Time now,
                                          JobWaiters::Answers* answers) {
  switch (change.kind) {
    case JobStreamChange::Kind::kNone:
      return;
    case JobStreamChange::Kind::kSubmitted:
      held_urgent_jobs_.erase(change.job);
      if (coordinator_) {
        coordinator_->Submit(*state_.jobs().Find(change.job), now);
      }
      break;
    case JobStreamChange::Kind::kCancelled:
      if (coordinator_) coordinator_->Cancel(change.job, now);
      break;
    case JobStreamChange::Kind::kPlaced:
    case JobStreamChange::Kind::kPhase:
      break;
    case JobStreamChange::Kind::kEpoch:
    case JobStreamChange::Kind::kResigned:
      HandleEpochChange(now);
      return;
    case JobStreamChange::Kind::kRestored:
      // The coordinator's decisions are based on the replaced state.
      if (coordinator_) StepDown("the job table was restored from a snapshot");
      HandleEpochChange(now);
      *answers = waiters_.TakeAllFulfilled(state_.jobs());
      return;
  }
  *answers = waiters_.TakeFulfilled(state_.jobs(), change.job);
}

void JobManager::Impl::HandleEpochChange(Time now) {
  const CoordinatorEpoch& epoch = state_.epochs().current();
  election_.SetEpoch(epoch, now);
  const bool ours =
      state_.epochs().IsHeldBy(settings_.name, settings_.incarnation) &&
      epoch.number != abandoned_epoch_ && !draining_;
  if (coordinator_ && (!ours || coordinator_->epoch() != epoch.number)) {
    StepDown("epoch " + std::to_string(epoch.number) + " belongs to " +
             epoch.holder);
  }
  if (!ours || coordinator_) return;
  coordinator_ =
      std::make_unique<Coordinator>(epoch.number, settings_, *inputs_, now);
  epochs_won_.Add();
  LogEvent(events::kEpochWon, {{"epoch", epoch.number}});
}

// Without the coordinator nothing more is sent under its epoch, and the results
// of calls in flight are ignored.
void JobManager::Impl::StepDown(const std::string& why) {
  LogEvent(events::kSteppedDown,
           {{"epoch", coordinator_->epoch()}, {"reason", why}});
  coordinator_.reset();
  verifying_epoch_ = false;
}

void JobManager::Impl::ArmTimer() {
  timer_.expires_after(settings_.tick_interval);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || !self || self->stopped_) return;
    self->RunTurn();
    self->ArmTimer();
  });
}

void JobManager::Impl::ScheduleTurn() {
  if (turn_scheduled_.exchange(true)) return;
  boost::asio::post(strand_, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->turn_scheduled_ = false;
    self->RunTurn();
  });
}

// Runs on the strand, so that records and calls are sent in the order of the
// turns.
void JobManager::Impl::RunTurn() {
  if (stopped_) return;
  SendOutbox(PrepareTurn(Clock::now()));
}

JobManager::Impl::Outbox JobManager::Impl::PrepareTurn(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Outbox outbox;
  outbox.next_offset = state_.next_offset();
  outbox.expired = waiters_.TakeExpired(now);
  CheckForPause(now, &outbox);
  last_turn_ = now;
  const bool log_down = IsLogDown(now);
  // It is unknown whether their records were appended. This does not matter,
  // since a second submission of the same job is ignored.
  if (log_down) outbox.urgent = waiters_.TakeUrgent();
  const bool may_claim = live_entries_known_ && !draining_ && !log_down &&
                         state_.complete() && follower_->caught_up();
  if (may_claim) {
    if (const std::optional<int64_t> number = election_.ClaimIfDue(now)) {
      outbox.claim =
          EpochRecord{*number, settings_.name, settings_.incarnation};
    }
  }
  if (!coordinator_ || verifying_epoch_) return outbox;
  Plan(now, &outbox);
  if (coordinator_ &&
      now >= retention_checked_at_ + settings_.retention_check_interval) {
    retention_checked_at_ = now;
    outbox.check_retention = true;
  }
  return outbox;
}

// Another entry may have won a newer epoch while this process was paused, so
// the coordinator checks the stream before it sends anything. If the log is
// down, no newer epoch can have been appended.
void JobManager::Impl::CheckForPause(Time now, Outbox* outbox) {
  if (verifying_epoch_ && epoch_check_offset_ &&
      state_.next_offset() >= *epoch_check_offset_) {
    verifying_epoch_ = false;
    epoch_check_offset_.reset();
  }
  if (!coordinator_ || now - last_turn_ < settings_.pause_threshold) return;
  LogEvent(
      events::kPauseNoticed,
      {{"epoch", coordinator_->epoch()},
       {"paused_ms",
        std::chrono::duration_cast<Milliseconds>(now - last_turn_).count()}});
  verifying_epoch_ = true;
  epoch_check_offset_.reset();
  outbox->verify_epoch = true;
}

void JobManager::Impl::Plan(Time now, Outbox* outbox) {
  coordinator_->Advance(state_, now, std::chrono::system_clock::now());
  decision_time_.Observe(Clock::now() - now);
  if (coordinator_->superseded()) {
    abandoned_epoch_ = coordinator_->epoch();
    outbox->resign =
        ResignRecord{abandoned_epoch_, settings_.name, settings_.incarnation};
    StepDown("workers have seen a newer token");
    return;
  }
  outbox->records = coordinator_->TakeRecords();
  outbox->calls = coordinator_->TakeCalls(now);
}

void JobManager::Impl::SendOutbox(Outbox outbox) {
  const auto append = [this](const JobStreamRecord& record) {
    writer_.Append(NewRecordId(), EncodeJobRecord(record),
                   Clock::now() + kElectionAppendTimeout,
                   [](AppendState, int64_t, const Error&) {});
  };
  if (outbox.claim) {
    LogEvent(events::kEpochClaimed, {{"epoch", outbox.claim->number}});
    append(*outbox.claim);
  }
  if (outbox.resign) append(*outbox.resign);
  for (const JobStreamRecord& record : outbox.records) AppendRecord(record);
  for (const WorkerCall& call : outbox.calls) SendCall(call);
  for (JobWaiters::Waiter& waiter : outbox.expired) {
    FailWaiter(std::move(waiter), false, "the log did not answer in time");
  }
  for (JobWaiters::Waiter& waiter : outbox.urgent) {
    urgent_->Submit(waiter.job, std::move(waiter.callback));
  }
  if (outbox.check_retention || outbox.verify_epoch) {
    ReadOffsets(outbox.check_retention, outbox.next_offset);
  }
}

void JobManager::Impl::SendCall(const WorkerCall& call) {
  SendWorkerCall(
      workers_, call, settings_.leases.term, settings_.leases.call_timeout,
      [weak = weak_from_this(), call](const std::optional<WorkerReport>& report,
                                      WorkerRefusal refusal,
                                      const Error& error) {
        if (const auto self = weak.lock()) {
          self->HandleCallResult(call, report, refusal, error);
        }
      });
}

void JobManager::Impl::HandleCallResult(
    const WorkerCall& call, const std::optional<WorkerReport>& report,
    WorkerRefusal refusal, const Error& error) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!coordinator_ || coordinator_->epoch() != call.token.epoch) return;
    const Time now = Clock::now();
    coordinator_->HandleCallResult(call, report, refusal, error.ToString(),
                                   now);
    decision_time_.Observe(Clock::now() - now);
  }
  ScheduleTurn();
}

void JobManager::Impl::AppendRecord(const JobStreamRecord& record) {
  if (std::holds_alternative<PlacedRecord>(record)) placements_.Add();
  writer_.Append(NewRecordId(), EncodeJobRecord(record),
                 Clock::now() + settings_.append_timeout,
                 [weak = weak_from_this()](AppendState state, int64_t,
                                           const Error& error) {
                   if (state == AppendState::kAppended) return;
                   LogEvent(events::kJobRecordLost, error);
                   if (const auto self = weak.lock()) self->records_lost_.Add();
                 });
}

// Reads at most one record; only the offsets in the result are used.
void JobManager::Impl::ReadOffsets(bool check_retention, int64_t next_offset) {
  log_.Read(settings_.stream, next_offset, 1, Duration::zero(),
            kOffsetReadTimeout,
            [weak = weak_from_this(), check_retention](
                const std::optional<LogReadResult>& result, const Error&) {
              if (const auto self = weak.lock()) {
                self->HandleOffsets(check_retention, result);
              }
            });
}

void JobManager::Impl::HandleOffsets(
    bool check_retention, const std::optional<LogReadResult>& result) {
  auto parts = std::make_shared<std::vector<SnapshotPartRecord>>();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (verifying_epoch_ && !epoch_check_offset_) {
      epoch_check_offset_ = result ? result->next_offset : 0;
    }
    const bool may_snapshot = check_retention && result && coordinator_ &&
                              coordinator_->planning() &&
                              !snapshot_in_progress_;
    const Time now = Clock::now();
    if (may_snapshot &&
        snapshots_.IsDue(result->first_offset, result->next_offset,
                         state_.newest_snapshot_end(), now)) {
      *parts =
          state_.MakeSnapshot(NewRecordId(), settings_.snapshot_jobs_per_part);
      snapshot_in_progress_ = !parts->empty();
      snapshots_.MarkAppended(now);
    }
  }
  if (!parts->empty()) AppendSnapshot(parts, 0);
  ScheduleTurn();
}

// Appends the parts one after the other, so that a snapshot does not form a
// single huge batch.
void JobManager::Impl::AppendSnapshot(
    const std::shared_ptr<std::vector<SnapshotPartRecord>>& parts,
    size_t next) {
  if (next == parts->size()) {
    LogEvent(events::kJobSnapshotAppended,
             {{"covers", parts->front().covers}, {"parts", parts->size()}});
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot_in_progress_ = false;
    return;
  }
  writer_.Append(NewRecordId(), EncodeJobRecord((*parts)[next]),
                 Clock::now() + kSnapshotAppendTimeout,
                 [weak = weak_from_this(), parts, next](AppendState state,
                                                        int64_t, const Error&) {
                   const auto self = weak.lock();
                   if (!self) return;
                   if (state == AppendState::kAppended) {
                     self->AppendSnapshot(parts, next + 1);
                     return;
                   }
                   const std::lock_guard<std::mutex> lock(self->mutex_);
                   self->snapshot_in_progress_ = false;
                 });
}

}  // namespace thornplank
