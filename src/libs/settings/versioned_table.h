// Values by path, each with a version that is never reused.
//
// A removed path keeps a tombstone with the version of its removal, so that a
// delayed create that expects an earlier version cannot bring the path back.
#ifndef THORNPLANK_SETTINGS_VERSIONED_TABLE_H_
#define THORNPLANK_SETTINGS_VERSIONED_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"

namespace thornplank {

class VersionedTable {
 public:
  // A value, or the tombstone of a removed one.
  struct VersionedValue {
    int64_t version = 0;
    // Empty in a tombstone.
    std::optional<Json> value;
  };

  // 0 if the path never existed or its tombstone was pruned.
  int64_t version(const std::string& path) const;
  // nullptr if absent.
  const Json* value(const std::string& path) const;
  // The highest version of all paths, tombstones included; 0 if there is none.
  int64_t newest_version() const;
  // Paths that hold a value and begin with `prefix`, sorted.
  std::vector<std::string> paths(std::string_view prefix) const;

  // Sets the value or tombstone of a path, or deletes the path if `versioned`
  // is empty. Returns the previous one.
  std::optional<VersionedValue> Exchange(
      const std::string& path, std::optional<VersionedValue> versioned);

  // Deletes the oldest tombstones beyond a fixed number. This depends on the
  // table alone, so that all entries delete the same ones.
  void PruneTombstones();

  Json ToJson() const;
  // Returns nullopt if malformed.
  static std::optional<VersionedTable> FromJson(const Json& json);

 private:
  // By path. Invariant: all versions differ and are above 0.
  std::map<std::string, VersionedValue> values_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_VERSIONED_TABLE_H_
