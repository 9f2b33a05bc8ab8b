// The tree of settings that operators change while the system runs.
//
// Root "" -> client accounts at depth 1 -> groups and services. A node
// inherits each value from its parent unless it gives its own. Documents
// (events, drains) stand beside the tree. Decision code: no I/O and no clock;
// the same changes in the same order give the same tree on every entry.
#ifndef THORNPLANK_SETTINGS_SETTINGS_TREE_H_
#define THORNPLANK_SETTINGS_SETTINGS_TREE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "settings/effective_settings.h"
#include "settings/settings_change.h"
#include "settings/settings_documents.h"
#include "settings/versioned_table.h"

namespace thornplank {

// Where an effective value comes from.
struct ExplainedValue {
  Json value;
  // The node that gives it; "" is the root.
  std::string node;
  // No node gives it: the value is built in and `node` means nothing.
  bool built_in = false;
};

class SettingsTree {
 public:
  // Judges and carries out one change. Anything but kApplied leaves the tree
  // as it was.
  ChangeResult Apply(const SettingsChange& change);

  // Counts applied changes; every version is the revision that made it.
  int64_t revision() const { return revision_; }
  // Version of a node or document; 0 when it never existed.
  int64_t version(const std::string& path) const;
  // Own values of a node, or a document; nullptr when absent. The root is
  // always there.
  const Json* own(const std::string& path) const;
  std::optional<NodeKind> kind(const std::string& path) const;
  // Nodes that hold a value, root left out, sorted.
  std::vector<std::string> nodes() const;
  // Names of the client accounts, sorted.
  std::vector<std::string> accounts() const;
  // Paths of the events or drains (kEventPrefix, kDrainPrefix).
  std::vector<std::string> documents(std::string_view prefix) const;
  std::optional<EventDocument> event(const std::string& name) const;
  // Instances that are to be drained.
  std::vector<std::string> drained_instances() const;

  // What is in force at `path`. Where a path does not exist, what its nearest
  // existing ancestor has.
  EffectiveSettings Effective(const std::string& path) const;
  // The node that gives each value at `path`, by key.
  std::map<std::string, ExplainedValue> Explain(const std::string& path) const;
  // Path of the service node within `account`, groups between included; where
  // there is none, `account`.
  std::string ServicePath(const std::string& account,
                          const std::string& service) const;

  // The rules that the whole tree breaks; empty for every tree that Apply
  // made.
  std::vector<std::string> Violations() const;

  Json ToJson() const;
  // nullopt when malformed or when a rule is broken.
  static std::optional<SettingsTree> FromJson(const Json& json);

 private:
  ChangeResult Refuse(const SettingsChange& change, ChangeVerdict verdict,
                      std::vector<std::string> reasons = {}) const;
  std::vector<std::string> CheckChange(const SettingsChange& change) const;
  std::vector<std::string> CheckRemoval(const std::string& path) const;
  // Rules of one node, inherited values included.
  void CheckNode(const std::string& path,
                 std::vector<std::string>* reasons) const;
  void CheckKind(const std::string& path,
                 std::vector<std::string>* reasons) const;
  void CheckDocumentAt(const std::string& path,
                       std::vector<std::string>* reasons) const;
  // Rules of everything that a change at `path` can have broken: all else
  // was valid before it.
  std::vector<std::string> CheckAffected(const std::string& path) const;
  // True when the change can alter what a review looks at.
  bool ChangesGuarantees(const SettingsChange& change) const;

  VersionedTable table_;
  int64_t revision_ = 0;
  // Revision of the last change that ChangesGuarantees.
  // Invariant: guarantee_revision_ <= revision_.
  int64_t guarantee_revision_ = 0;
};

// True for "events/NAME" and "drains/INSTANCE".
bool IsDocumentPath(const std::string& path);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_TREE_H_
