// What a new leader takes over from what its predecessors have stored.
#include <string>
#include <utility>
#include <vector>

#include "coordination/cluster_coordinator.h"
#include "coordination/progress_records.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

constexpr Milliseconds kStoreRetry{120};

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

// The board keeps the progress that it reads, so that a new leader only reads
// what it has not seen yet: reading all of it again would take as many calls as
// there are pages, each of them slow where the store is.
void ClusterCoordinator::LoadProgress() {
  dependencies_.refresh_board(
      settings_.store_timeout, [this, generation = generation_,
                                current = *generation_](bool is_current) {
        if (*generation != current || phase_ != Phase::kLoading) return;
        if (is_current) return OnProgressLoaded();
        release_timer_.expires_after(kStoreRetry);
        release_timer_.async_wait(
            [this, alive = alive_](const boost::system::error_code& code) {
              if (code || !*alive) return;
              if (phase_ == Phase::kLoading) LoadProgress();
            });
      });
}

std::map<StepRef, ProgressBlocks> ClusterCoordinator::DecodeProgress() const {
  std::map<StepRef, ProgressBlocks> progress;
  for (const auto& [key, record] : dependencies_.board->progress()) {
    Error error;
    const auto ref = JobBoard::ParseProgressKey(key);
    auto block = DecodeBlock(*record.value, &error);
    if (!ref || !block) {
      LogEvent(events::kRecordUnreadable, error, {{"key", key}});
      continue;
    }
    progress[ref->step][ref->block] = std::move(*block);
  }
  return progress;
}

void ClusterCoordinator::OnProgressLoaded() {
  WorkerFleetSettings fleet;
  fleet.bounds = settings_.bounds;
  fleet.features = settings_.features;
  fleet.epoch = epoch_;
  fleet.store_returned = store_returned_;
  fleet_ = std::make_unique<WorkerFleet>(calls_, formats_, fleet,
                                         MakeFleetHandlers());
  fleet_->BeginSurvey();
  fleet_->AssumeLeases(InheritedLeaseBound(Now()));
  fleet_->CloseDomains(dependencies_.closed_domains());
  advice_ = std::make_unique<AdviceRequester>(dependencies_.advisor,
                                              [this] { SchedulePlanning(); });

  phase_ = Phase::kLeading;
  ledger_ = JobLedger(MaxCheckpointBytes(settings_.store_limits));
  planner_ = MakePlanner(settings_);
  gone_workers_ = GoneWorkers();
  overdue_starts_ = OverdueStarts();
  stored_blocks_.clear();
  stored_checkpoints_.clear();
  unstorable_jobs_.clear();
  started_jobs_.clear();
  published_ended_jobs_.clear();
  ended_jobs_.clear();
  unordered_submissions_.clear();
  for (const auto& [id, job] : dependencies_.board->jobs()) {
    SyncJobFromBoard(id);
  }
  LoadRenewalStops();
  const size_t departures = LoadDepartures();
  const size_t restored_steps = RestoreProgress();
  RestoreHealth(Now());
  LogEvent(events::kLeadershipAcquired,
           {{"epoch", epoch_},
            {"board_next", dependencies_.board_next_offset()},
            {"jobs", ledger_.jobs().size()},
            {"steps", restored_steps},
            {"renewal_stops", recorded_lease_ends_.size()},
            {"departures", departures}});
  WriteHeartbeat(/*released=*/false, nullptr);

  directory_->Attach(fleet_.get());
  StopOutdatedRuns();
  FlushProgress();
}

// Returns the number of steps that have made progress.
size_t ClusterCoordinator::RestoreProgress() {
  const std::map<StepRef, ProgressBlocks> loaded = DecodeProgress();
  const Time now = Now();
  for (const auto& [ref, blocks] : loaded) {
    for (const auto& [number, block] : blocks) {
      stored_blocks_.insert({ref, number});
    }
    // A job that has ended is still needed while some of its runs have not.
    const BoardJob* job = dependencies_.board->Find(ref.job);
    if (job == nullptr) continue;
    if (ledger_.Find(ref.job) == nullptr) ledger_.Add(*job->spec, now);
    if (!ledger_.Restore(ref, blocks)) {
      LogEvent(events::kRecordUnreadable,
               {"restore progress", "store", "number of tasks does not match"},
               {{"key", ref.ToString()}});
    }
    InheritRuns(ref, now);
  }
  for (const auto& [ref, blocks] : loaded) {
    const BoardJob* job = dependencies_.board->Find(ref.job);
    if (job == nullptr) continue;
    ledger_.AdoptState(ref.job, job->published_state);
    if (job->cancelled) ledger_.Cancel(ref.job);
    if (IsTerminal(job->published_state)) published_ended_jobs_.insert(ref.job);
  }
  RestoreCheckpoints();
  return loaded.size();
}

