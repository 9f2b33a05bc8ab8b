// Keeps the begin of each wait that can become an obligation.
#include "workload/obligation.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

bool IsDue(const std::optional<Time>& since, Time now) {
  return since && now - *since >= kMaxPreferenceWait;
}

// Begins the wait, continues it, or ends it.
void Update(bool waits, Time now, std::optional<Time>* since) {
  if (!waits) {
    since->reset();
  } else if (!*since) {
    *since = now;
  }
}

}  // namespace

std::string_view ToText(Preference preference) {
  switch (preference) {
    case Preference::kIsolation:
      return "an empty worker for a task that crashed one";
    case Preference::kTrustedWorkers:
      return "trusted workers for a task that failed";
    case Preference::kProbation:
      return "workers on probation";
    case Preference::kGangDemand:
      return "the demand of waiting gangs";
    case Preference::kHeldCapacity:
      return "capacity held for gangs";
    case Preference::kUrgentHeadroom:
      return "empty workers for urgent steps";
    case Preference::kOneRack:
      return "one rack for a gang";
    case Preference::kDataRack:
      return "the rack of its data";
  }
  return "unknown";
}

std::string_view ToText(Obligation obligation) {
  switch (obligation) {
    case Obligation::kLastingTask:
      return "a task that lasts";
    case Obligation::kIdleJob:
      return "a job with nothing running";
    case Obligation::kGuaranteed:
      return "guaranteed work";
  }
  return "unknown";
}

void OwedStarts::Observe(const std::vector<ReadyStep>& steps, Time now) {
  // Steps of one job are mostly next to each other.
  const Job* job = nullptr;
  bool job_is_active = false;
  for (const ReadyStep& step : steps) {
    if (step.job != job) job_is_active = step.job_is_active();
    job = step.job;
    const bool lasts = step.spec->long_running;
    if (job_is_active && !lasts && !step.guaranteed) continue;
    Wait& wait = waits_[step.ref];
    wait.seen = now;
    Update(!job_is_active, now, &wait.idle_since);
    Update(step.guaranteed, now, &wait.guaranteed_since);
    if (lasts) ObserveTasks(step, now, &wait);
  }
  for (auto it = waits_.begin(); it != waits_.end();) {
    it = it->second.seen == now ? std::next(it) : waits_.erase(it);
  }
}

void OwedStarts::ObserveTasks(const ReadyStep& step, Time now, Wait* wait) {
  std::map<int, Time> away_since;
  for (const int task : step.waiting) {
    const auto known = wait->away_since.find(task);
    away_since[task] = known == wait->away_since.end() ? now : known->second;
  }
  wait->away_since = std::move(away_since);
}

std::optional<OwedStart> OwedStarts::Find(const ReadyStep& step,
                                          double used_share, Time now) const {
  const auto it = waits_.find(step.ref);
  if (it == waits_.end() || step.waiting.empty()) return std::nullopt;
  const Wait& wait = it->second;
  if (step.guaranteed && IsDue(wait.guaranteed_since, now)) {
    return OwedStart{Obligation::kGuaranteed, *wait.guaranteed_since,
                     step.waiting};
  }
  if (step.spec->long_running) {
    std::optional<OwedStart> lasting = FindLasting(step, wait, now);
    if (lasting) return lasting;
  }
  if (!IsDue(wait.idle_since, now) || used_share >= kOwedBelowUsedShare) {
    return std::nullopt;
  }
  OwedStart owed{Obligation::kIdleJob, *wait.idle_since, step.waiting};
  if (!step.spec->gang) owed.tasks.resize(1);
  return owed;
}

std::optional<OwedStart> OwedStarts::FindLasting(const ReadyStep& step,
                                                 const Wait& wait, Time now) {
  OwedStart owed;
  owed.obligation = Obligation::kLastingTask;
  owed.since = now;
  for (const int task : step.waiting) {
    const auto since = wait.away_since.find(task);
    if (since == wait.away_since.end()) continue;
    owed.since = std::min(owed.since, since->second);
    if (IsDue(since->second, now)) owed.tasks.push_back(task);
  }
  if (owed.tasks.empty()) return std::nullopt;
  // A gang starts as a whole or not at all.
  if (step.spec->gang) owed.tasks = step.waiting;
  return owed;
}

}  // namespace thornplank
