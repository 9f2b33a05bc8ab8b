// Inheritance, validation and compare-and-set of the settings tree.
#include "settings/settings_tree.h"

#include <algorithm>
#include <utility>

#include "settings/settings_path.h"

namespace thornplank {
namespace {

// Keys that a review depends on.
constexpr const char* kGuaranteeKeys[] = {"guaranteed_slots",
                                          "guaranteed_shapes"};

std::string PathText(const std::string& path) {
  return path.empty() ? "(root)" : path;
}

bool IsDocumentKind(ChangeKind kind) {
  return kind == ChangeKind::kDocumentPut ||
         kind == ChangeKind::kDocumentRemove;
}

bool IsRemoval(ChangeKind kind) {
  return kind == ChangeKind::kRemove || kind == ChangeKind::kDocumentRemove;
}

// Overwrites the values inherited from the parent with a node's own ones.
void ReadOwnValues(const Json& own, EffectiveSettings* settings) {
  SettingsReader reader(own);
  std::optional<NodeKind> kind;
  ReadNodeKeys(reader, settings, &kind);
}

Json FieldOrNull(const Json* object, const char* key) {
  if (object == nullptr || !object->is_object()) return nullptr;
  const auto it = object->find(key);
  return it == object->end() ? Json() : *it;
}

}  // namespace

bool IsDocumentPath(const std::string& path) {
  return path.compare(0, kEventPrefix.size(), kEventPrefix) == 0 ||
         path.compare(0, kDrainPrefix.size(), kDrainPrefix) == 0;
}

int64_t SettingsTree::version(const std::string& path) const {
  return table_.version(path);
}

const Json* SettingsTree::own_value(const std::string& path) const {
  static const Json kEmpty = Json::object();
  const Json* value = table_.value(path);
  return value == nullptr && path.empty() ? &kEmpty : value;
}

std::optional<NodeKind> SettingsTree::kind(const std::string& path) const {
  const Json* value = own_value(path);
  if (value == nullptr || IsDocumentPath(path)) return std::nullopt;
  if (path.empty()) return NodeKind::kGroup;
  const std::optional<NodeKind> kind =
      NodeKindFromName(StringField(*value, "kind").value_or(""));
  if (kind) return kind;
  return PathDepth(path) == 1 ? NodeKind::kAccount : NodeKind::kService;
}

std::vector<std::string> SettingsTree::nodes() const {
  std::vector<std::string> found;
  for (std::string& path : table_.paths("")) {
    if (path.empty() || IsDocumentPath(path)) continue;
    found.push_back(std::move(path));
  }
  return found;
}

std::vector<std::string> SettingsTree::accounts() const {
  std::vector<std::string> found;
  for (std::string& path : nodes()) {
    if (PathDepth(path) == 1) found.push_back(std::move(path));
  }
  return found;
}

std::vector<std::string> SettingsTree::documents(
    std::string_view prefix) const {
  return table_.paths(prefix);
}

std::optional<EventDocument> SettingsTree::event(
    const std::string& name) const {
  const Json* value = table_.value(EventPath(name));
  if (value == nullptr) return std::nullopt;
  return ParseEvent(name, *value, nullptr);
}

std::vector<std::string> SettingsTree::drained_instances() const {
  std::vector<std::string> instances;
  for (const std::string& path : documents(kDrainPrefix)) {
    instances.push_back(path.substr(kDrainPrefix.size()));
  }
  return instances;
}

EffectiveSettings SettingsTree::Effective(const std::string& path) const {
  EffectiveSettings settings;
  for (const std::string& ancestor : PathsFromRoot(path)) {
    const Json* value = own_value(ancestor);
    if (value != nullptr) ReadOwnValues(*value, &settings);
  }
  return settings;
}

std::map<std::string, ExplainedValue> SettingsTree::Explain(
    const std::string& path) const {
  std::map<std::string, ExplainedValue> explained;
  const Json effective = thornplank::ToJson(Effective(path));
  for (const auto& [key, value] : effective.items()) {
    explained[key] = {value, "", /*built_in=*/true};
  }
  for (const std::string& ancestor : PathsFromRoot(path)) {
    const Json* value = own_value(ancestor);
    if (value == nullptr) continue;
    for (auto& [key, item] : explained) {
      if (!value->contains(key)) continue;
      item.node = ancestor;
      item.built_in = false;
    }
  }
  return explained;
}

std::string SettingsTree::ServicePath(const std::string& account,
                                      const std::string& service) const {
  for (const std::string& path : table_.paths(account + "/")) {
    if (LastSegment(path) != service) continue;
    if (kind(path) == NodeKind::kService) return path;
  }
  return account;
}

ChangeResult SettingsTree::Refuse(const SettingsChange& change,
                                  ChangeVerdict verdict,
                                  std::vector<std::string> reasons) const {
  return {verdict, version(change.path), std::move(reasons)};
}

bool SettingsTree::ChangesGuarantees(const SettingsChange& change) const {
  if (IsDocumentKind(change.kind)) {
    return change.path.compare(0, kEventPrefix.size(), kEventPrefix) == 0;
  }
  const Json* before = own_value(change.path);
  // An account inherits the guarantees of the root, so that adding or removing
  // it changes their total.
  const bool adds_or_removes_account =
      PathDepth(change.path) == 1 &&
      (before == nullptr || change.kind == ChangeKind::kRemove);
  if (adds_or_removes_account) return true;
  const Json* after = change.kind == ChangeKind::kPut ? &change.value : nullptr;
  return std::any_of(std::begin(kGuaranteeKeys), std::end(kGuaranteeKeys),
                     [&](const char* key) {
                       return FieldOrNull(before, key) !=
                              FieldOrNull(after, key);
                     });
}

ChangeResult SettingsTree::Apply(const SettingsChange& change) {
  if (change.expected_version != version(change.path)) {
    return Refuse(change, ChangeVerdict::kLostRace);
  }
  std::vector<std::string> reasons = CheckChange(change);
  if (!reasons.empty()) {
    return Refuse(change, ChangeVerdict::kInvalid, std::move(reasons));
  }
  const bool changes_guarantees = ChangesGuarantees(change);
  if (changes_guarantees && change.reviewed_revision &&
      *change.reviewed_revision < guarantee_revision_) {
    return Refuse(change, ChangeVerdict::kStaleReview);
  }
  VersionedTable::VersionedValue versioned;
  versioned.version = revision_ + 1;
  if (!IsRemoval(change.kind)) versioned.value = change.value;
  std::optional<VersionedTable::VersionedValue> before =
      table_.Exchange(change.path, std::move(versioned));
  reasons = CheckAffected(change.path);
  if (!reasons.empty()) {
    table_.Exchange(change.path, std::move(before));
    return Refuse(change, ChangeVerdict::kInvalid, std::move(reasons));
  }
  ++revision_;
  if (changes_guarantees) guarantee_revision_ = revision_;
  if (IsRemoval(change.kind)) table_.PruneTombstones();
  return {ChangeVerdict::kApplied, revision_, {}};
}

std::vector<std::string> SettingsTree::CheckChange(
    const SettingsChange& change) const {
  const std::string& path = change.path;
  if (IsDocumentKind(change.kind) != IsDocumentPath(path)) {
    return {PathText(path) + ": found a path of another kind, allowed " +
            (IsDocumentKind(change.kind) ? "events/NAME or drains/INSTANCE"
                                         : "a node of the tree")};
  }
  if (!IsDocumentPath(path)) {
    const std::string problem = PathProblem(path);
    if (!problem.empty()) return {PathText(path) + ": " + problem};
  }
  return IsRemoval(change.kind) ? CheckRemoval(path)
                                : std::vector<std::string>();
}

std::vector<std::string> SettingsTree::CheckRemoval(
    const std::string& path) const {
  if (path.empty()) return {"(root): found a removal, allowed a change"};
  if (own_value(path) == nullptr) return {path + ": found nothing to remove"};
  const std::vector<std::string> children = table_.paths(path + "/");
  if (!children.empty()) {
    return {path + ": found child nodes such as " + children.front() +
            ", allowed once they are removed"};
  }
  for (const std::string& document : documents(kEventPrefix)) {
    if (StringField(*own_value(document), "account") != path) continue;
    return {path + ": found " + document + " naming it, allowed once that " +
            "event is removed"};
  }
  return {};
}

void SettingsTree::CheckKind(const std::string& path,
                             std::vector<std::string>* reasons) const {
  const std::string parent = ParentPath(path);
  const std::optional<NodeKind> own_kind = kind(path);
  const std::string name = NodeKindName(own_kind.value_or(NodeKind::kGroup));
  if ((PathDepth(path) == 1) != (own_kind == NodeKind::kAccount)) {
    reasons->push_back(path + ": kind: found " + name +
                       ", allowed account directly under the root, service "
                       "or group below an account");
  }
  if (own_value(parent) == nullptr) {
    reasons->push_back(path + ": found no node " + parent +
                       ", allowed beneath a node that exists");
    return;
  }
  if (kind(parent) == NodeKind::kService) {
    reasons->push_back(path + ": found the service " + parent +
                       " above it, allowed beneath an account or a group");
  }
  if (own_kind != NodeKind::kService) return;
  const std::string account = path.substr(0, path.find('/'));
  for (const std::string& other : table_.paths(account + "/")) {
    if (other == path || LastSegment(other) != LastSegment(path)) continue;
    if (kind(other) != NodeKind::kService) continue;
    reasons->push_back(path + ": found the service also at " + other +
                       ", allowed each service once in an account");
  }
}

void SettingsTree::CheckNode(const std::string& path,
                             std::vector<std::string>* reasons) const {
  const Json* value = own_value(path);
  if (value == nullptr) return;
  SettingsReader reader(*value);
  EffectiveSettings ignored;
  std::optional<NodeKind> kind;
  ReadNodeKeys(reader, &ignored, &kind);
  if (path.empty() && kind && *kind != NodeKind::kGroup) {
    reader.AddProblem("kind", NodeKindName(*kind), "group at the root");
  }
  for (const SettingsProblem& problem : reader.Finish()) {
    reasons->push_back(PathText(path) + ": " + problem.ToString());
  }
  if (!reasons->empty()) return;
  if (!path.empty()) CheckKind(path, reasons);
  const EffectiveSettings effective = Effective(path);
  if (effective.default_deadline <= effective.max_deadline) return;
  reasons->push_back(PathText(path) + ": default_deadline_ms: found " +
                     std::to_string(effective.default_deadline.count()) +
                     ", allowed at most max_deadline_ms (" +
                     std::to_string(effective.max_deadline.count()) +
                     ") in force here");
}

void SettingsTree::CheckDocumentAt(const std::string& path,
                                   std::vector<std::string>* reasons) const {
  const Json* value = own_value(path);
  if (value == nullptr) return;
  for (const SettingsProblem& problem : CheckDocument(path, *value)) {
    reasons->push_back(path + ": " + problem.ToString());
  }
  if (!reasons->empty()) return;
  if (path.compare(0, kDrainPrefix.size(), kDrainPrefix) == 0) {
    const std::string name = path.substr(kDrainPrefix.size());
    if (StringField(*value, "instance") == name) return;
    reasons->push_back(path + ": instance: found another name, allowed " +
                       name);
    return;
  }
  const std::string account = StringField(*value, "account").value_or("");
  if (own_value(account) != nullptr && PathDepth(account) == 1) return;
  reasons->push_back(path + ": account: found \"" + account +
                     "\", allowed a client account of the tree");
}

std::vector<std::string> SettingsTree::CheckAffected(
    const std::string& path) const {
  std::vector<std::string> reasons;
  if (IsDocumentPath(path)) {
    CheckDocumentAt(path, &reasons);
    return reasons;
  }
  CheckNode(path, &reasons);
  if (!reasons.empty()) return reasons;
  const std::string child_prefix = path.empty() ? "" : path + "/";
  for (const std::string& node : table_.paths(child_prefix)) {
    if (node == path || IsDocumentPath(node)) continue;
    CheckNode(node, &reasons);
  }
  return reasons;
}

std::vector<std::string> SettingsTree::Violations() const {
  std::vector<std::string> reasons = CheckAffected("");
  for (const std::string& path : table_.paths("")) {
    if (IsDocumentPath(path)) {
      CheckDocumentAt(path, &reasons);
      continue;
    }
    const std::string problem = PathProblem(path);
    if (!problem.empty()) reasons.push_back(PathText(path) + ": " + problem);
  }
  return reasons;
}

Json SettingsTree::ToJson() const {
  return {{"revision", revision_},
          {"guarantee_revision", guarantee_revision_},
          {"paths", table_.ToJson()}};
}

std::optional<SettingsTree> SettingsTree::FromJson(const Json& json) {
  const std::optional<int64_t> revision = IntField(json, "revision");
  const std::optional<int64_t> guarantees =
      IntField(json, "guarantee_revision");
  const Json* paths = ObjectField(json, "paths");
  if (!revision || !guarantees || paths == nullptr) return std::nullopt;
  if (*guarantees > *revision) return std::nullopt;
  std::optional<VersionedTable> table = VersionedTable::FromJson(*paths);
  if (!table || table->newest_version() > *revision) return std::nullopt;
  SettingsTree tree;
  tree.revision_ = *revision;
  tree.guarantee_revision_ = *guarantees;
  tree.table_ = std::move(*table);
  if (!tree.Violations().empty()) return std::nullopt;
  return tree;
}

}  // namespace thornplank
