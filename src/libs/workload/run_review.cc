// Compares progress with time, sibling tasks and announced departures.
#include "workload/run_review.h"

#include <utility>

namespace thornplank {
namespace {

constexpr char kNoProgress[] = "makes no progress";
constexpr int kDonePercent = 100;
// A run is moved when it would end this many times sooner elsewhere, the stop
// and the start included.
constexpr int kMinSpeedup = 2;

StallRuleSettings StallRuleSettingsFor(const RunReviewSettings& settings) {
  StallRuleSettings rule;
  rule.bounds = settings.bounds;
  rule.max_time = settings.stall_after;
  return rule;
}

}  // namespace

RunReview::RunReview(RunReviewSettings settings)
    : settings_(settings), stall_rule_(StallRuleSettingsFor(settings)) {}

void RunReview::Observe(WorkerTracker* worker, Time now) {
  const WorkerRegistration& registration = worker->registration();
  for (const auto& [task, run] : worker->runs()) {
    if (run.stage != RunStage::kRunning || run.profile.long_running) continue;
    if (run.may_have_ended) continue;
    // A run at 100 percent does not show when it got there.
    if (run.percent >= kDonePercent || run.rate() <= 0) continue;
    const std::string& data_rack = run.profile.data_rack;
    const bool near = data_rack.empty() || registration.rack == data_rack;
    ProgressSample sample;
    sample.task = task;
    sample.gang = run.profile.gang;
    sample.rate = run.rate();
    sample.percent_observed = run.percent - run.baseline_percent;
    sample.slowdown = near ? 1 : settings_.bounds.far_slowdown;
    sample.advancing = run.last_progress == run.last_report;
    speeds_.Observe(registration.id, sample, now);
  }
  worker->set_steady_speed(speeds_.steady_speed(registration.id));
  worker->SetSpeed(speeds_.speed(registration.id, now), now);
}

std::vector<RunVerdict> RunReview::FindRunsToStop(WorkerTracker* worker,
                                                  Time now) const {
  worker->SetSpeed(speeds_.speed(worker->id(), now), now);
  std::vector<RunVerdict> verdicts;
  for (const auto& [task, run] : worker->runs()) {
    if (run.stop_wanted || run.stage != RunStage::kRunning) continue;
    if (run.profile.long_running || run.may_have_ended) continue;
    std::string reason = ReasonToStop(*worker, run, now);
    if (reason.empty()) continue;
    const bool stalled = reason == kNoProgress;
    verdicts.push_back({task, run.run, std::move(reason), stalled});
  }
  return verdicts;
}

bool RunReview::IsStalled(const WorkerTracker& worker, const TrackedRun& run,
                          Time now) const {
  if (!worker.reachable()) return false;
  if (now - run.last_progress > settings_.stall_after) return true;
  // A gang is judged as a whole (GangReview), and filler tasks are paced.
  const bool is_apart = run.profile.gang || run.profile.is_filler;
  if (is_apart || !worker.health().compared()) return false;
  return stall_rule_.IsStalled(worker, run,
                               speeds_.NormalDuration(run.task.step));
}

std::string RunReview::ReasonToStop(const WorkerTracker& worker,
                                    const TrackedRun& run, Time now) const {
  // A member that has done its work waits for the rest of its gang.
  const bool waits = run.profile.gang && run.percent >= kDonePercent;
  if (waits) return "";
  if (IsStalled(worker, run, now)) return kNoProgress;
  // GangReview handles all else about gangs.
  if (run.profile.gang) return "";
  const Duration left = run.remaining(now);
  if (worker.registration().draining && run.profile.checkpointable &&
      left > worker.registration().drain_remaining) {
    return "worker leaves";
  }
  const Duration normal = speeds_.NormalDuration(run.task.step);
  if (left == Duration::max() || normal == Duration::zero()) return "";
  if (!worker.IsSlowed()) return "";
  Duration elsewhere = normal;
  if (run.profile.checkpointable) {
    elsewhere = normal * (kDonePercent - run.percent) / kDonePercent;
  }
  const Duration moved = elsewhere * kMinSpeedup + settings_.bounds.move_cost();
  return left > moved ? "slow worker" : "";
}

}  // namespace thornplank
