// Records that the leader writes: progress, states of jobs, and the removal of
// what has expired. Starts are sent once they are recorded.
#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "coordination/cluster_coordinator.h"
#include "coordination/entry_registrar.h"
#include "coordination/progress_records.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Between two checks for records that have expired.
constexpr std::chrono::seconds kCleanupInterval{5};

// Bounds one line of the log.
constexpr size_t kMaxLoggedWorkers = 32;

Time Now() { return std::chrono::steady_clock::now(); }

Json ToJson(const std::vector<DepartingWorker>& departures) {
  Json workers = Json::array();
  for (const DepartingWorker& departure : departures) {
    if (workers.size() == kMaxLoggedWorkers) break;
    workers.push_back(departure.worker);
  }
  return workers;
}

KeyedRecord ToRecord(const std::vector<DepartingWorker>& departures) {
  if (departures.empty()) return JobBoard::Departures(std::nullopt);
  return JobBoard::Departures(EncodeDepartures(departures));
}

KeyedRecord ToRecord(const RenewalStopRecord& record) {
  if (record.stops.empty()) return JobBoard::RenewalStops(std::nullopt);
  return JobBoard::RenewalStops(EncodeRenewalStops(record));
}

}  // namespace

// Publishes the end of a job without waiting for the progress of its tasks to
// be stored. This is safe: once the end is on the board, a successor starts no
// task of the job, and workers keep the ends of its runs until they are
// recorded. It saves a call to the store, 0.25 s when that is slow, and the end
// of a job is not held up while only progress writes fail.
void ClusterCoordinator::PublishEndedJobs() {
  if (phase_ != Phase::kLeading) return;
  std::vector<std::string> ended;
  for (const std::string& id : ledger_.TakeChangedJobs()) {
    const Job* job = ledger_.Find(id);
    if (job == nullptr) continue;
    if (IsTerminal(job->state)) {
      started_jobs_.erase(id);
      ended.push_back(id);
    } else {
      started_jobs_.insert(id);
    }
  }
  if (!ended.empty()) PublishJobStates(ended);
}

void ClusterCoordinator::FlushProgress() {
  if (phase_ != Phase::kLeading) return;
  PublishEndedJobs();
  if (!progress_writer_->idle()) return;
  // Flushed by the next tick that finds a write due.
  if (!progress_write_limiter_.IsDue(!pending_starts_.empty(), Now())) return;
  std::vector<KeyedRecord> records;
  for (const ProgressBlockRef& ref : ledger_.TakeDirtyBlocks()) {
    std::optional<ProgressBlock> block = ledger_.FindBlock(ref);
    if (!block) continue;
    ProgressRecords progress = ToProgressRecords(
        ref, *std::move(block), *ledger_.FindStepSpec(ref.step),
        settings_.store_limits);
    std::move(progress.records.begin(), progress.records.end(),
              std::back_inserter(records));
    stored_blocks_.insert(ref);
    stored_checkpoints_.insert(progress.checkpoints.begin(),
                               progress.checkpoints.end());
  }
  const std::set<std::string> published = published_ended_jobs_;
  for (const std::string& job : published) {
    DropProgressRecords(job, &records);
  }
  const std::set<std::string> started_jobs = std::exchange(started_jobs_, {});
  std::vector<std::string> started(started_jobs.begin(), started_jobs.end());
  std::map<std::string, LatestEnd> ends = std::exchange(unrecorded_ends_, {});
  const Time now = Now();
  const bool store_answers = BootClock::now() - leadership_confirmed_ <
                             settings_.max_age_for_renewal_stops;
  if (store_answers) {
    if (auto stops = fleet_->TakeRenewalStops(now)) {
      records.push_back(ToRecord({epoch_, std::move(*stops)}));
    }
  }
  AddDeparturesIfDue(now, &records);
  if (records.empty()) return OnProgressStored(started, ends);
  progress_write_limiter_.OnRecorded(now);
  if (auto health =
          health_schedule_.TakeDue(fleet_->UnhealthyWorkers(now), now,
                                   std::chrono::system_clock::now())) {
    records.push_back(JobBoard::Health(std::move(*health)));
  }
  std::vector<PendingStart> starts = std::exchange(pending_starts_, {});
  progress_writer_->Write(std::move(records),
                          [this, started = std::move(started),
                           ends = std::move(ends), starts = std::move(starts),
                           generation = generation_, current = *generation_] {
                            if (*generation != current) return;
                            health_schedule_.OnStored();
                            fleet_->OnRenewalStopsStored();
                            departure_schedule_.OnStored();
                            OnProgressStored(started, ends);
                            OnStartsRecorded(starts);
                            SchedulePlanning();
                          });
}

// In the same append as the ends of runs: a worker is dropped from the record
// no sooner than the ends of its runs are stored.
void ClusterCoordinator::AddDeparturesIfDue(Time now,
                                            std::vector<KeyedRecord>* records) {
  const auto due = departure_schedule_.TakeDue(fleet_->DepartingWorkers(), now);
  if (!due) return;
  LogEvent(events::kDeparturesRecorded,
           {{"count", due->size()}, {"workers", ToJson(*due)}});
  records->push_back(ToRecord(*due));
}

void ClusterCoordinator::OnStartsRecorded(std::vector<PendingStart> starts) {
  for (StartGate::Group& group : StartGate::GroupsOf(std::move(starts))) {
    const Time decided = group.front().decided;
    std::set<std::string> unanswered;
    std::set<std::string> silent;
    for (const PendingStart& start : group) {
      if (!fleet_->IsReachable(start.worker)) silent.insert(start.worker);
      if (fleet_->HasAnswered(start.worker, decided)) continue;
      unanswered.insert(start.worker);
    }
    if (!silent.empty()) {
      RefuseStarts({{std::move(group), std::move(silent)}});
      continue;
    }
    if (unanswered.empty()) {
      SendStarts(group);
      continue;
    }
    start_gate_.Hold(std::move(group), std::move(unanswered),
                     decided + fleet_->ProbeTimeout());
  }
}

