// The last changes of each path, with who made them and when.
#ifndef THORNPLANK_SETTINGS_SETTINGS_HISTORY_H_
#define THORNPLANK_SETTINGS_SETTINGS_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "settings/settings_change.h"

namespace thornplank {

struct HistoryEntry {
  int64_t version = 0;
  ChangeKind kind = ChangeKind::kPut;
  // Null for removals.
  Json value;
  std::string by;
  WallTime time;
};

class SettingsHistory {
 public:
  void Add(const SettingsChange& change, int64_t version);

  // Newest first.
  std::vector<HistoryEntry> entries(const std::string& path) const;

  Json ToJson() const;
  // nullopt when malformed.
  static std::optional<SettingsHistory> FromJson(const Json& json);

 private:
  void ForgetOldPaths();

  // Oldest first. Invariant: none is empty, none exceeds kMaxEntries.
  std::map<std::string, std::deque<HistoryEntry>> entries_;
};

// {"version","type","value","by","time_ms"}.
Json ToJson(const HistoryEntry& entry);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_HISTORY_H_
