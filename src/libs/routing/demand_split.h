// Division of a service's slots among client accounts and entries by demand.
//
// Accounts first get their guarantees; the remaining slots are divided by
// weight. The slots of an account are divided among the entries in proportion
// to its demand there.
#ifndef THORNPLANK_ROUTING_DEMAND_SPLIT_H_
#define THORNPLANK_ROUTING_DEMAND_SPLIT_H_

#include <vector>

#include "routing/slot_sharing_policy.h"

namespace thornplank {

// Returns the slots of each account; `demand` holds the number of requests per
// account, which need one slot each. The sum is at most `slots`. Guarantees
// that exceed `slots` together are reduced in proportion.
std::vector<double> SplitOverAccounts(
    double slots, const std::vector<AccountLimits>& accounts,
    const std::vector<double>& demand);

// Returns the slots that each entry gets for its demand; the sum is at most
// `slots`.
std::vector<double> SplitOverEntries(double slots,
                                     const SlotSharingInput& input);

// Slots that are left after the demand of the other entries is served.
double SlotsLeftByOthers(const SlotSharingInput& input);

}  // namespace thornplank

#endif  // THORNPLANK_ROUTING_DEMAND_SPLIT_H_
