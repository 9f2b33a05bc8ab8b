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

// How long a claim or a resignation waits to be appended.
constexpr std::chrono::seconds kElectionAppendTime{2};
// A part of a snapshot that is not appended by then waits for the next one.
constexpr std::chrono::seconds kSnapshotAppendTime{30};
constexpr std::chrono::seconds kOffsetReadTime{2};

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
      fold_(settings_.retention),
      election_(settings_.name, settings_.incarnation, settings_.election),
      inputs_(std::make_shared<PlanningInputs>()),
      last_turn_(Clock::now()),
      snapshots_(settings_.snapshot_records, settings_.snapshot_interval) {}

void JobManager::Impl::Open(PeerMesh* mesh, MetricsRegistry& metrics) {
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
  urgent_->Start();
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
  // On the strand: the resignation goes after every record of a turn before.
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
        self->StepDown("planned stop");
      }
    }
    for (const JobStreamRecord& record : records) self->AppendPlanned(record);
    if (!resign) {
      done();
      return;
    }
    self->writer_.Append(self->NewRecordId(), EncodeJobRecord(*resign),
                         Clock::now() + kElectionAppendTime,
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
    if (IsOwnRecord(record.id)) log_health_.OnOwnRecord(now);
    HandleChange(fold_.Apply(record), now, &answers);
  }
  for (const auto& answer : answers) answer();
  SchedulePump();
}

void JobManager::Impl::OnGap(int64_t from, int64_t first_kept) {
  LogEvent(events::kJobStreamGap, {{"from", from}, {"first_kept", first_kept}});
  const std::lock_guard<std::mutex> lock(mutex_);
  fold_.SkipLostRecords(first_kept);
  if (!fold_.complete() && coordinator_) StepDown("records were lost unread");
}

void JobManager::Impl::HandleChange(const JobStreamChange& change, Time now,
                                    JobWaiters::Answers* answers) {
  switch (change.kind) {
    case JobStreamChange::Kind::kNone:
      return;
    case JobStreamChange::Kind::kSubmitted:
      held_.erase(change.job);
      if (coordinator_) {
        coordinator_->Submit(*fold_.jobs().Find(change.job), now);
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
      EpochMoved(now);
      return;
    case JobStreamChange::Kind::kRestored:
      // Whatever was planned with is out of date.
      if (coordinator_) StepDown("the fold was replaced");
      EpochMoved(now);
      *answers = waiters_.TakeAllFulfilled(fold_.jobs());
      return;
  }
  *answers = waiters_.TakeFulfilled(fold_.jobs(), change.job);
}

void JobManager::Impl::EpochMoved(Time now) {
  const CoordinatorEpoch& epoch = fold_.epochs().current();
  election_.SetEpoch(epoch, now);
  const bool ours =
      fold_.epochs().IsHeldBy(settings_.name, settings_.incarnation) &&
      epoch.number != given_up_epoch_ && !draining_;
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

// With the object gone nothing more of its epoch is sent; the answers of its
// calls are dropped.
void JobManager::Impl::StepDown(const std::string& why) {
  LogEvent(events::kSteppedDown,
           {{"epoch", coordinator_->epoch()}, {"reason", why}});
  coordinator_.reset();
  verifying_ = false;
}

void JobManager::Impl::ArmTimer() {
  timer_.expires_after(settings_.tick_interval);
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    const auto self = weak.lock();
    if (error || !self || self->stopped_) return;
    self->Pump();
    self->ArmTimer();
  });
}

void JobManager::Impl::SchedulePump() {
  if (pump_scheduled_.exchange(true)) return;
  boost::asio::post(strand_, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) return;
    self->pump_scheduled_ = false;
    self->Pump();
  });
}

// On the strand, so that records and calls leave in the order of the turns.
void JobManager::Impl::Pump() {
  if (stopped_) return;
  SendOut(Turn(Clock::now()));
}

JobManager::Impl::Outbox JobManager::Impl::Turn(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Outbox outbox;
  outbox.next_offset = fold_.next_offset();
  outbox.expired = waiters_.TakeExpired(now);
  NoticePause(now, &outbox);
  last_turn_ = now;
  const bool log_down = LogDown(now);
  // Whether their records were appended is unknown and does not matter: the
  // fold takes a job once.
  if (log_down) outbox.urgent = waiters_.TakeUrgent();
  const bool may_claim = live_entries_known_ && !draining_ && !log_down &&
                         fold_.complete() && follower_->caught_up();
  if (may_claim) {
    if (const std::optional<int64_t> number = election_.ClaimIfDue(now)) {
      outbox.claim =
          EpochRecord{*number, settings_.name, settings_.incarnation};
    }
  }
  if (!coordinator_ || verifying_) return outbox;
  Plan(now, &outbox);
  if (coordinator_ &&
      now >= retention_checked_at_ + settings_.retention_check_interval) {
    retention_checked_at_ = now;
    outbox.check_retention = true;
  }
  return outbox;
}

// A holder that was paused may have been replaced meanwhile: before it sends
// anything it asks the stream. While the log is down there is no newer epoch.
void JobManager::Impl::NoticePause(Time now, Outbox* outbox) {
  if (verifying_ && verify_offset_ && fold_.next_offset() >= *verify_offset_) {
    verifying_ = false;
    verify_offset_.reset();
  }
  if (!coordinator_ || now - last_turn_ < settings_.pause_threshold) return;
  LogEvent(
      events::kPauseNoticed,
      {{"epoch", coordinator_->epoch()},
       {"paused_ms",
        std::chrono::duration_cast<Milliseconds>(now - last_turn_).count()}});
  verifying_ = true;
  verify_offset_.reset();
  outbox->check_epoch = true;
}

