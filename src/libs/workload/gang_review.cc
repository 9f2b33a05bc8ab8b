// Compares the members of a gang with each other.
#include "workload/gang_review.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr int kDonePercent = 100;
// A gang is moved when it would end this many times sooner elsewhere, the stops
// and starts included.
constexpr int kMinSpeedup = 2;

// Whether the member is known to run and is not being stopped.
bool IsAtWork(const TrackedRun& run) {
  return run.stage == RunStage::kRunning && !run.stop_wanted;
}

}  // namespace

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
    const Member* stalled = nullptr;
    const std::string reason = ReasonToStop(gang, speeds, now, &stalled);
    if (reason.empty()) continue;
    for (const Member& member : gang) {
      verdicts.push_back({member.worker->id(), member.run->task,
                          member.run->run, reason, &member == stalled});
    }
  }
  return verdicts;
}

std::string GangReview::ReasonToStop(const Gang& gang,
                                     const SpeedEstimator& speeds, Time now,
                                     const Member** stalled) const {
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
  for (const Member& member : gang) {
    if (WorkerLeavesBefore(member, left, now)) return "worker leaves";
    if (normal == Duration::zero()) continue;
    if (IsStalled(member, normal)) {
      *stalled = &member;
      return "makes no progress";
    }
    if (IsPersistentlySlow(member, normal, now)) return "slow worker";
  }
  return "";
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
