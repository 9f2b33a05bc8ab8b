// Logging of faults without repetitions.
#include "coordination/refused_entries.h"

#include "logging/events/coordination_events.h"

namespace thornplank {

bool RefusedEntries::LogIfNew(const std::string& key, const Error& fault) {
  const auto [it, is_new] = entries_.try_emplace(key);
  Entry& entry = it->second;
  if (!is_new && entry.reason == fault.reason) {
    ++entry.suppressed_repeats;
    return false;
  }
  LogEvent(events::kRecordUnreadable, fault,
           {{"key", key}, {"repeats_before", entry.suppressed_repeats}});
  entry = {fault.reason, 0};
  return true;
}

void RefusedEntries::RetainOnly(const std::set<std::string>& keys) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto entry = it++;
    if (keys.count(entry->first) == 0) entries_.erase(entry);
  }
}

}  // namespace thornplank
