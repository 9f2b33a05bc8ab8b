// Sums of urgent use and need by account.
#include "workload/urgent_balance.h"

namespace thornplank {

UrgentBalance::UrgentBalance(const ClusterCapacity* capacity,
                             const JobLedger* ledger,
                             const Guarantees* guarantees)
    : capacity_(*capacity), guarantees_(*guarantees) {
  if (!guarantees->empty()) CountNeeds(*ledger);
}

void UrgentBalance::CountNeeds(const JobLedger& ledger) {
  for (const auto& [id, job] : ledger.jobs()) {
    if (job->spec.policy.priority != 0 || IsTerminal(job->state)) continue;
    int64_t& needed = needed_[job->spec.account];
    for (size_t k = 0; k < job->occurrences.size(); ++k) {
      for (size_t i = 0; i < job->spec.steps.size(); ++i) {
        const StepProgress& progress = job->occurrences[k][i];
        const int unfinished = progress.waiting + progress.active();
        if (unfinished == 0) continue;
        const bool may_run =
            progress.active() > 0 ||
            JobLedger::IsReady(*job, static_cast<int>(k), static_cast<int>(i));
        if (!may_run) continue;
        needed += job->spec.steps[i].need.accelerators * unfinished;
      }
    }
  }
}

int64_t UrgentBalance::Left(const std::string& account) const {
  const Changes& changes = ChangesOf(account);
  return Guaranteed(account) - capacity_.UrgentAccelerators(account) -
         changes.started - changes.reserved;
}

int64_t UrgentBalance::Excess(const std::string& account) const {
  const Changes& changes = ChangesOf(account);
  return capacity_.UrgentAccelerators(account) -
         capacity_.UrgentAcceleratorsStopping(account) + changes.started -
         changes.stopped - Guaranteed(account);
}

bool UrgentBalance::IsOwed(const std::string& account) const {
  if (guarantees_.count(account) == 0) return false;
  const auto needed = needed_.find(account);
  return needed == needed_.end() || needed->second <= Guaranteed(account);
}

int64_t UrgentBalance::Guaranteed(const std::string& account) const {
  const auto guarantee = guarantees_.find(account);
  return guarantee == guarantees_.end() ? 0 : guarantee->second;
}

const UrgentBalance::Changes& UrgentBalance::ChangesOf(
    const std::string& account) const {
  static const Changes kNone;
  const auto changes = changes_.find(account);
  return changes == changes_.end() ? kNone : changes->second;
}

}  // namespace thornplank
