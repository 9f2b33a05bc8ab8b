// Division of a service's slots over client accounts and entries.
//
// Accounts get their guarantees first and then what is left by weight; what an
// account gets is divided over the entries in proportion to its demand there.
#ifndef THORNPLANK_ROUTING_DEMAND_SPLIT_H_
#define THORNPLANK_ROUTING_DEMAND_SPLIT_H_

#include <vector>

#include "routing/slot_sharing_policy.h"

namespace thornplank {

// Slots for each account when `demand[account]` requests want one each. The
// sum is at most `slots`. Guarantees that do not fit are cut in proportion.
std::vector<double> SplitOverAccounts(
    double slots, const std::vector<AccountLimits>& accounts,
    const std::vector<double>& demand);

// Slots that each entry's demand claims; the sum is at most `slots`.
std::vector<double> SplitOverEntries(double slots,
                                     const SlotSharingInput& input);

// Slots that no other entry's demand claims.
double SlotsLeftByOthers(const SlotSharingInput& input);

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_DEMAND_SPLIT_H_
