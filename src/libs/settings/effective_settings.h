// The values that a node of the settings tree can hold, as typed values.
//
// One list of keys with type and range serves validation, reading and JSON.
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

// `count` gangs of `members` x `accelerators` at once.
struct ShapeSetting {
  int members = 1;
  // For each member.
  int accelerators = 1;
  ShapeAdjacency adjacency = ShapeAdjacency::kNone;
  int count = 1;
};

// What is in force at one node, after inheritance. The initial values hold
// where no node gives a value.
// Invariant: default_deadline <= max_deadline.
struct EffectiveSettings {
  // Share of what is borrowed, relative to other accounts; above 0.
  double weight = 1.0;
  // Executor slots guaranteed over all entries.
  int guaranteed_slots = 0;
  // Requests that may wait over all entries.
  int max_queued = 1000;
  Milliseconds default_deadline{10000};
  Milliseconds max_deadline{60000};
  // Retries as a share of first attempts.
  int retry_budget_percent = 20;
  size_t max_request_bytes = 1024 * 1024;
  // Whether work beyond the guarantee may use what others leave unused.
  bool borrowing = true;
  // 0: only completion time counts; 1: only fragmentation counts.
  double fragmentation_weight = 0.5;
  std::vector<ShapeSetting> guaranteed_shapes;
  // From the order to checkpoint until a reclaimed gang is stopped.
  Milliseconds checkpoint_deadline{30000};
};

// Declares every key of a node. `*settings` keeps the values of the parent
// where the node gives none; `*kind` stays as it is when absent.
void ReadNodeKeys(SettingsReader& reader, EffectiveSettings* settings,
                  std::optional<NodeKind>* kind);

// A list of ShapeSetting under `key`.
void ReadShapes(SettingsReader& reader, const std::string& key,
                std::vector<ShapeSetting>* shapes);

// Every value under its key, as a node would give it.
Json ToJson(const EffectiveSettings& settings);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_EFFECTIVE_SETTINGS_H_
