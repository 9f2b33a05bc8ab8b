// Storage and JSON form of versioned values.
#include "settings/versioned_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace thornplank {
namespace {

constexpr size_t kMaxRemovals = 2000;

}  // namespace

int64_t VersionedTable::version(const std::string& path) const {
  const auto it = slots_.find(path);
  return it == slots_.end() ? 0 : it->second.version;
}

const Json* VersionedTable::value(const std::string& path) const {
  const auto it = slots_.find(path);
  if (it == slots_.end() || !it->second.value) return nullptr;
  return &*it->second.value;
}

int64_t VersionedTable::newest_version() const {
  int64_t newest = 0;
  for (const auto& [path, slot] : slots_) {
    newest = std::max(newest, slot.version);
  }
  return newest;
}

std::vector<std::string> VersionedTable::paths(std::string_view prefix) const {
  std::vector<std::string> found;
  for (auto it = slots_.lower_bound(std::string(prefix)); it != slots_.end();
       ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (it->second.value) found.push_back(it->first);
  }
  return found;
}

std::optional<VersionedTable::Slot> VersionedTable::Exchange(
    const std::string& path, std::optional<Slot> slot) {
  std::optional<Slot> before;
  const auto it = slots_.find(path);
  if (it != slots_.end()) {
    before = std::move(it->second);
    slots_.erase(it);
  }
  if (slot) slots_.emplace(path, std::move(*slot));
  return before;
}

void VersionedTable::ForgetOldRemovals() {
  std::map<int64_t, std::string> removals;
  for (const auto& [path, slot] : slots_) {
    if (!slot.value) removals.emplace(slot.version, path);
  }
  size_t kept = removals.size();
  for (const auto& [version, path] : removals) {
    if (kept <= kMaxRemovals) break;
    slots_.erase(path);
    --kept;
  }
}

Json VersionedTable::ToJson() const {
  Json json = Json::object();
  for (const auto& [path, slot] : slots_) {
    Json& entry = json[path];
    entry["version"] = slot.version;
    if (slot.value) entry["value"] = *slot.value;
  }
  return json;
}

std::optional<VersionedTable> VersionedTable::FromJson(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  VersionedTable table;
  std::set<int64_t> versions;
  for (const auto& [path, entry] : json.items()) {
    const std::optional<int64_t> version = IntField(entry, "version");
    if (!version || *version <= 0) return std::nullopt;
    if (!versions.insert(*version).second) return std::nullopt;
    Slot slot;
    slot.version = *version;
    const auto value = entry.find("value");
    if (value != entry.end()) slot.value = *value;
    table.slots_.emplace(path, std::move(slot));
  }
  return table;
}

}  // namespace thornplank
