// Ends of runs, and what they and signs of life say of lost workers, as the
// leader hears of them.
#include <algorithm>
#include <string>
#include <utility>

#include "coordination/cluster_coordinator.h"
#include "coordination/progress_records.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Bounds one line of the log.
constexpr size_t kMaxLoggedTasks = 32;

// Between two checks for lost workers that are gone.
constexpr std::chrono::seconds kLossReviewInterval{1};

Time Now() { return std::chrono::steady_clock::now(); }

const char* ToWord(const WorkerLoss& loss) {
  if (loss.crashed) return "crashed";
  if (loss.ended) return "ended";
  return loss.gone ? "gone" : "unproved";
}

// Rows of worker and the word for it.
Json ToJson(const std::vector<WorkerLoss>& losses) {
  Json rows = Json::array();
  for (const WorkerLoss& loss : losses) {
    rows.push_back(Json::array({loss.worker, ToWord(loss)}));
  }
  return rows;
}

}  // namespace

RunProfile ClusterCoordinator::ProfileOf(const TaskRef& task) const {
  RunProfile profile;
  const Job* job = ledger_.Find(task.step.job);
  const StepSpec* spec = ledger_.FindStepSpec(task.step);
  if (job == nullptr || spec == nullptr) {
    profile.need_known = false;
    return profile;
  }
  profile.need = spec->need;
  if (spec->is_filler) profile.need.cpu_millis = 0;
  profile.priority = job->spec.policy.priority;
  profile.checkpointable = spec->checkpointable;
  profile.gang = spec->gang;
  profile.long_running = spec->long_running;
  profile.is_filler = spec->is_filler;
  profile.estimate = spec->estimate;
  profile.tail_latency_target = spec->tail_latency_target;
  profile.account = job->spec.account;
  profile.data_rack = spec->data_rack;
  profile.on_probation = WorkersLostRunning(task) > 0;
  profile.job_accepted = job->spec.accepted;
  return profile;
}

void ClusterCoordinator::OnRunEnd(const std::string& worker,
                                  const RunEndReport& end) {
  const bool in_force = ledger_.RecordRunEnd(
      end.task, end.run, end.end, end.checkpoint, ToLostRun(worker, end));
  LogDroppedCheckpoints();
  std::optional<Duration> lasted;
  if (end.began != Time{}) lasted = Now() - end.began;
  // The ledger may have dropped the job already: the first end of a gang that
  // is done ends its job.
  if (end.kind) metrics_.OnRunEnded(*end.kind, end.end, lasted);
  const auto lasted_ms = std::chrono::duration_cast<Milliseconds>(
                             lasted.value_or(Duration::zero()))
                             .count();
  const auto kept_ms =
      std::chrono::duration_cast<Milliseconds>(end.saved_work).count();
  LogEvent(events::kRunEnded, {{"task", end.task.ToString()},
                               {"run", end.run},
                               {"worker", worker},
                               {"end", std::string(ToText(end.end))},
                               {"number", end.number},
                               {"lasted_ms", lasted_ms},
                               {"kept_ms", kept_ms},
                               {"in_force", in_force},
                               {"workers_lost", WorkersLostRunning(end.task)}});
  if (in_force) LogIfGivenUp(end.task);
  if (end.number > 0) {
    LatestEnd& latest = unrecorded_ends_[worker];
    if (end.incarnation != latest.incarnation) latest = {end.incarnation, 0};
    latest.number = std::max(latest.number, end.number);
  }
  SchedulePlanning();
}

void ClusterCoordinator::LogDroppedCheckpoints() {
  for (const DroppedCheckpoint& dropped : ledger_.TakeDroppedCheckpoints()) {
    LogEvent(events::kCheckpointDropped,
             {{"task", dropped.task.ToString()},
              {"run", dropped.run},
              {"bytes", dropped.bytes},
              {"limit", MaxCheckpointBytes(settings_.store_limits)}});
    metrics_.OnCheckpointDropped();
  }
}

