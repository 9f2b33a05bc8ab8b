// Evidence from the ends of runs, and the log of verdicts.
#include "coordination/health_monitor.h"

#include <algorithm>
#include <vector>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// With fewer workers of a service there is no fleet to compare with.
constexpr int kMinWorkers = 20;
// Once compared, workers are compared until there are fewer than this, so that
// a few restarts do not change the rules.
constexpr int kKeptWorkers = 15;
constexpr std::chrono::seconds kCountInterval{1};

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

}  // namespace

HealthMonitor::HealthMonitor(FeatureMode mode, Trackers& trackers)
    : mode_(mode), trackers_(trackers) {}

WorkerTracker* HealthMonitor::Find(const std::string& worker) {
  const auto it = trackers_.find(worker);
  return it == trackers_.end() ? nullptr : &it->second;
}

bool HealthMonitor::IsCompared(const std::string& service) const {
  if (mode_ != FeatureMode::kAuto) return mode_ == FeatureMode::kOn;
  return compared_.count(service) > 0;
}

void HealthMonitor::OnWorkerSeen(WorkerTracker* worker) const {
  worker->health().set_compared(IsCompared(worker->registration().service));
}

void HealthMonitor::CountWorkers() {
  std::map<std::string, int> workers;
  for (const auto& [id, tracker] : trackers_) {
    ++workers[tracker.registration().service];
  }
  for (const std::string& service : std::set<std::string>(compared_)) {
    if (workers.count(service) == 0) compared_.erase(service);
  }
  for (const auto& [service, count] : workers) {
    const bool compared = IsCompared(service);
    const bool wanted = count >= (compared ? kKeptWorkers : kMinWorkers);
    if (wanted != compared) SetCompared(service, wanted, count);
  }
}

void HealthMonitor::SetCompared(const std::string& service, bool compared,
                                int workers) {
  if (compared) {
    compared_.insert(service);
  } else {
    compared_.erase(service);
  }
  for (auto& [id, tracker] : trackers_) {
    if (tracker.registration().service != service) continue;
    tracker.health().set_compared(compared);
  }
  LogEvent(events::kFeatureChanged,
           {{"feature", "worker_health"},
            {"active", compared},
            {"reason", std::to_string(workers) + " workers of service " +
                           service + " are known"}});
}

void HealthMonitor::OnRunPlaced(const std::string& worker, const TaskRef& task,
                                Time now) {
  if (mode_ == FeatureMode::kOff) return;
  fleet_.OnRunPlaced(task.step.job, worker, now);
}

void HealthMonitor::OnRunEnded(const std::string& worker,
                               const RunEndReport& end, Time now) {
  const std::string& job = end.task.step.job;
  const RunEvidence run{job, end.began, end.placed};
  if (end.end == RunEnd::kFailed) {
    return RecordFailure(worker, run, /*stalled=*/false, now);
  }
  if (end.end != RunEnd::kDone) return fleet_.OnRunInterrupted(job, worker);
  if (mode_ != FeatureMode::kOff) fleet_.OnRunDone(job, worker, now);
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  if (tracker->health().OnRunDone(run, now)) fleet_.OnChanceFailure(now);
  LogIfChanged(worker, "a later run succeeded", now);
}

void HealthMonitor::OnStartRefused(const std::string& worker,
                                   const TaskRef& task, Time now) {
  RecordFailure(worker, EvidenceOf(worker, task), /*stalled=*/false, now);
}

void HealthMonitor::OnRunStalled(const std::string& worker, const TaskRef& task,
                                 Time now) {
  RecordFailure(worker, EvidenceOf(worker, task), /*stalled=*/true, now);
}

RunEvidence HealthMonitor::EvidenceOf(const std::string& worker,
                                      const TaskRef& task) {
  RunEvidence evidence;
  evidence.job = task.step.job;
  WorkerTracker* tracker = Find(worker);
  const TrackedRun* run = tracker == nullptr ? nullptr : tracker->Find(task);
  if (run == nullptr) return evidence;
  evidence.began = run->began;
  evidence.placed = run->placed;
  return evidence;
}

void HealthMonitor::RecordFailure(const std::string& worker,
                                  const RunEvidence& run, bool stalled,
                                  Time now) {
  if (WorkerTracker* tracker = Find(worker)) {
    WorkerHealth& health = tracker->health();
    health.set_failures_to_exclude(fleet_.FailuresToExclude(now));
    if (stalled) {
      health.OnRunStalled(run, now);
    } else {
      health.OnRunFailed(run, now);
    }
  }
  if (mode_ == FeatureMode::kOff) return;
  const std::vector<std::string> blamed =
      fleet_.OnRunFailed(run.job, worker, now);
  for (const std::string& id : blamed) {
    WorkerTracker* tracker = Find(id);
    if (tracker == nullptr) continue;
    tracker->health().Exonerate(run.job, now);
    LogIfChanged(id, "the job fails everywhere", now);
  }
  LogIfChanged(worker, stalled ? "a run made no progress" : "a run failed",
               now);
}

void HealthMonitor::OnRestart(const std::string& worker, Time now) {
  LogIfChanged(worker, "it has restarted", now);
}

void HealthMonitor::Tick(Time now) {
  const std::map<std::string, HealthVerdict> known = verdicts_;
  for (const auto& [worker, verdict] : known) {
    LogIfChanged(worker, "its time has passed", now);
  }
  if (now - last_count_ < kCountInterval) return;
  last_count_ = now;
  if (mode_ == FeatureMode::kAuto) CountWorkers();
  fleet_.DropStale(now);
}

void HealthMonitor::LogIfChanged(const std::string& worker,
                                 const std::string& reason, Time now) {
  const WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return Forget(worker);
  const WorkerHealth& health = tracker->health();
  const HealthVerdict verdict =
      health.compared() ? health.verdict(now) : HealthVerdict::kHealthy;
  const auto last = verdicts_.find(worker);
  const HealthVerdict before =
      last == verdicts_.end() ? HealthVerdict::kHealthy : last->second;
  if (verdict == before) return;
  if (verdict == HealthVerdict::kHealthy) {
    verdicts_.erase(worker);
  } else {
    verdicts_[worker] = verdict;
  }
  const Time last_evidence = health.last_evidence();
  const Duration age = last_evidence == Time{}
                           ? Duration::zero()
                           : std::max(now - last_evidence, Duration::zero());
  const Duration left =
      std::max(health.excluded_until() - now, Duration::zero());
  LogEvent(events::kWorkerVerdict, {{"worker", worker},
                                    {"verdict", std::string(ToText(verdict))},
                                    {"reason", reason},
                                    {"done", health.done(now)},
                                    {"failed", health.failed(now)},
                                    {"stalled", health.stalled(now)},
                                    {"evidence_age_ms", ToMilliseconds(age)},
                                    {"until_ms", ToMilliseconds(left)}});
}

}  // namespace thornplank
