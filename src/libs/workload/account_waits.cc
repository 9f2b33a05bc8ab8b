// Begin and end of an account's waits.
#include "workload/account_waits.h"

#include <optional>
#include <utility>

namespace thornplank {
namespace {

// Longer than a few planning rounds, shorter than any objective.
constexpr Milliseconds kReportAfter{1000};

}  // namespace

std::vector<AccountWait> AccountWaits::Observe(const WaitingSteps& waiting,
                                               const AccountShares* shares,
                                               Time now) {
  std::map<AccountPriority, State> current;
  std::map<std::string, double> means;
  for (const auto& [key, steps] : waiting) {
    const std::optional<ServiceAccount> account =
        shares == nullptr ? std::nullopt
                          : shares->Find(key.service, key.account);
    if (!account) continue;
    const auto [mean, is_new] = means.try_emplace(key.service, 0);
    if (is_new) mean->second = shares->MeanShare(account->service);
    const double share = shares->WeightedShare(*account);
    if (!AccountShares::IsBelow(share, mean->second)) continue;
    const auto known = states_.find(key);
    State state = known == states_.end() ? State{now, false, {}}
                                         : std::move(known->second);
    state.last = {
        key, true, share, shares->Weight(*account), steps, now - state.since};
    current.emplace(key, std::move(state));
  }
  std::vector<AccountWait> changes;
  for (auto& [key, state] : states_) {
    if (!state.reported || current.count(key) > 0) continue;
    state.last.begins = false;
    state.last.waited = now - state.since;
    changes.push_back(std::move(state.last));
  }
  for (auto& [key, state] : current) {
    if (state.reported || state.last.waited < kReportAfter) continue;
    state.reported = true;
    changes.push_back(state.last);
  }
  states_ = std::move(current);
  return changes;
}

}  // namespace thornplank