// What the store does not know must not run: a successor would start it again.
void ClusterCoordinator::OnRecordRejected(const KeyedRecord& record) {
  const auto block = JobBoard::ParseProgressKey(record.key);
  if (!block) return;
  unstorable_jobs_.insert(block->step.job);
  ledger_.FailJob(block->step.job, "the progress of step " +
                                       block->step.ToString() +
                                       " is too large for the store");
  SchedulePlanning();
}

void ClusterCoordinator::LogIfGivenUp(const TaskRef& task) {
  const TaskStatus* status = ledger_.FindTask(task);
  if (status == nullptr || !status->crashes.ShouldGiveUp()) return;
  LogEvent(events::kTaskGivenUp, {{"job", task.step.job},
                                  {"task", task.ToString()},
                                  {"workers", ToJson(status->crashes.losses)},
                                  {"crashed", status->crashes.proved_crashes()},
                                  {"at_start", status->crashes.start_crashes}});
  metrics_.OnTaskGivenUp();
}

size_t ClusterCoordinator::WorkersLostRunning(const TaskRef& task) const {
  const TaskStatus* status = ledger_.FindTask(task);
  return status == nullptr ? 0 : status->crashes.losses.size();
}

// A silent worker that is seen again was cut off, or the way to it was: tasks
// that it was counted against may start again. A leader also learns in this way
// that workers are over whose loss its predecessors recorded.
void ClusterCoordinator::OnWorkerAlive(
    const std::string& worker,
    const std::optional<WallTime>& incarnation_start) {
  if (incarnation_start) {
    OnCrashRecordsChanged(
        ledger_.OnIncarnationSeen(worker, *incarnation_start));
  }
  const auto tracker = fleet_->trackers().find(worker);
  if (tracker != fleet_->trackers().end()) {
    OnCrashRecordsChanged(
        ledger_.OnWorkerAt(tracker->second.registration().address, worker));
  }
  const std::vector<TaskRef> cleared =
      ledger_.OnWorkerAlive(worker, incarnation_start);
  if (cleared.empty()) return;
  Json tasks = Json::array();
  for (const TaskRef& task : cleared) {
    if (tasks.size() == kMaxLoggedTasks) break;
    tasks.push_back(task.ToString());
  }
  LogEvent(events::kLossCleared, {{"worker", worker},
                                  {"count", cleared.size()},
                                  {"tasks", std::move(tasks)}});
  metrics_.OnLossesCleared(cleared.size());
  SchedulePlanning();
}

void ClusterCoordinator::OnWorkerEnded(
    const std::string& worker,
    const std::optional<WallTime>& incarnation_start) {
  OnCrashRecordsChanged(ledger_.OnWorkerEnded(worker, incarnation_start));
}

void ClusterCoordinator::ReviewLostWorkers(Time now) {
  if (now - last_loss_review_ < kLossReviewInterval) return;
  last_loss_review_ = now;
  const auto is_seen = [this](const std::string& worker) {
    const auto tracker = fleet_->trackers().find(worker);
    return tracker != fleet_->trackers().end() && !tracker->second.missing() &&
           tracker->second.reachable();
  };
  for (const std::string& worker :
       gone_workers_.TakeGone(ledger_.UnsettledWorkers(), is_seen, now,
                              settings_.bounds.gone_after())) {
    const std::vector<TaskRef> tasks = ledger_.OnWorkerGone(worker);
    LogEvent(events::kLostWorkerGone,
             {{"worker", worker}, {"count", tasks.size()}, {"epoch", epoch_}});
    OnCrashRecordsChanged(tasks);
  }
}

void ClusterCoordinator::OnCrashRecordsChanged(
    const std::vector<TaskRef>& tasks) {
  for (const TaskRef& task : tasks) LogIfGivenUp(task);
  if (!tasks.empty()) SchedulePlanning();
}

}  // namespace thornplank
