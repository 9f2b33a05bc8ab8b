// Converts the settings tree to the types of routing and scheduling.
#ifndef THORNPLANK_APP_THORNPLANK_ENTRY_SETTINGS_MAPPING_H_
#define THORNPLANK_APP_THORNPLANK_ENTRY_SETTINGS_MAPPING_H_

#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/routing_types.h"
#include "scheduling/job_types.h"

namespace thornplank {

class SettingsTree;

// Returns the limits of every client account, and of those of its services that
// have a node in the tree.
std::vector<AccountLimits> MapAccountLimits(const SettingsTree& tree);
std::vector<AccountGuarantee> MapGuarantees(const SettingsTree& tree);
// `now` and `wall_now` are the same moment on the steady clock and on the
// system clock.
std::vector<EventReservation> MapEvents(const SettingsTree& tree, Time now,
                                        WallTime wall_now);
// Returns the names of the instances that operators drain.
std::set<std::string> MapDrains(const SettingsTree& tree);

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_ENTRY_SETTINGS_MAPPING_H_
