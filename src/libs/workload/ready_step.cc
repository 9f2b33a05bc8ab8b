// Collects and orders the ready steps.
#include "workload/ready_step.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace thornplank {
namespace {

// Jobs that take more than this many times their objective earn nothing
// (published).
constexpr int kExpiredAfterObjectives = 3;

// Sets what depends on the age of the step's job.
void JudgeTime(WallTime now, ReadyStep* step) {
  const JobDefinition& spec = step->job->spec;
  const auto age = std::chrono::duration_cast<Milliseconds>(
      now - spec.earliest_start(step->ref.occurrence));
  const Milliseconds objective = spec.objective();
  // Completing the job would no longer earn anything.
  step->expired = age > objective * kExpiredAfterObjectives;
  step->time_left = objective - age;
  const bool has_objective =
      objective > Milliseconds::zero() && !step->spec->long_running;
  if (!has_objective) return;
  if (step->expired) {
    step->timeliness = Timeliness::kExpired;
  } else if (step->time_left < spec.estimate_from(step->ref.step)) {
    step->timeliness = Timeliness::kLate;
  }
}

void CollectOccurrence(const Job& job, int occurrence, WallTime now,
                       std::vector<ReadyStep>* open, BlockedSteps* blocked) {
  const auto& steps = job.occurrences[static_cast<size_t>(occurrence)];
  for (size_t i = 0; i < steps.size(); ++i) {
    const StepProgress& progress = steps[i];
    if (progress.waiting == 0) continue;
    const StepSpec& spec = job.spec.steps[i];
    const int index = static_cast<int>(i);
    if (spec.gang && progress.active() > 0) {
      if (blocked != nullptr) {
        blocked->broken_gangs.push_back({job.spec.id, occurrence, index});
      }
      continue;
    }
    if (!JobLedger::IsReady(job, occurrence, index)) continue;
    ReadyStep step;
    step.job = &job;
    step.ref = {job.spec.id, occurrence, index};
    step.spec = &spec;
    JudgeTime(now, &step);
    bool has_suspects = false;
    for (size_t t = 0; t < progress.tasks.size(); ++t) {
      const TaskStatus& task = progress.tasks[t];
      if (task.phase != TaskPhase::kWaiting) continue;
      if (task.crashes.MustWait()) {
        has_suspects = true;
        continue;
      }
      step.failed_before = step.failed_before || task.failures > 0;
      step.on_probation = step.on_probation || !task.crashes.empty();
      step.crashed_at_start =
          step.crashed_at_start || task.crashes.start_crashes > 0;
      step.waiting.push_back(static_cast<int>(t));
    }
    // A gang starts whole or not at all.
    const bool is_blocked = has_suspects && (spec.gang || step.waiting.empty());
    if (!is_blocked) {
      open->push_back(std::move(step));
    } else if (blocked != nullptr) {
      blocked->suspects.push_back(std::move(step.ref));
    }
  }
}

bool HasPrecedence(const ReadyStep& a, const ReadyStep& b) {
  const auto key = [](const ReadyStep& step) {
    const JobDefinition& job = step.job->spec;
    return std::make_tuple(job.policy.priority, job.accepted);
  };
  return key(a) < key(b);
}

}  // namespace

bool ReadyStep::job_is_active() const {
  for (const auto& steps : job->occurrences) {
    for (const StepProgress& progress : steps) {
      if (progress.active() > 0) return true;
    }
  }
  return false;
}

std::vector<ReadyStep> CollectReadySteps(const JobLedger& ledger, WallTime now,
                                         BlockedSteps* blocked) {
  std::vector<ReadyStep> open;
  for (const auto& [id, job] : ledger.jobs()) {
    if (IsTerminal(job->state)) continue;
    for (int k = 0; k < job->spec.occurrence_count(); ++k) {
      if (job->spec.scheduled() && job->spec.due(k) > now) break;
      CollectOccurrence(*job, k, now, &open, blocked);
    }
  }
  std::sort(open.begin(), open.end(), HasPrecedence);
  return open;
}

}  // namespace thornplank
