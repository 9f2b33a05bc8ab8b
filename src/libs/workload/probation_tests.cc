// One test for each worker on probation.
#include "workload/probation_tests.h"

#include <algorithm>
#include <string>

namespace thornplank {
namespace {

// Bounds the cost of a round in which no task fits on the workers on probation.
constexpr size_t kMaxCandidates = 32;

bool IsSuitable(const ReadyStep& step) {
  const StepSpec& spec = *step.spec;
  return !step.urgent() && !spec.gang && !spec.long_running &&
         !spec.is_filler && !step.on_probation && !step.alone &&
         !step.failed_before && !step.waiting.empty();
}

std::vector<size_t> FindCandidates(const std::vector<ReadyStep>& steps) {
  std::vector<size_t> candidates;
  for (size_t i = 0; i < steps.size(); ++i) {
    if (IsSuitable(steps[i])) candidates.push_back(i);
  }
  // Among equals in the order in which steps are placed.
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&steps](size_t index) { return steps[index].spec->checkpointable; });
  if (candidates.size() > kMaxCandidates) candidates.resize(kMaxCandidates);
  return candidates;
}

bool FitsOn(const ReadyStep& step, const WorkerCapacity& worker,
            const ClusterCapacity& capacity) {
  const std::string& data_rack = step.spec->data_rack;
  if (step.waiting.empty()) return false;
  if (!data_rack.empty() && worker.entry().rack != data_rack) return false;
  return ReservedFor(*step.spec).FitsInto(worker.free) &&
         capacity.MayTest(step, worker) &&
         capacity.RemainingTaskLimit(step, *worker.tracker) > 0;
}

}  // namespace

std::vector<ProbationTest> TakeProbationTests(const ClusterCapacity& capacity,
                                              std::vector<ReadyStep>* steps) {
  std::vector<ProbationTest> tests;
  std::vector<size_t> candidates;
  bool collected = false;
  for (const WorkerCapacity& worker : capacity.workers()) {
    if (!worker.withheld || worker.under_test) continue;
    if (!collected) candidates = FindCandidates(*steps);
    collected = true;
    // A job that has failed here shows less than any other.
    const size_t* chosen = nullptr;
    for (const size_t& index : candidates) {
      const ReadyStep& step = (*steps)[index];
      if (!FitsOn(step, worker, capacity)) continue;
      if (chosen == nullptr) chosen = &index;
      if (worker.tracker->health().HasFailureOf(step.ref.job)) continue;
      chosen = &index;
      break;
    }
    if (chosen == nullptr) continue;
    ReadyStep& step = (*steps)[*chosen];
    tests.push_back({*chosen, {step.waiting.back(), worker.tracker->id()}});
    step.waiting.pop_back();
  }
  return tests;
}

}  // namespace thornplank
