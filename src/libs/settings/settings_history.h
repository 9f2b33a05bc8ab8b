// The most recent changes of each path, with their author and time; bounded in
// the number of changes of a path and of paths.
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
  // Name of the token that the change was requested with.
  std::string author;
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
  // Evicts the path whose newest change is the oldest, when there are too many.
  void EvictOldestPath();

  // Changes by path, oldest first. Invariant: no list is empty or longer than
  // kMaxEntries.
  std::map<std::string, std::deque<HistoryEntry>> entries_;
};

// {"version","type","value","by","time_ms"}; "by" is the author.
Json ToJson(const HistoryEntry& entry);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_HISTORY_H_
