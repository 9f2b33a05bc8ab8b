// Counts failures that no later success has refuted.
#include "workload/worker_health.h"

#include <algorithm>

namespace thornplank {
namespace {

constexpr std::chrono::seconds kHalfLife{10};
// After three half-lives an incident has an eighth of its weight and is
// dropped: a worker that gets no test, since none waits, is healthy again.
constexpr std::chrono::seconds kIncidentLifetime = kHalfLife * 3;
// Longer than most periods of failure.
constexpr std::chrono::seconds kShortestExclusion{6};
constexpr std::chrono::seconds kLongestExclusion{30};
// The exclusion after this many exceeds the longest one.
constexpr int kMaxExclusions = 3;

Duration LengthOfExclusion(int exclusions) {
  const Duration length = kShortestExclusion * (1 << exclusions);
  return std::min<Duration>(length, kLongestExclusion);
}

}  // namespace

std::string_view ToText(HealthVerdict verdict) {
  switch (verdict) {
    case HealthVerdict::kHealthy:
      return "healthy";
    case HealthVerdict::kProbation:
      return "probation";
    case HealthVerdict::kExcluded:
      return "excluded";
  }
  return "unknown";
}

WorkerHealth::WorkerHealth()
    : done_(kHalfLife), failed_(kHalfLife), stalled_(kHalfLife) {}

void WorkerHealth::OnRunFailed(const RunEvidence& run, Time now) {
  trust_.OnRunFailed(run.job, now);
  failed_.Add(1, now);
  Record(run, /*stalled=*/false, now);
}

void WorkerHealth::OnRunStalled(const RunEvidence& run, Time now) {
  trust_.OnRunStalled(now);
  stalled_.Add(1, now);
  Record(run, /*stalled=*/true, now);
}

// Runs of one job may fail for the same reason, so a job counts once. Only a
// test counts in any case: it was placed to find out.
void WorkerHealth::Record(const RunEvidence& run, bool stalled, Time now) {
  DropOld(now);
  const HealthVerdict before = verdict(now);
  // Only runs placed after this one can refute it. That is unknown for a run of
  // a previous leader.
  const Time placed = run.placed == Time{} ? now : run.placed;
  const bool is_test = before == HealthVerdict::kProbation &&
                       run.placed != Time{} && run.placed >= probation_since_;
  Incident* known = FindIncidentOf(run.job);
  if (known != nullptr && !is_test) {
    known->placed = std::max(known->placed, placed);
    known->seen = now;
    known->stalled = known->stalled || stalled;
    return;
  }
  incidents_.push_back({run.job, placed, now, stalled});
  if (before == HealthVerdict::kExcluded) return;
  const bool failed_on_probation =
      before == HealthVerdict::kProbation && (is_test || stalled);
  const bool too_many =
      static_cast<int>(incidents_.size()) >= failures_to_exclude_;
  const bool condemned = failed_on_probation || too_many;
  if (condemned && may_be_excluded_) return Exclude(now);
  if (before == HealthVerdict::kHealthy) probation_since_ = now;
}

void WorkerHealth::Exclude(Time now) {
  excluded_until_ = now + LengthOfExclusion(exclusions_);
  probation_since_ = excluded_until_;
  exclusions_ = std::min(exclusions_ + 1, kMaxExclusions);
}

bool WorkerHealth::OnRunDone(const RunEvidence& run, Time now) {
  trust_.OnRunDone(run.began);
  done_.Add(1, now);
  // Whether it was placed before the failed runs is unknown.
  if (run.placed == Time{}) return false;
  const size_t before = incidents_.size();
  const bool stalled =
      std::any_of(incidents_.begin(), incidents_.end(),
                  [](const Incident& incident) { return incident.stalled; });
  incidents_.erase(std::remove_if(incidents_.begin(), incidents_.end(),
                                  [&run](const Incident& incident) {
                                    return incident.placed < run.placed;
                                  }),
                   incidents_.end());
  if (!incidents_.empty()) return false;
  exclusions_ = std::max(exclusions_ - 1, 0);
  return before == 1 && !stalled;
}

void WorkerHealth::OnRestart() {
  trust_.OnRestart();
  incidents_.clear();
  probation_since_ = Time{};
  excluded_until_ = Time{};
  exclusions_ = 0;
}

void WorkerHealth::Exonerate(const std::string& job, Time now) {
  const size_t before = incidents_.size();
  incidents_.erase(std::remove_if(incidents_.begin(), incidents_.end(),
                                  [&job](const Incident& incident) {
                                    return incident.job == job;
                                  }),
                   incidents_.end());
  const bool has_enough =
      static_cast<int>(incidents_.size()) >= failures_to_exclude_;
  if (incidents_.size() == before || has_enough) return;
  if (now >= excluded_until_) return;
  excluded_until_ = now;
  probation_since_ = now;
  exclusions_ = std::max(exclusions_ - 1, 0);
}

void WorkerHealth::Restore(const HealthState& state, Time now) {
  if (state.verdict == HealthVerdict::kHealthy) return;
  incidents_ = {{"", now, now, false}};
  // A single failure must be enough for probation.
  incidents_.back().stalled = true;
  probation_since_ = std::max(now, state.excluded_until);
  excluded_until_ = state.excluded_until;
  exclusions_ = std::clamp(state.exclusions, 0, kMaxExclusions);
}

// The time of an exclusion does not count: afterwards comes a test.
bool WorkerHealth::IsTooOld(const Incident& incident, Time now) const {
  return now - std::max(incident.seen, excluded_until_) > kIncidentLifetime;
}

void WorkerHealth::DropOld(Time now) {
  incidents_.erase(std::remove_if(incidents_.begin(), incidents_.end(),
                                  [this, now](const Incident& incident) {
                                    return IsTooOld(incident, now);
                                  }),
                   incidents_.end());
}

HealthVerdict WorkerHealth::verdict(Time now) const {
  if (now < excluded_until_) return HealthVerdict::kExcluded;
  int count = 0;
  for (const Incident& incident : incidents_) {
    if (IsTooOld(incident, now)) continue;
    // A stall, or what remains after an exclusion, is enough alone.
    const bool is_enough = incident.stalled || incident.seen <= excluded_until_;
    if (is_enough) return HealthVerdict::kProbation;
    ++count;
  }
  const bool suspicious = count > 0 && count >= failures_to_exclude_ - 1;
  return suspicious ? HealthVerdict::kProbation : HealthVerdict::kHealthy;
}

bool WorkerHealth::IsExcluded(Time now) const {
  return compared_ ? now < excluded_until_ : trust_.IsQuarantined(now);
}

bool WorkerHealth::IsSuspect(Time now) const {
  return compared_ ? verdict(now) != HealthVerdict::kHealthy : trust_.suspect();
}

bool WorkerHealth::HasFailureOf(const std::string& job) const {
  return std::any_of(
      incidents_.begin(), incidents_.end(),
      [&job](const Incident& incident) { return incident.job == job; });
}

WorkerHealth::Incident* WorkerHealth::FindIncidentOf(const std::string& job) {
  const auto found = std::find_if(
      incidents_.begin(), incidents_.end(),
      [&job](const Incident& incident) { return incident.job == job; });
  return found == incidents_.end() ? nullptr : &*found;
}

HealthState WorkerHealth::state(Time now) const {
  const HealthVerdict current = verdict(now);
  const bool excluded = current == HealthVerdict::kExcluded;
  return {current, excluded ? excluded_until_ : Time{}, exclusions_};
}

Time WorkerHealth::last_evidence() const {
  Time last = excluded_until_;
  for (const Incident& incident : incidents_) {
    last = std::max(last, incident.seen);
  }
  return last;
}

}  // namespace thornplank
