// Evidence from the ends of runs, and the log of verdicts.
#include "coordination/health_monitor.h"

#include <algorithm>
#include <optional>
#include <utility>
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
// At most one in this many workers of a service is excluded, so that guaranteed
// work finds room whatever fails. 22% fail or hang on the worst days.
constexpr int kExcludedPart = 3;
// A worker that reports later is judged anew.
constexpr std::chrono::seconds kRestoredLifetime{60};

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

// A record keeps milliseconds.
bool IsSame(const std::optional<WallTime>& a,
            const std::optional<WallTime>& b) {
  // Without a start time a restart in between would not be noticed.
  return a && b && ToUnixMilliseconds(*a) == ToUnixMilliseconds(*b);
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
  workers_.clear();
  for (const auto& [id, tracker] : trackers_) {
    ++workers_[tracker.registration().service];
  }
}

void HealthMonitor::ChooseCompared(Time now) {
  for (const std::string& service : std::set<std::string>(compared_)) {
    if (workers_.count(service) == 0) compared_.erase(service);
  }
  for (const auto& [service, count] : workers_) {
    const bool compared = IsCompared(service);
    const bool wanted = count >= (compared ? kKeptWorkers : kMinWorkers);
    if (wanted != compared) SetCompared(service, wanted, count, now);
  }
}

bool HealthMonitor::MayExclude(const std::string& service, Time now) const {
  return IsCompared(service) ? MayExcludeCompared(service, now)
                             : MayQuarantine(service, now);
}

bool HealthMonitor::MayQuarantine(const std::string& service, Time now) const {
  int workers = 0;
  int excluded = 0;
  for (const auto& [id, tracker] : trackers_) {
    if (tracker.registration().service != service) continue;
    if (!tracker.reachable() || tracker.missing()) continue;
    ++workers;
    excluded += tracker.health().IsExcluded(now) ? 1 : 0;
  }
  return excluded < workers / kExcludedPart;
}

bool HealthMonitor::MayExcludeCompared(const std::string& service,
                                       Time now) const {
  int excluded = 0;
  for (const auto& [worker, verdict] : verdicts_) {
    const auto tracker = trackers_.find(worker);
    if (tracker == trackers_.end()) continue;
    if (tracker->second.registration().service != service) continue;
    excluded += tracker->second.health().IsExcluded(now) ? 1 : 0;
  }
  const auto known = workers_.find(service);
  const int workers = known == workers_.end() ? 0 : known->second;
  return excluded < workers / kExcludedPart;
}

void HealthMonitor::SetCompared(const std::string& service, bool compared,
                                int workers, Time now) {
  if (compared) {
    compared_.insert(service);
  } else {
    compared_.erase(service);
  }
  for (auto& [id, tracker] : trackers_) {
    if (tracker.registration().service != service) continue;
    tracker.health().set_compared(compared);
    LogIfChanged(id, "workers are compared from now on, or no longer", now);
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
    health.set_may_be_excluded(
        MayExclude(tracker->registration().service, now));
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
  if (!workers_.empty() && now - last_count_ < kCountInterval) return;
  last_count_ = now;
  CountWorkers();
  if (mode_ == FeatureMode::kAuto) ChooseCompared(now);
  if (now - restored_at_ > kRestoredLifetime) restored_.clear();
  fleet_.DropStale(now);
}

void HealthMonitor::Restore(std::vector<HealthEntry> entries, Time now) {
  if (mode_ == FeatureMode::kOff) return;
  restored_at_ = now;
  for (HealthEntry& entry : entries) {
    std::string worker = entry.worker;
    restored_.insert_or_assign(std::move(worker), std::move(entry));
  }
}

void HealthMonitor::OnFirstReport(const std::string& worker, Time now) {
  const auto restored = restored_.find(worker);
  if (restored == restored_.end()) return;
  const HealthEntry entry = std::move(restored->second);
  restored_.erase(restored);
  WorkerTracker* tracker = Find(worker);
  if (tracker == nullptr) return;
  if (!IsSame(tracker->incarnation_start(), entry.incarnation_start)) return;
  tracker->health().Restore(entry.state, now);
  LogIfChanged(worker, "by the record of the previous leader", now);
}

std::vector<HealthEntry> HealthMonitor::UnhealthyWorkers(Time now) const {
  std::vector<HealthEntry> unhealthy;
  for (const auto& [worker, verdict] : verdicts_) {
    const auto tracker = trackers_.find(worker);
    if (tracker == trackers_.end()) continue;
    HealthState state = tracker->second.health().state(now);
    if (state.verdict == HealthVerdict::kHealthy) continue;
    unhealthy.push_back(
        {worker, tracker->second.incarnation_start(), std::move(state)});
  }
  for (const auto& [worker, entry] : restored_) {
    unhealthy.push_back(entry);
  }
  return unhealthy;
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
