// The waits of steps, and their need against the room of usable workers.
#include "workload/overdue_starts.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

// Each check visits all workers.
constexpr size_t kMaxChecks = 16;

bool MayRun(const WorkerTracker& worker, const Job& job, const StepSpec& spec,
            Time now) {
  if (worker.registration().service != job.spec.policy.service) return false;
  if (worker.availability(now) != WorkerAvailability::kUsable) return false;
  if (spec.required_label.empty()) return true;
  const std::vector<std::string>& labels = worker.registration().labels;
  return std::find(labels.begin(), labels.end(), spec.required_label) !=
         labels.end();
}

// Up to `most` of the steps, which are sorted, from `next` on, which is moved
// behind them.
std::vector<StepRef> TakeInTurn(std::vector<StepRef> steps, size_t most,
                                StepRef* next) {
  const auto first = std::lower_bound(steps.begin(), steps.end(), *next);
  std::rotate(steps.begin(), first, steps.end());
  if (steps.size() <= most) return steps;
  *next = steps[most];
  steps.resize(most);
  return steps;
}

}  // namespace

bool FitsIdleRoom(const Job& job, const StepRef& step,
                  const std::map<std::string, WorkerTracker>& workers,
                  Time now) {
  const StepSpec& spec = job.spec.steps[static_cast<size_t>(step.step)];
  const int64_t needed = spec.gang ? spec.count : 1;
  const int64_t most_per_worker =
      spec.max_per_worker > 0 ? spec.max_per_worker : needed;
  // By rack; under one key if the tasks may be on any racks.
  std::map<std::string, int64_t> fitting;
  for (const auto& [id, worker] : workers) {
    if (!MayRun(worker, job, spec, now)) continue;
    const bool one_rack = spec.gang && spec.same_rack;
    int64_t& count = fitting[one_rack ? worker.registration().rack : ""];
    count += spec.need.TimesIn(worker.room(), most_per_worker);
    if (count >= needed) return true;
  }
  return false;
}

void OverdueStarts::Observe(const Plan& plan, Time now) {
  std::map<StepRef, Wait> before = std::exchange(waits_, {});
  for (const StartDecision& start : plan.starts) before.erase(start.step);
  for (const WaitDecision& decision : plan.waits) {
    const auto known = before.find(decision.step);
    Wait& wait = waits_[decision.step];
    wait.since = now;
    if (known != before.end()) wait = known->second;
    wait.reason = decision.reason;
  }
}

std::vector<OverdueStart> OverdueStarts::Review(
    const JobLedger& ledger,
    const std::map<std::string, WorkerTracker>& workers, Time now,
    Milliseconds bound) {
  std::vector<OverdueStart> found;
  for (const StepRef& step : StepsToCheck(now, bound)) {
    Wait& wait = waits_.at(step);
    const Job* job = ledger.Find(step.job);
    const bool fits = job != nullptr && !IsTerminal(job->state) &&
                      FitsIdleRoom(*job, step, workers, now);
    if (!fits) {
      wait.fits_since.reset();
      wait.overdue = false;
      continue;
    }
    if (!wait.fits_since) wait.fits_since = now;
    wait.overdue = now - *wait.fits_since >= kIdleTime;
    if (!wait.overdue || wait.told == wait.reason) continue;
    wait.told = wait.reason;
    const auto waited =
        std::chrono::duration_cast<Milliseconds>(now - wait.since);
    found.push_back(
        {step, wait.reason, waited, ledger.FindStep(step)->waiting});
  }
  return found;
}

// Both those that have fit at the last check and the others get half of the
// checks at least, if there are as many.
std::vector<StepRef> OverdueStarts::StepsToCheck(Time now, Milliseconds bound) {
  std::vector<StepRef> fitting;
  std::vector<StepRef> others;
  for (const auto& [step, wait] : waits_) {
    if (now - wait.since <= bound) continue;
    (wait.fits_since ? fitting : others).push_back(step);
  }
  const size_t for_others = std::min(others.size(), kMaxChecks / 2);
  const size_t for_fitting = std::min(fitting.size(), kMaxChecks - for_others);
  std::vector<StepRef> steps =
      TakeInTurn(std::move(fitting), for_fitting, &next_fitting_);
  const std::vector<StepRef> further =
      TakeInTurn(std::move(others), kMaxChecks - for_fitting, &next_other_);
  steps.insert(steps.end(), further.begin(), further.end());
  return steps;
}

size_t OverdueStarts::count() const {
  return static_cast<size_t>(
      std::count_if(waits_.begin(), waits_.end(),
                    [](const auto& entry) { return entry.second.overdue; }));
}

}  // namespace thornplank
