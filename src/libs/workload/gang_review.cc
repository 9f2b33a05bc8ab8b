// Compares the members of a gang with each other.
#include "workload/gang_review.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr char kNoProgress[] = "makes no progress";
constexpr int kDonePercent = 100;
// A gang is moved when it would end this many times sooner elsewhere, the stops
// and starts included.
constexpr int kMinSpeedup = 2;

// Whether the member is known to run and is not being stopped.
bool IsAtWork(const TrackedRun& run) {
  return run.stage == RunStage::kRunning && !run.stop_wanted;
}

StallRuleSettings StallRuleSettingsFor(const GangReviewSettings& settings) {
  StallRuleSettings rule;
  rule.bounds = settings.bounds;
  rule.share = settings.stall_share;
  rule.min_time = settings.min_stall_time;
  return rule;
}

// The normal duration by the fastest member alone; zero if none has a rate.
template <typename Gang>
Duration DurationOfFastest(const Gang& gang) {
  double rate = 0;
  for (const auto& member : gang) rate = std::max(rate, member.run->rate());
  if (rate <= 0) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kDonePercent / rate));
}

}  // namespace

GangReview::GangReview(GangReviewSettings settings)
    : settings_(settings), stall_rule_(StallRuleSettingsFor(settings)) {}

std::vector<GangVerdict> GangReview::FindRunsToStop(
    const std::vector<const WorkerTracker*>& workers,
    const SpeedEstimator& speeds, Time now) const {
  std::map<StepRef, Gang> gangs;
  for (const WorkerTracker* worker : workers) {
    for (const auto& [task, run] : worker->runs()) {
      if (!run.profile.gang || run.profile.long_running) continue;
      gangs[task.step].push_back({worker, &run});
    }
  }
  std::vector<GangVerdict> verdicts;
  for (const auto& [step, gang] : gangs) {
    std::vector<const Member*> stalled;
    const std::string reason = ReasonToStop(gang, speeds, now, &stalled);
    if (reason.empty()) continue;
    for (const Member& member : gang) {
      const bool is_stalled =
          std::find(stalled.begin(), stalled.end(), &member) != stalled.end();
      verdicts.push_back({member.worker->id(), member.run->task,
                          member.run->run, reason, is_stalled});
    }
  }
  return verdicts;
}

std::string GangReview::ReasonToStop(
    const Gang& gang, const SpeedEstimator& speeds, Time now,
    std::vector<const Member*>* stalled) const {
  const bool at_work =
      std::all_of(gang.begin(), gang.end(),
                  [](const Member& member) { return IsAtWork(*member.run); });
  if (!at_work) return "";
  const Duration normal = speeds.NormalDuration(gang.front().run->task.step);
  // The gang ends with its slowest member. Members whose remaining time is
  // unknown are left out: they may end in time.
  Duration left = Duration::zero();
  for (const Member& member : gang) {
    const Duration own = member.run->remaining(now);
    if (own != Duration::max()) left = std::max(left, own);
  }
  const bool compared = gang.front().worker->health().compared();
  if (compared) *stalled = FindStalled(gang, normal);
  // If most members make no progress, the cause is not one of their workers.
  const bool stands_still = !stalled->empty();
  if (stalled->size() * 2 > gang.size()) stalled->clear();
  if (stands_still) return kNoProgress;
  for (const Member& member : gang) {
    if (WorkerLeavesBefore(member, left, now)) return "worker leaves";
    if (normal == Duration::zero()) continue;
    if (!compared && IsStalled(member, normal)) {
      *stalled = {&member};
      return kNoProgress;
    }
    if (IsPersistentlySlow(member, normal, now)) return "slow worker";
  }
  return "";
}

// A member that has shown no progress may have waited for those that began
// after it, so its time counts from the last of them.
std::vector<const GangReview::Member*> GangReview::FindStalled(
    const Gang& gang, Duration normal) const {
  if (normal == Duration::zero()) normal = DurationOfFastest(gang);
  std::vector<const Member*> stalled;
  if (normal == Duration::zero()) return stalled;
  Time complete{};
  for (const Member& member : gang) {
    complete = std::max(complete, member.run->began);
  }
  for (const Member& member : gang) {
    const Duration since_complete = member.run->last_report - complete;
    if (!stall_rule_.IsStalled(*member.worker, *member.run, normal)) continue;
    if (since_complete <=
        stall_rule_.Bound(*member.worker, *member.run, normal)) {
      continue;
    }
    stalled.push_back(&member);
  }
  return stalled;
}

bool GangReview::WorkerLeavesBefore(const Member& member, Duration left,
                                    Time now) const {
  const std::optional<Time> earliest_departure =
      member.worker->earliest_departure();
  if (!earliest_departure) return false;
  if (!member.run->profile.checkpointable) {
    return now + left > *earliest_departure + settings_.departure_grace;
  }
  // Work until then is saved by a checkpoint, and nobody else may use the room.
  const Time last_stop = *earliest_departure - settings_.bounds.move_cost();
  return now >= last_stop && now + left > *earliest_departure;
}

bool GangReview::IsStalled(const Member& member, Duration normal) const {
  const TrackedRun& run = *member.run;
  if (run.percent >= kDonePercent) return false;
  const auto share = std::chrono::duration_cast<Duration>(
      normal * settings_.stall_share / member.worker->steady_speed());
  const Duration bound = std::max<Duration>(share, settings_.min_stall_time);
  return run.last_report - run.last_progress > bound;
}

bool GangReview::IsPersistentlySlow(const Member& member, Duration normal,
                                    Time now) const {
  const std::optional<Time> slow_since = member.worker->slow_since();
  if (!slow_since || now - *slow_since < settings_.slow_period) return false;
  const Duration left = member.run->remaining(now);
  if (left == Duration::max()) return false;
  Duration elsewhere = normal;
  if (member.run->profile.checkpointable) {
    elsewhere = normal * (kDonePercent - member.run->percent) / kDonePercent;
  }
  return left > elsewhere * kMinSpeedup + settings_.bounds.move_cost();
}

}  // namespace thornplank
