// Computes the pace of each worker from its reports and sends it to the filler
// tasks.
#include "coordination/filler_pace_controller.h"

#include <utility>
#include <vector>

#include "logging/events/coordination_events.h"

namespace thornplank {

FillerPaceController::FillerPaceController(WorkerCalls& calls, int64_t epoch,
                                           Milliseconds call_timeout,
                                           Handlers handlers)
    : calls_(calls),
      epoch_(epoch),
      call_timeout_(call_timeout),
      handlers_(std::move(handlers)) {}

FillerPaceController::~FillerPaceController() { *alive_ = false; }

bool FillerPaceController::HasFillersAndServing(const WorkerTracker& tracker) {
  bool serves = false;
  bool fills = false;
  for (const auto& [task, run] : tracker.runs()) {
    serves = serves || run.profile.tail_latency_target.count() > 0;
    fills = fills || run.profile.is_filler;
  }
  return serves && fills;
}

void FillerPaceController::OnReport(WorkerTracker* tracker, Time now) {
  std::vector<ServingTail> serving;
  bool fills = false;
  for (const auto& [task, run] : tracker->runs()) {
    fills = fills || run.profile.is_filler;
    if (run.stage != RunStage::kRunning || run.may_have_ended) continue;
    if (run.profile.tail_latency_target.count() == 0) continue;
    serving.push_back(
        {Milliseconds(run.load), run.profile.tail_latency_target});
  }
  if (!fills) return Forget(tracker->id());
  PaceControl& control = pace_controls_[tracker->id()];
  const int before = control.pace();
  control.Observe(serving, now);
  if (control.pace() != before) {
    LogEvent(events::kPaceChanged, {{"worker", tracker->id()},
                                    {"percent", control.pace()},
                                    {"before", before},
                                    {"serving", serving.size()}});
  }
  for (auto& [task, run] : tracker->runs()) {
    const bool due = run.profile.is_filler && run.stage == RunStage::kRunning &&
                     !run.stop_wanted && !run.pace_sending &&
                     run.pace != control.pace();
    if (due) Send(tracker, &run, control.pace());
  }
}

void FillerPaceController::Send(WorkerTracker* tracker, TrackedRun* run,
                                int percent) {
  run->pace_sending = true;
  const std::string& worker = tracker->id();
  const PaceOrder order{run->task, run->run, percent, epoch_};
  calls_.SetPace({worker, tracker->registration().address}, order,
                 call_timeout_,
                 [this, alive = alive_, worker, order](CallOutcome outcome,
                                                       const Error& error) {
                   if (!*alive) return;
                   if (outcome == CallOutcome::kFenced) {
                     return handlers_.on_fenced();
                   }
                   if (outcome != CallOutcome::kOk) {
                     LogEvent(events::kPaceMissed, error,
                              {{"task", order.task.ToString()},
                               {"run", order.run},
                               {"worker", worker},
                               {"percent", order.percent}});
                   }
                   WorkerTracker* tracker = handlers_.find_tracker(worker);
                   TrackedRun* run =
                       tracker == nullptr ? nullptr : tracker->Find(order.task);
                   if (run == nullptr || run->run != order.run) return;
                   run->pace_sending = false;
                   // If the call had no answer, either pace may be in force; it
                   // is sent again after the next report.
                   run->pace = std::nullopt;
                   if (outcome == CallOutcome::kOk) run->pace = order.percent;
                 });
}

}  // namespace thornplank
