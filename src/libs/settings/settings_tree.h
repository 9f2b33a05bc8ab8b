// The tree of settings that operators change at run time.
//
// The root "" has client accounts at depth 1 and, below them, groups and
// services. A node inherits each value from its parent unless it sets its own.
// Documents (events, drains) are kept beside the tree. Decision code: no I/O
// and no clock; the same changes in the same order give the same tree on every
// entry.
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
  // Path of the node that sets the value; "" is the root.
  std::string node;
  // No node sets the value: it is the built-in default, and `node` is unused.
  bool built_in = false;
};

class SettingsTree {
 public:
  // Checks a change and applies it. Any verdict but kApplied leaves the tree
  // unchanged.
  ChangeResult Apply(const SettingsChange& change);

  // Number of applied changes. The version of a path is the revision that its
  // last change led to.
  int64_t revision() const { return revision_; }
  // Version of a node or document; 0 if it never existed.
  int64_t version(const std::string& path) const;
  // The values that a node sets itself, or a document; nullptr if absent. The
  // root always exists.
  const Json* own_value(const std::string& path) const;
  std::optional<NodeKind> kind(const std::string& path) const;
  // Paths of the existing nodes without the root, sorted.
  std::vector<std::string> nodes() const;
  // Names of the client accounts, sorted.
  std::vector<std::string> accounts() const;
  // Paths of the events or drains (kEventPrefix, kDrainPrefix).
  std::vector<std::string> documents(std::string_view prefix) const;
  std::optional<EventDocument> event(const std::string& name) const;
  // Names of the instances that have a drain document.
  std::vector<std::string> drained_instances() const;

  // The values in force at `path`; for a path that does not exist, those of its
  // nearest existing ancestor.
  EffectiveSettings Effective(const std::string& path) const;
  // The values in force at `path` and where each comes from, by key.
  std::map<std::string, ExplainedValue> Explain(const std::string& path) const;
  // Path of the service's node in `account`, directly or below groups;
  // `account` itself if there is none.
  std::string ServicePath(const std::string& account,
                          const std::string& service) const;

  // The rules that the tree breaks; none if only Apply has changed it.
  std::vector<std::string> Violations() const;

  Json ToJson() const;
  // Returns nullopt if `json` is malformed or the tree breaks a rule.
  static std::optional<SettingsTree> FromJson(const Json& json);

 private:
  ChangeResult Refuse(const SettingsChange& change, ChangeVerdict verdict,
                      std::vector<std::string> reasons = {}) const;
  std::vector<std::string> CheckChange(const SettingsChange& change) const;
  std::vector<std::string> CheckRemoval(const std::string& path) const;
  // Checks one node, inherited values included.
  void CheckNode(const std::string& path,
                 std::vector<std::string>* reasons) const;
  void CheckKind(const std::string& path,
                 std::vector<std::string>* reasons) const;
  void CheckDocumentAt(const std::string& path,
                       std::vector<std::string>* reasons) const;
  // Checks everything that a change at `path` can have made invalid; the rest
  // was valid before the change.
  std::vector<std::string> CheckAffected(const std::string& path) const;
  // True if the change can affect the result of a review.
  bool ChangesGuarantees(const SettingsChange& change) const;

  VersionedTable table_;
  int64_t revision_ = 0;
  // Revision of the last change for which ChangesGuarantees was true.
  // Invariant: guarantee_revision_ <= revision_.
  int64_t guarantee_revision_ = 0;
};

// True for "events/NAME" and "drains/INSTANCE".
bool IsDocumentPath(const std::string& path);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_TREE_H_
