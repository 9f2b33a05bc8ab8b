// Bounded history of each path and its JSON form.
#include "settings/settings_history.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

// Changes kept for each path.
constexpr size_t kMaxEntries = 8;
constexpr size_t kMaxPaths = 4000;

std::optional<HistoryEntry> ParseEntry(const Json& json) {
  const std::optional<int64_t> version = IntField(json, "version");
  const std::optional<std::string> type = StringField(json, "type");
  const std::optional<std::string> author = StringField(json, "by");
  const std::optional<int64_t> time = IntField(json, "time_ms");
  if (!version || !type || !author || !time) return std::nullopt;
  const std::optional<ChangeKind> kind = ChangeKindFromName(*type);
  if (!kind) return std::nullopt;
  HistoryEntry entry{*version, *kind, nullptr, *author,
                     FromUnixMilliseconds(*time)};
  const auto value = json.find("value");
  if (value != json.end()) entry.value = *value;
  return entry;
}

}  // namespace

Json ToJson(const HistoryEntry& entry) {
  return {{"version", entry.version},
          {"type", ChangeKindName(entry.kind)},
          {"value", entry.value},
          {"by", entry.author},
          {"time_ms", ToUnixMilliseconds(entry.time)}};
}

void SettingsHistory::Add(const SettingsChange& change, int64_t version) {
  std::deque<HistoryEntry>& entries = entries_[change.path];
  entries.push_back(
      {version, change.kind, change.value, change.author, change.time});
  if (entries.size() > kMaxEntries) entries.pop_front();
  EvictOldestPath();
}

void SettingsHistory::EvictOldestPath() {
  if (entries_.size() <= kMaxPaths) return;
  const auto oldest = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return a.second.back().version < b.second.back().version;
      });
  entries_.erase(oldest);
}

std::vector<HistoryEntry> SettingsHistory::entries(
    const std::string& path) const {
  const auto it = entries_.find(path);
  if (it == entries_.end()) return {};
  return {it->second.rbegin(), it->second.rend()};
}

Json SettingsHistory::ToJson() const {
  Json json = Json::object();
  for (const auto& [path, entries] : entries_) {
    Json& list = json[path] = Json::array();
    for (const HistoryEntry& entry : entries) {
      list.push_back(thornplank::ToJson(entry));
    }
  }
  return json;
}

std::optional<SettingsHistory> SettingsHistory::FromJson(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  SettingsHistory history;
  for (const auto& [path, list] : json.items()) {
    if (!list.is_array() || list.empty()) return std::nullopt;
    for (const Json& item : list) {
      std::optional<HistoryEntry> entry = ParseEntry(item);
      if (!entry) return std::nullopt;
      history.entries_[path].push_back(std::move(*entry));
    }
  }
  return history;
}

}  // namespace thornplank