void JobManager::Impl::Plan(Time now, Outbox* outbox) {
  coordinator_->Advance(fold_, now, std::chrono::system_clock::now());
  decision_time_.Observe(Clock::now() - now);
  if (coordinator_->superseded()) {
    given_up_epoch_ = coordinator_->epoch();
    outbox->resign =
        ResignRecord{given_up_epoch_, settings_.name, settings_.incarnation};
    StepDown("workers have seen a newer token");
    return;
  }
  outbox->records = coordinator_->TakeRecords();
  outbox->calls = coordinator_->TakeCalls(now);
}

void JobManager::Impl::SendOut(Outbox outbox) {
  const auto append = [this](const JobStreamRecord& record) {
    writer_.Append(NewRecordId(), EncodeJobRecord(record),
                   Clock::now() + kElectionAppendTime,
                   [](AppendState, int64_t, const Error&) {});
  };
  if (outbox.claim) {
    LogEvent(events::kEpochClaimed, {{"epoch", outbox.claim->number}});
    append(*outbox.claim);
  }
  if (outbox.resign) append(*outbox.resign);
  for (const JobStreamRecord& record : outbox.records) AppendPlanned(record);
  for (const WorkerCall& call : outbox.calls) SendCall(call);
  for (JobWaiters::Waiter& waiter : outbox.expired) {
    AnswerFailed(std::move(waiter), false, "the log did not answer in time");
  }
  for (JobWaiters::Waiter& waiter : outbox.urgent) {
    urgent_->Submit(waiter.job, std::move(waiter.callback));
  }
  if (outbox.check_retention || outbox.check_epoch) {
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
          self->CallDone(call, report, refusal, error);
        }
      });
}

void JobManager::Impl::CallDone(const WorkerCall& call,
                                const std::optional<WorkerReport>& report,
                                WorkerRefusal refusal, const Error& error) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!coordinator_ || coordinator_->epoch() != call.token.epoch) return;
    const Time now = Clock::now();
    coordinator_->CallDone(call, report, refusal, error.ToString(), now);
    decision_time_.Observe(Clock::now() - now);
  }
  SchedulePump();
}

void JobManager::Impl::AppendPlanned(const JobStreamRecord& record) {
  if (std::holds_alternative<PlacedRecord>(record)) placements_.Add();
  writer_.Append(NewRecordId(), EncodeJobRecord(record),
                 Clock::now() + settings_.append_patience,
                 [weak = weak_from_this()](AppendState state, int64_t,
                                           const Error& error) {
                   if (state == AppendState::kAppended) return;
                   LogEvent(events::kJobRecordLost, error);
                   if (const auto self = weak.lock()) self->records_lost_.Add();
                 });
}

// Reads nothing but the offsets of the stream.
void JobManager::Impl::ReadOffsets(bool check_retention, int64_t next_offset) {
  log_.Read(settings_.stream, next_offset, 1, Duration::zero(), kOffsetReadTime,
            [weak = weak_from_this(), check_retention](
                const std::optional<LogReadResult>& result, const Error&) {
              if (const auto self = weak.lock()) {
                self->OffsetsRead(check_retention, result);
              }
            });
}

void JobManager::Impl::OffsetsRead(bool check_retention,
                                   const std::optional<LogReadResult>& result) {
  auto parts = std::make_shared<std::vector<SnapshotPartRecord>>();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (verifying_ && !verify_offset_) {
      verify_offset_ = result ? result->next_offset : 0;
    }
    const bool may_snapshot = check_retention && result && coordinator_ &&
                              coordinator_->planning() && !snapshot_under_way_;
    const Time now = Clock::now();
    if (may_snapshot &&
        snapshots_.Due(result->first_offset, result->next_offset,
                       fold_.newest_snapshot_end(), now)) {
      *parts =
          fold_.MakeSnapshot(NewRecordId(), settings_.snapshot_jobs_per_part);
      snapshot_under_way_ = !parts->empty();
      snapshots_.Appended(now);
    }
  }
  if (!parts->empty()) AppendSnapshot(parts, 0);
  SchedulePump();
}

// One part after the other, so that a snapshot never makes one huge batch.
void JobManager::Impl::AppendSnapshot(
    const std::shared_ptr<std::vector<SnapshotPartRecord>>& parts,
    size_t next) {
  if (next == parts->size()) {
    LogEvent(events::kJobSnapshotAppended,
             {{"covers", parts->front().covers}, {"parts", parts->size()}});
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot_under_way_ = false;
    return;
  }
  writer_.Append(NewRecordId(), EncodeJobRecord((*parts)[next]),
                 Clock::now() + kSnapshotAppendTime,
                 [weak = weak_from_this(), parts, next](AppendState state,
                                                        int64_t, const Error&) {
                   const auto self = weak.lock();
                   if (!self) return;
                   if (state == AppendState::kAppended) {
                     self->AppendSnapshot(parts, next + 1);
                     return;
                   }
                   const std::lock_guard<std::mutex> lock(self->mutex_);
                   self->snapshot_under_way_ = false;
                 });
}

}  // namespace thornplank