void ClusterCoordinator::RestoreCheckpoints() {
  for (const auto& [key, record] : dependencies_.board->checkpoints()) {
    const auto task = JobBoard::ParseCheckpointKey(key);
    if (!task) continue;
    stored_checkpoints_.insert(*task);
    ledger_.RestoreCheckpoint(*task, *record.value);
    const BoardJob* job = dependencies_.board->Find(task->step.job);
    if (job == nullptr || !IsTerminal(job->published_state)) continue;
    published_ended_jobs_.insert(task->step.job);
  }
}

// Without a record that can be read, all workers count as healthy.
void ClusterCoordinator::RestoreHealth(Time now) {
  std::vector<HealthEntry> entries;
  if (const auto& record = dependencies_.board->health()) {
    Error error;
    auto decoded = DecodeHealth(*record->value, now,
                                std::chrono::system_clock::now(), &error);
    if (!decoded) {
      LogEvent(events::kRecordUnreadable, error, {{"key", record->key}});
    }
    entries = std::move(decoded).value_or(std::vector<HealthEntry>());
  }
  health_schedule_.Begin(entries);
  fleet_->RestoreHealth(std::move(entries), now);
}

void ClusterCoordinator::InheritRuns(const StepRef& ref, Time now) {
  const StepProgress* progress = ledger_.FindStep(ref);
  if (progress == nullptr) return;
  for (size_t i = 0; i < progress->tasks.size(); ++i) {
    const TaskStatus& task = progress->tasks[i];
    if (task.phase != TaskPhase::kActive) continue;
    const TaskRef task_ref{ref, static_cast<int>(i)};
    fleet_->Inherit(task.worker, task_ref, task.run, ProfileOf(task_ref), now,
                    LeaseBoundOf(task.worker, now));
  }
}

void ClusterCoordinator::LoadRenewalStops() {
  recorded_lease_ends_.clear();
  const auto& record = dependencies_.board->renewal_stops();
  if (!record) return;
  Error error;
  const auto stops = DecodeRenewalStops(*record->value, &error);
  if (!stops) {
    LogEvent(events::kRecordUnreadable, error, {{"key", record->key}});
    return;
  }
  // A leader in between may have renewed leases that this record stops.
  if (stops->epoch + 1 != epoch_) return;
  for (const RenewalStop& stop : stops->stops) {
    recorded_lease_ends_[stop.worker] = renewal_stops_read_ + stop.lease_left;
  }
}

// An announcement holds for every later leader, whichever of them wrote it.
size_t ClusterCoordinator::LoadDepartures() {
  std::vector<DepartingWorker> departures;
  if (const auto& record = dependencies_.board->departures()) {
    Error error;
    auto decoded = DecodeDepartures(*record->value, &error);
    if (!decoded) {
      LogEvent(events::kRecordUnreadable, error, {{"key", record->key}});
    }
    departures = std::move(decoded).value_or(std::vector<DepartingWorker>());
  }
  fleet_->RestoreDepartures(departures);
  const size_t count = departures.size();
  departure_schedule_.Begin(std::move(departures));
  return count;
}

Time ClusterCoordinator::InheritedLeaseBound(Time now) const {
  return predecessor_.LastRenewal(epoch_, now) +
         WorkerTracker::MaxLeaseDuration(settings_.bounds.lease_term());
}

Time ClusterCoordinator::LeaseBoundOf(const std::string& worker,
                                      Time now) const {
  const Time bound = InheritedLeaseBound(now);
  const auto recorded = recorded_lease_ends_.find(worker);
  if (recorded == recorded_lease_ends_.end()) return bound;
  return std::min(bound, recorded->second);
}

}  // namespace thornplank
