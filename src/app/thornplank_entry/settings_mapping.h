// From the settings tree to the words of routing and scheduling.
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

// Limits of every client account, and of its services where the tree has a
// node for them.
std::vector<AccountLimits> MapAccountLimits(const SettingsTree& tree);
std::vector<AccountGuarantee> MapGuarantees(const SettingsTree& tree);
// `now` and `wall_now` are the same moment on both clocks.
std::vector<EventReservation> MapEvents(const SettingsTree& tree, Time now,
                                        WallTime wall_now);
// Names of the instances that operators drain.
std::set<std::string> MapDrains(const SettingsTree& tree);

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_ENTRY_SETTINGS_MAPPING_H_