void ClusterCoordinator::SendStarts(const StartGate::Group& starts) {
  for (const PendingStart& start : starts) {
    const Job* job = ledger_.Find(start.task.step.job);
    if (job == nullptr) continue;
    if (unstorable_jobs_.count(start.task.step.job) > 0) {
      fleet_->WithholdStart(start.worker, start.task, start.run,
                            "its progress cannot be stored");
      continue;
    }
    fleet_->SendStart(start.worker, start.task, start.run,
                      {job->spec.payload, start.checkpoint, start.ticket});
  }
}

void ClusterCoordinator::RefuseStarts(
    const std::vector<StartGate::Refusal>& refusals) {
  const Time now = Now();
  for (const StartGate::Refusal& refusal : refusals) {
    for (const std::string& worker : refusal.silent_workers) {
      fleet_->OnProbeTimeout(worker, now);
    }
    for (const PendingStart& start : refusal.starts) {
      fleet_->WithholdStart(start.worker, start.task, start.run,
                            refusal.silent_workers.count(start.worker) > 0
                                ? "the worker does not answer"
                                : "the worker of another member is silent");
    }
  }
}

void ClusterCoordinator::OnProgressStored(
    const std::vector<std::string>& started,
    const std::map<std::string, LatestEnd>& ends) {
  for (const auto& [worker, latest] : ends) {
    fleet_->OnEndsRecorded(worker, latest.incarnation, latest.number);
  }
  // The end of a job that has ended meanwhile is already published.
  std::vector<std::string> running;
  for (const std::string& id : started) {
    const Job* job = ledger_.Find(id);
    if (job == nullptr || IsTerminal(job->state)) continue;
    running.push_back(id);
  }
  if (!running.empty()) PublishJobStates(running);
}

void ClusterCoordinator::PublishJobStates(
    const std::vector<std::string>& changed) {
  std::vector<KeyedRecord> records;
  std::vector<std::string> ended;
  const WallTime now = std::chrono::system_clock::now();
  for (const std::string& id : changed) {
    const Job* job = ledger_.Find(id);
    if (job == nullptr) continue;
    if (!job->failure.empty()) {
      records.push_back(JobBoard::Failure(id, job->failure));
    }
    records.push_back(JobBoard::State(id, job->state, now));
    if (IsTerminal(job->state)) {
      ended.push_back(id);
      metrics_.OnJobEnded(job->spec, job->state, now - job->spec.accepted);
    }
    LogEvent(events::kJobState, {{"job", id},
                                 {"state", std::string(ToText(job->state))},
                                 {"reason", job->failure}});
  }
  last_heartbeat_ = Now();
  records.push_back(JobBoard::Leader({settings_.holder, epoch_, released_}));
  const BootTime sent_at = BootClock::now();
  board_writer_->Write(
      std::move(records), [this, sent_at, ended = std::move(ended),
                           generation = generation_, current = *generation_] {
        if (*generation != current) return;
        leadership_confirmed_ = std::max(leadership_confirmed_, sent_at);
        published_ended_jobs_.insert(ended.begin(), ended.end());
      });
}

// Once the end of a job is published and none of its runs is left, the records
// of its steps are no longer needed.
void ClusterCoordinator::DropProgressRecords(
    const std::string& id, std::vector<KeyedRecord>* records) {
  const Job* job = ledger_.Find(id);
  if (job != nullptr) {
    for (const auto& steps : job->occurrences) {
      for (const StepProgress& progress : steps) {
        if (progress.active() > 0) return;
      }
    }
  }
  for (auto it = stored_blocks_.lower_bound({StepRef{id, 0, 0}, 0});
       it != stored_blocks_.end() && it->step.job == id;) {
    records->push_back(JobBoard::Progress(*it, std::nullopt));
    it = stored_blocks_.erase(it);
  }
  for (auto it = stored_checkpoints_.lower_bound({StepRef{id, 0, 0}, 0});
       it != stored_checkpoints_.end() && it->step.job == id;) {
    records->push_back(JobBoard::Checkpoint(*it, std::nullopt));
    it = stored_checkpoints_.erase(it);
  }
  unstorable_jobs_.erase(id);
  published_ended_jobs_.erase(id);
  ledger_.Remove(id);
  ended_jobs_.insert(id);
}

void ClusterCoordinator::DropExpiredRecords() {
  const Time now = Now();
  if (now - last_cleanup_ < kCleanupInterval) return;
  last_cleanup_ = now;
  const WallTime wall_now = std::chrono::system_clock::now();
  std::vector<KeyedRecord> records =
      dependencies_.board->TombstonesOfEarlyCancellations(wall_now);
  for (const auto& [id, job] : dependencies_.board->jobs()) {
    if (!IsTerminal(job.published_state)) continue;
    if (wall_now - job.published_at < settings_.job_retention) continue;
    for (KeyedRecord& record : JobBoard::Tombstones(id, job)) {
      records.push_back(std::move(record));
    }
  }
  for (const auto& [instance, entry] : dependencies_.board->entries()) {
    if (wall_now - entry.written < kEntryRecordTtl) continue;
    records.push_back(JobBoard::Entry(instance, std::nullopt));
  }
  if (!records.empty()) board_writer_->Write(std::move(records), nullptr);
}

}  // namespace thornplank
