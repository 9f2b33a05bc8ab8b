// Members of a gang against each other.
#include "workload/gang_review.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr int kWholeWork = 100;
// A gang is moved when it would end this many times sooner elsewhere, the stops
// and the starts included.
constexpr int kMoveGain = 2;

// All members are known to run, and none is told to stop.
bool IsAtWork(const TrackedRun& run) {
  return run.stage == RunStage::kRunning && !run.stop_wanted;
}

}  // namespace

std::vector<GangVerdict> GangReview::FindRunsToStop(
    const std::map<std::string, WorkerTracker>& workers,
    const SpeedEstimator& speeds, Time now) const {
  std::map<StepRef, Gang> gangs;
  for (const auto& [id, worker] : workers) {
    for (const auto& [task, run] : worker.runs()) {
      if (!run.profile.gang || run.profile.long_running) continue;
      gangs[task.step].push_back({&worker, &run});
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
  const Duration sound = speeds.NormalDuration(gang.front().run->task.step);
  // It ends with its slowest member. Not known yet: it may end in time.
  Duration left = Duration::zero();
  for (const Member& member : gang) {
    const Duration own = member.run->remaining(now);
    if (own != Duration::max()) left = std::max(left, own);
  }
  for (const Member& member : gang) {
    if (EndsWithWorker(member, left, now)) return "worker leaves";
    if (sound == Duration::zero()) continue;
    if (StandsStill(member, sound)) {
      *stalled = &member;
      return "makes no progress";
    }
    if (IsSlowForGood(member, sound, now)) return "slow worker";
  }
  return "";
}

bool GangReview::EndsWithWorker(const Member& member, Duration left,
                                Time now) const {
  const std::optional<Time> earliest_departure =
      member.worker->earliest_departure();
  if (!earliest_departure) return false;
  if (!member.run->profile.checkpointable) {
    return now + left > *earliest_departure + settings_.late_leave;
  }
  // What it does until then is saved, and its room is nobody else's.
  const Time last_stop = *earliest_departure - settings_.bounds.move_cost();
  return now >= last_stop && now + left > *earliest_departure;
}

bool GangReview::StandsStill(const Member& member, Duration sound) const {
  const TrackedRun& run = *member.run;
  if (run.percent >= kWholeWork) return false;
  const auto share = std::chrono::duration_cast<Duration>(
      sound * settings_.stall_share / member.worker->steady_speed());
  const Duration bound = std::max<Duration>(share, settings_.least_stall);
  return run.reported - run.progressed > bound;
}

bool GangReview::IsSlowForGood(const Member& member, Duration sound,
                               Time now) const {
  const std::optional<Time> since = member.worker->slow_since();
  if (!since || now - *since < settings_.spell) return false;
  const Duration left = member.run->remaining(now);
  if (left == Duration::max()) return false;
  Duration elsewhere = sound;
  if (member.run->profile.checkpointable) {
    elsewhere = sound * (kWholeWork - member.run->percent) / kWholeWork;
  }
  return left > elsewhere * kMoveGain + settings_.bounds.move_cost();
}

}  // namespace thornplank
