// Values by path, each with a version that never returns.
//
// A removed path keeps the version of its removal, so that a late create
// which was meant for an earlier absence cannot bring the path back.
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
  struct Slot {
    int64_t version = 0;
    // Empty: the path was removed at `version`.
    std::optional<Json> value;
  };

  // 0 when the path never existed.
  int64_t version(const std::string& path) const;
  // nullptr when absent.
  const Json* value(const std::string& path) const;
  // The highest version of all paths; 0 when empty.
  int64_t newest_version() const;
  // Paths that hold a value and begin with `prefix`, sorted.
  std::vector<std::string> paths(std::string_view prefix) const;

  // Returns what stood there before.
  std::optional<Slot> Exchange(const std::string& path,
                               std::optional<Slot> slot);

  // Forgets the oldest removals beyond a fixed number. The same on every
  // entry, since it depends on the table alone.
  void ForgetOldRemovals();

  Json ToJson() const;
  // nullopt when malformed.
  static std::optional<VersionedTable> FromJson(const Json& json);

 private:
  // Invariant: all versions differ and are above 0.
  std::map<std::string, Slot> slots_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_VERSIONED_TABLE_H_
