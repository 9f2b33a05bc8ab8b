// Divides slots among accounts by weighted max-min fairness (water-filling),
// then among entries in proportion to demand.
#include "routing/demand_split.h"

#include <algorithm>

namespace thornplank {
namespace {

constexpr double kNegligible = 1e-9;

// Whether the account may use more slots than `granted` and has demand for
// them.
bool WantsMore(const AccountLimits& account, double demand, double granted) {
  return account.borrowing && account.weight > 0 &&
         demand - granted > kNegligible;
}

}  // namespace

std::vector<double> SplitOverAccounts(
    double slots, const std::vector<AccountLimits>& accounts,
    const std::vector<double>& demand) {
  std::vector<double> granted(accounts.size(), 0.0);
  double guaranteed = 0;
  for (size_t i = 0; i < accounts.size(); ++i) {
    granted[i] =
        std::min(demand[i], static_cast<double>(accounts[i].guaranteed_slots));
    guaranteed += granted[i];
  }
  if (guaranteed > slots) {
    for (double& value : granted) {
      value *= slots / guaranteed;
    }
    return granted;
  }
  double remaining = slots - guaranteed;
  // Each round satisfies at least one account or uses up the remaining slots.
  for (size_t round = 0; round < accounts.size() && remaining > kNegligible;
       ++round) {
    double total_weight = 0;
    for (size_t i = 0; i < accounts.size(); ++i) {
      if (WantsMore(accounts[i], demand[i], granted[i])) {
        total_weight += accounts[i].weight;
      }
    }
    if (total_weight <= 0) {
      break;
    }
    const double available = remaining;
    for (size_t i = 0; i < accounts.size(); ++i) {
      if (!WantsMore(accounts[i], demand[i], granted[i])) {
        continue;
      }
      const double part =
          std::min(demand[i] - granted[i],
                   available * accounts[i].weight / total_weight);
      granted[i] += part;
      remaining -= part;
    }
  }
  return granted;
}

std::vector<double> SplitOverEntries(double slots,
                                     const SlotSharingInput& input) {
  std::vector<double> account_demand(input.accounts.size(), 0.0);
  for (const std::vector<double>& entry : input.demand) {
    for (size_t i = 0; i < account_demand.size(); ++i) {
      account_demand[i] += entry[i];
    }
  }
  const std::vector<double> granted =
      SplitOverAccounts(slots, input.accounts, account_demand);
  std::vector<double> result(input.demand.size(), 0.0);
  for (size_t entry = 0; entry < result.size(); ++entry) {
    for (size_t i = 0; i < account_demand.size(); ++i) {
      if (account_demand[i] <= 0) {
        continue;
      }
      result[entry] += granted[i] * input.demand[entry][i] / account_demand[i];
    }
  }
  return result;
}

double SlotsLeftByOthers(const SlotSharingInput& input) {
  const double total = TotalSlots(input.executors);
  const std::vector<double> demanded = SplitOverEntries(total, input);
  double remaining = total;
  for (size_t entry = 0; entry < demanded.size(); ++entry) {
    if (entry != input.own_entry_index) {
      remaining -= demanded[entry];
    }
  }
  return remaining;
}

}  // namespace thornplank
