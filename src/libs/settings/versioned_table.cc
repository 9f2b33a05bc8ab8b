// Storage and JSON form of versioned values.
#include "settings/versioned_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace thornplank {
namespace {

constexpr size_t kMaxTombstones = 2000;

}  // namespace

int64_t VersionedTable::version(const std::string& path) const {
  const auto it = values_.find(path);
  return it == values_.end() ? 0 : it->second.version;
}

const Json* VersionedTable::value(const std::string& path) const {
  const auto it = values_.find(path);
  if (it == values_.end() || !it->second.value) return nullptr;
  return &*it->second.value;
}

int64_t VersionedTable::newest_version() const {
  int64_t newest = 0;
  for (const auto& [path, versioned] : values_) {
    newest = std::max(newest, versioned.version);
  }
  return newest;
}

std::vector<std::string> VersionedTable::paths(std::string_view prefix) const {
  std::vector<std::string> found;
  for (auto it = values_.lower_bound(std::string(prefix)); it != values_.end();
       ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (it->second.value) found.push_back(it->first);
  }
  return found;
}

std::optional<VersionedTable::VersionedValue> VersionedTable::Exchange(
    const std::string& path, std::optional<VersionedValue> versioned) {
  std::optional<VersionedValue> before;
  const auto it = values_.find(path);
  if (it != values_.end()) {
    before = std::move(it->second);
    values_.erase(it);
  }
  if (versioned) values_.emplace(path, std::move(*versioned));
  return before;
}

void VersionedTable::PruneTombstones() {
  std::map<int64_t, std::string> tombstones;
  for (const auto& [path, versioned] : values_) {
    if (!versioned.value) tombstones.emplace(versioned.version, path);
  }
  size_t kept = tombstones.size();
  for (const auto& [version, path] : tombstones) {
    if (kept <= kMaxTombstones) break;
    values_.erase(path);
    --kept;
  }
}

Json VersionedTable::ToJson() const {
  Json json = Json::object();
  for (const auto& [path, versioned] : values_) {
    Json& item = json[path];
    item["version"] = versioned.version;
    if (versioned.value) item["value"] = *versioned.value;
  }
  return json;
}

std::optional<VersionedTable> VersionedTable::FromJson(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  VersionedTable table;
  std::set<int64_t> versions;
  for (const auto& [path, item] : json.items()) {
    const std::optional<int64_t> version = IntField(item, "version");
    if (!version || *version <= 0) return std::nullopt;
    if (!versions.insert(*version).second) return std::nullopt;
    VersionedValue versioned;
    versioned.version = *version;
    const auto value = item.find("value");
    if (value != item.end()) versioned.value = *value;
    table.values_.emplace(path, std::move(versioned));
  }
  return table;
}

}  // namespace thornplank
