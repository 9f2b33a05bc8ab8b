// Progress against time, siblings and what the worker announces.
#include "workload/run_review.h"

#include <utility>

namespace thornplank {
namespace {

constexpr char kNoProgress[] = "makes no progress";
constexpr int kWholeWork = 100;
// A run is moved when it would end this many times sooner elsewhere, a stop and
// a start included.
constexpr int kMoveGain = 2;

}  // namespace

void RunReview::Observe(WorkerTracker* worker, Time now) {
  const WorkerRegistration& registration = worker->registration();
  for (const auto& [task, run] : worker->runs()) {
    if (run.stage != RunStage::kRunning || run.profile.long_running) continue;
    // Standing at the end says nothing of how long it took to get there.
    if (run.percent >= kWholeWork || run.rate() <= 0) continue;
    const std::string& data_rack = run.profile.data_rack;
    const bool near = data_rack.empty() || registration.rack == data_rack;
    ProgressSample pace;
    pace.task = task;
    pace.gang = run.profile.gang;
    pace.rate = run.rate();
    pace.percent_observed = run.percent - run.baseline_percent;
    pace.slowdown = near ? 1 : settings_.bounds.far_slowdown;
    speeds_.Observe(registration.id, pace, now);
  }
  worker->SetSpeed(speeds_.speed(registration.id, now), now);
  worker->set_steady_speed(speeds_.steady_speed(registration.id));
}

std::vector<RunVerdict> RunReview::FindRunsToStop(WorkerTracker* worker,
                                                  Time now) const {
  worker->SetSpeed(speeds_.speed(worker->id(), now), now);
  std::vector<RunVerdict> verdicts;
  bool stalled = false;
  for (const auto& [task, run] : worker->runs()) {
    if (run.stop_wanted || run.stage != RunStage::kRunning) continue;
    if (run.profile.long_running) continue;
    std::string reason = ReasonToStop(*worker, run, now);
    if (reason.empty()) continue;
    stalled = stalled || reason == kNoProgress;
    verdicts.push_back({task, run.run, std::move(reason)});
  }
  if (stalled) worker->trust().OnRunStalled(now);
  return verdicts;
}

std::string RunReview::ReasonToStop(const WorkerTracker& worker,
                                    const TrackedRun& run, Time now) const {
  // A member that has done its work waits for the rest of its gang.
  const bool waits = run.profile.gang && run.percent >= kWholeWork;
  if (waits) return "";
  if (worker.reachable() && now - run.progressed > settings_.stall_after) {
    return kNoProgress;
  }
  // Gangs are judged as a whole.
  if (run.profile.gang) return "";
  const Duration left = run.remaining(now);
  if (worker.registration().draining && run.profile.checkpointable &&
      left > worker.registration().drain_remaining) {
    return "worker leaves";
  }
  const Duration sound = speeds_.NormalDuration(run.task.step);
  if (left == Duration::max() || sound == Duration::zero()) return "";
  if (worker.speed() > kSlowedSpeed) return "";
  Duration elsewhere = sound;
  if (run.profile.checkpointable) {
    elsewhere = sound * (kWholeWork - run.percent) / kWholeWork;
  }
  const Duration moved = elsewhere * kMoveGain + settings_.bounds.move_cost();
  return left > moved ? "slow worker" : "";
}

}  // namespace thornplank
