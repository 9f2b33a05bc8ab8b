// Typed values of a node of the settings tree.
//
// ReadNodeKeys declares the keys with their types and ranges, for validation as
// well as for reading.
#ifndef THORNPLANK_SETTINGS_EFFECTIVE_SETTINGS_H_
#define THORNPLANK_SETTINGS_EFFECTIVE_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "settings/settings_reader.h"

namespace thornplank {

enum class NodeKind { kGroup, kAccount, kService };

// "group", "account", "service".
std::string NodeKindName(NodeKind kind);
std::optional<NodeKind> NodeKindFromName(std::string_view name);

enum class ShapeAdjacency { kNone, kRack };

// Capacity for `count` simultaneous gangs, each of `members` members with
// `accelerators` accelerators.
struct ShapeSetting {
  int members = 1;
  // Per member.
  int accelerators = 1;
  ShapeAdjacency adjacency = ShapeAdjacency::kNone;
  int count = 1;
};

// The values in force at a node, after inheritance. The initial values are the
// built-in defaults, used where neither the node nor an ancestor sets a value.
// Invariant: default_deadline <= max_deadline.
struct EffectiveSettings {
  // Weight by which accounts share borrowed capacity; above 0.
  double weight = 1.0;
  // Executor slots guaranteed over all entries.
  int guaranteed_slots = 0;
  // Maximum number of queued requests over all entries.
  int max_queued = 1000;
  Milliseconds default_deadline{10000};
  Milliseconds max_deadline{60000};
  // Retries as a percentage of first attempts.
  int retry_budget_percent = 20;
  size_t max_request_bytes = 1024 * 1024;
  // Whether work beyond the guarantee may use capacity that other accounts
  // leave unused.
  bool borrowing = true;
  // 0: only completion time counts; 1: only fragmentation counts.
  double fragmentation_weight = 0.5;
  std::vector<ShapeSetting> guaranteed_shapes;
  // Time from the checkpoint order until a reclaimed gang is stopped.
  Milliseconds checkpoint_deadline{30000};
};

// Declares every key of a node. A key that the node does not set leaves its
// value in `*settings` unchanged, so that callers pass in the values of the
// parent; `*kind` is likewise unchanged when the node names no kind.
void ReadNodeKeys(SettingsReader& reader, EffectiveSettings* settings,
                  std::optional<NodeKind>* kind);

// Reads a list of ShapeSetting under `key`; `*shapes` is unchanged when the key
// is absent.
void ReadShapes(SettingsReader& reader, const std::string& key,
                std::vector<ShapeSetting>* shapes);

// All values under the keys that a node uses for them.
Json ToJson(const EffectiveSettings& settings);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_EFFECTIVE_SETTINGS_H_
