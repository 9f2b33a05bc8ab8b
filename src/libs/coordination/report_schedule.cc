// Which reports are due, and how long they wait.
#include "coordination/report_schedule.h"

#include <algorithm>

#include "coordination/filler_pace_controller.h"

namespace thornplank {
namespace {

bool HasOrderedRuns(const WorkerTracker& worker) {
  return std::any_of(worker.runs().begin(), worker.runs().end(),
                     [](const auto& entry) {
                       return entry.second.stage != RunStage::kRecording;
                     });
}

bool HasNewRuns(const WorkerTracker& worker) {
  return std::any_of(
      worker.runs().begin(), worker.runs().end(), [](const auto& entry) {
        const TrackedRun& run = entry.second;
        return run.stage == RunStage::kRunning && run.percent == 0;
      });
}

bool HasStoppingRuns(const WorkerTracker& worker) {
  return std::any_of(worker.runs().begin(), worker.runs().end(),
                     [](const auto& entry) {
                       return entry.second.stop_acknowledged.has_value();
                     });
}

bool IsUncertain(const WorkerTracker& worker) {
  if (!worker.synchronized() || !worker.reachable()) return true;
  return std::any_of(worker.runs().begin(), worker.runs().end(),
                     [](const auto& entry) {
                       return entry.second.stage == RunStage::kUnknown;
                     });
}

// While the worker holds ends that are not recorded, a report returns at once,
// so it is not requested as a long poll.
bool IsStable(const WorkerTracker& worker) {
  const bool unrecorded = worker.processed_ends() > worker.recorded_ends();
  return HasOrderedRuns(worker) && !unrecorded && !IsUncertain(worker);
}

}  // namespace

ReportSchedule::ReportSchedule(ReportScheduleSettings settings)
    : settings_(settings) {}

std::optional<Milliseconds> ReportSchedule::TakeDue(
    const WorkerTracker& worker, Time now, WorkerCallState* state) const {
  if (state->report_pending || now < state->next_report_time) {
    return std::nullopt;
  }
  if (worker.registration().address.empty()) return std::nullopt;
  const bool unacknowledged = worker.recorded_ends() > state->acknowledged_ends;
  const bool nothing_to_ask =
      worker.synchronized() && !HasOrderedRuns(worker) && !unacknowledged;
  if (nothing_to_ask && !state->recheck) return std::nullopt;
  if (!IsStable(worker)) {
    state->next_report_time = now + settings_.retry_delay;
    return Milliseconds(0);
  }
  return WaitFor(worker, *state);
}

Milliseconds ReportSchedule::WaitFor(const WorkerTracker& worker,
                                     const WorkerCallState& state) const {
  // A request that acknowledges ends does not wait: a worker that has restarted
  // unnoticed would apply the number to the ends of its new incarnation that
  // come while it waits.
  if (EndsToAcknowledge(worker, state) > 0) return Milliseconds(0);
  Milliseconds wait =
      HasNewRuns(worker) ? settings_.max_first_wait : settings_.max_wait;
  // While a run is being stopped, the report returns as soon as it has ended. A
  // run that never started on the worker has no end to report and is settled by
  // the report after this one, so the wait is short.
  if (HasStoppingRuns(worker)) wait = settings_.retry_delay;
  if (worker.registration().draining) {
    wait = std::min(wait, settings_.max_leaving_wait);
  }
  if (FillerPaceController::HasFillersAndServing(worker)) {
    wait = std::min(wait, settings_.max_paced_wait);
  }
  return wait;
}

int64_t EndsToAcknowledge(const WorkerTracker& worker,
                          const WorkerCallState& state) {
  const bool news = worker.recorded_ends() > state.acknowledged_ends;
  return news && worker.reachable() ? worker.recorded_ends() : 0;
}

}  // namespace thornplank
