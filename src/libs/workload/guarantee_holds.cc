// Limits holds to what is left of the guarantees.
#include "workload/guarantee_holds.h"

#include <algorithm>
#include <utility>

namespace thornplank {

GuaranteeHolds::GuaranteeHolds(const GangHolds::Inputs& inputs,
                               const UrgentBalance* balance)
    : balance_(*balance), holds_(inputs) {}

void GuaranteeHolds::Hold(const ReadyStep& step, int64_t waiting,
                          const Terms& terms) {
  const int64_t each = step.spec->need.accelerators;
  if (each <= 0) return;
  int64_t& held = held_[step.job->spec.account];
  const int64_t left = balance_.Left(step.job->spec.account) - held;
  const int64_t tasks = std::min(waiting, left / each);
  if (tasks <= 0 || (step.spec->gang && tasks < waiting)) return;
  steps_.push_back(step);
  ReadyStep& part = steps_.back();
  part.waiting.resize(static_cast<size_t>(tasks));
  HoldRequest request;
  request.step = &part;
  request.waited = terms.waited;
  request.empty_workers =
      static_cast<int64_t>(holds_.capacity().workers().size());
  request.near_only = terms.near_only;
  request.one_rack = terms.one_rack;
  std::vector<Eviction> none;
  if (!holds_.Consider(request, &none)) {
    steps_.pop_back();
    return;
  }
  held += tasks * each;
}

bool GuaranteeHolds::IsBound(const ReadyStep& step) const {
  if (!step.urgent()) return true;
  return balance_.Left(step.job->spec.account) <
         step.spec->need.accelerators *
             static_cast<int64_t>(step.waiting.size());
}

Resources GuaranteeHolds::HeldFrom(const ReadyStep& step, size_t worker) const {
  return IsBound(step) ? holds_.HeldFrom(step, worker) : Resources();
}

void GuaranteeHolds::Restrict(const ReadyStep& step,
                              std::vector<Slot>* slots) const {
  if (IsBound(step)) holds_.Restrict(step, slots);
}

}  // namespace thornplank
