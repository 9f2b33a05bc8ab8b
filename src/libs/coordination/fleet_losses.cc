// What shows whether workers that WorkerFleet has taken for lost are alive.
#include <algorithm>

#include "coordination/worker_fleet.h"

namespace thornplank {

// An entry that is newer than the last whole read was stored after that. What
// predecessors took for lost was lost before this leader's first read.
bool WorkerFleet::ProvesLife(const WorkerRegistration& entry) const {
  if (first_directory_read_ == Time{}) return false;
  // Another writer's entry may lack the start time.
  const bool names_incarnation = entry.incarnation_start.time ||
                                 !trackers_.at(entry.id).incarnation_start();
  const Time lost_at = std::max(LostAt(entry.id), first_directory_read_);
  return names_incarnation &&
         last_directory_read_ - lost_at > settings_.max_entry_delay;
}

void WorkerFleet::EndLostWorkerAt(const std::string& address,
                                  const std::string& id) {
  const auto lost = lost_at_address_.find(address);
  if (lost == lost_at_address_.end() || lost->second.id == id) return;
  handlers_.on_ended(lost->second.id, lost->second.incarnation_start);
  lost_at_address_.erase(lost);
}

Time WorkerFleet::LostAt(const std::string& id) const {
  const auto lost = lost_at_.find(id);
  return lost == lost_at_.end() ? Time{} : lost->second;
}

// A loss that is older than the delay of entries makes no difference any more.
void WorkerFleet::DropOldLosses() {
  for (auto it = lost_at_.begin(); it != lost_at_.end();) {
    const auto lost = it++;
    if (last_directory_read_ - lost->second <= settings_.max_entry_delay) {
      continue;
    }
    lost_at_.erase(lost);
  }
}

}  // namespace thornplank
