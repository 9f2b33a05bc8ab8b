// Inheritance, sources of values, rules and compare-and-set of the tree.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "settings/settings_tree.h"

namespace thornplank {
namespace {

SettingsChange Put(const std::string& path, int64_t expected,
                   const char* value) {
  SettingsChange change;
  change.path = path;
  change.kind =
      IsDocumentPath(path) ? ChangeKind::kDocumentPut : ChangeKind::kPut;
  change.expected_version = expected;
  change.value = Json::parse(value);
  change.author = "admin";
  return change;
}

SettingsChange Remove(const std::string& path, int64_t expected) {
  SettingsChange change;
  change.path = path;
  change.kind =
      IsDocumentPath(path) ? ChangeKind::kDocumentRemove : ChangeKind::kRemove;
  change.expected_version = expected;
  return change;
}

// "north" has a group and a service, "south" an event.
SettingsTree SampleTree() {
  SettingsTree tree;
  const std::vector<SettingsChange> changes = {
      Put("", 0, R"({"weight": 2, "max_queued": 50})"),
      Put("north", 0,
          R"({"weight": 3, "guaranteed_slots": 8, "default_deadline_ms": 8000})"),
      Put("north/desk", 0, R"({"kind": "group", "max_queued": 20})"),
      Put("north/desk/claims", 0, R"({"borrowing": false})"),
      Put("south", 0, "{}"),
      Put("events/recall", 0, R"({"account": "south", "starts_at_ms": 5,
          "services": [{"service": "claims", "slots": 4}],
          "shapes": [{"members": 2, "accelerators": 8, "adjacency": "rack"}],
          "jobs": ["trace"]})"),
      Put("drains/worker-7", 0, R"({"instance": "worker-7"})"),
  };
  for (const SettingsChange& change : changes) {
    const ChangeResult result = tree.Apply(change);
    const std::string reason =
        result.reasons.empty() ? "" : result.reasons.front();
    REQUIRE_MESSAGE(result.verdict == ChangeVerdict::kApplied, reason);
  }
  return tree;
}

TEST_CASE("A value comes from the nearest node that sets it") {
  const SettingsTree tree = SampleTree();
  struct Row {
    const char* path;
    const char* key;
    const char* value;
    // "-" for a built-in value.
    const char* node;
  };
  const std::vector<Row> rows = {
      {"", "weight", "2.0", ""},
      {"north", "weight", "3.0", "north"},
      {"north/desk/claims", "weight", "3.0", "north"},
      {"north/desk/claims", "max_queued", "20", "north/desk"},
      {"north/desk/claims", "borrowing", "false", "north/desk/claims"},
      {"south", "max_queued", "50", ""},
      {"south", "borrowing", "true", "-"},
      // A service without a node has the values of its account.
      {"north/tracing", "guaranteed_slots", "8", "north"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.path);
    CAPTURE(row.key);
    const ExplainedValue explained = tree.Explain(row.path).at(row.key);
    CHECK(explained.value == Json::parse(row.value));
    CHECK((explained.built_in ? "-" : explained.node) == std::string(row.node));
    CHECK(ToJson(tree.Effective(row.path))[row.key] == explained.value);
  }
}

TEST_CASE("A parent's change reaches every node that does not override it") {
  SettingsTree tree = SampleTree();
  const auto change =
      Put("", tree.version(""), R"({"weight": 9, "max_queued": 70})");
  REQUIRE(tree.Apply(change).verdict == ChangeVerdict::kApplied);
  CHECK(tree.Effective("south").weight == 9);
  CHECK(tree.Effective("north").weight == 3);
  CHECK(tree.Effective("north/desk/claims").max_queued == 20);
}

TEST_CASE("Services, accounts, events and drains are found") {
  const SettingsTree tree = SampleTree();
  CHECK(tree.accounts() == std::vector<std::string>{"north", "south"});
  CHECK(tree.ServicePath("north", "claims") == "north/desk/claims");
  CHECK(tree.ServicePath("south", "claims") == "south");
  CHECK(tree.drained_instances() == std::vector<std::string>{"worker-7"});
  const std::optional<EventDocument> event = tree.event("recall");
  REQUIRE(event);
  CHECK(event->shapes.at(0).adjacency == ShapeAdjacency::kRack);
  CHECK(event->services.at(0).slots == 4);
}

TEST_CASE("A change that breaks a rule is refused entirely, with the reason") {
  struct Row {
    SettingsChange change;
    const char* reason;
  };
  const std::vector<Row> rows = {
      {Put("east", 0, R"({"wieght": 1})"),
       "east: wieght: found an unknown key, allowed kind, weight, "},
      {Put("east", 0, R"({"weight": 0})"),
       "east: weight: found 0, allowed a number above 0"},
      {Put("east", 0, R"({"weight": "2"})"),
       "east: weight: found string \"2\", allowed a number above 0"},
      {Put("east", 0, R"({"fragmentation_weight": 1.5})"),
       "east: fragmentation_weight: found 1.5, allowed a number from 0 to 1"},
      {Put("east", 0, R"({"checkpoint_deadline_s": 30})"),
       "east: checkpoint_deadline_s: found a key of another unit, allowed "
       "checkpoint_deadline_ms"},
      {Put("east", 0, R"({"guaranteed_shapes": [{"members": 2}]})"),
       "east: guaranteed_shapes[0].accelerators: found nothing, allowed"},
      {Put("east", 0, R"({"guaranteed_shapes":
           [{"members": 2, "accelerators": 8, "adjacency": "zone"}]})"),
       "east: guaranteed_shapes[0].adjacency: found \"zone\", allowed one of"},
      {Put("east", 0, "[]"), "east: found array [], allowed an object"},
      {Put("east", 0, R"({"kind": "service"})"),
       "east: kind: found service, allowed account directly under the root"},
      {Put("north/east", 0, R"({"kind": "account"})"),
       "north/east: kind: found account, allowed account directly under"},
      {Put("east/claims", 0, "{}"),
       "east/claims: found no node east, allowed beneath a node that exists"},
      {Put("north/desk/claims/deep", 0, "{}"),
       "north/desk/claims/deep: found the service north/desk/claims above it"},
      {Put("north/claims", 0, "{}"),
       "north/claims: found the service also at north/desk/claims"},
      {Put("north/a b", 0, "{}"), "north/a b: found the name \"a b\""},
      {Put("north//b", 0, "{}"), "north//b: found the name \"\""},
      {Put("events", 0, "{}"), "events: found the reserved name events"},
      {Put("a/b/c/d/e/f/g/h/i", 0, "{}"),
       "a/b/c/d/e/f/g/h/i: found depth 9, allowed at most 8"},
      {Put("east", 0, R"({"max_deadline_ms": 10})"),
       "east: default_deadline_ms: found 10000, allowed at most "
       "max_deadline_ms (10) in force here"},
      {Put("", 1, R"({"max_deadline_ms": 9000})"),
       "(root): default_deadline_ms: found 10000, allowed at most"},
      // Breaks the rule only at a child that inherits the value.
      {Put("", 1, R"({"default_deadline_ms": 100, "max_deadline_ms": 7000})"),
       "north: default_deadline_ms: found 8000, allowed at most "
       "max_deadline_ms (7000) in force here"},
      {Remove("", 1), "(root): found a removal, allowed a change"},
      {Remove("east", 0), "east: found nothing to remove"},
      {Remove("north", 2), "north: found child nodes such as north/desk"},
      {Remove("south", 5), "south: found events/recall naming it, allowed"},
      {Put("events/sale", 0, R"({"account": "east", "starts_at_ms": 1})"),
       "events/sale: account: found \"east\", allowed a client account"},
      {Put("events/sale", 0, R"({"account": "south"})"),
       "events/sale: starts_at_ms: found nothing, allowed"},
      {Put("events/sale", 0, R"({"account": "south", "starts_at_ms": 1,
           "services": [{"service": "a", "slots": 1},
                        {"service": "a", "slots": 2}]})"),
       "events/sale: services: found \"a\" a second time, allowed each"},
      {Put("drains/w", 0, R"({"instance": "v"})"),
       "drains/w: instance: found another name, allowed w"},
  };
  const SettingsTree before = SampleTree();
  for (const Row& row : rows) {
    CAPTURE(row.reason);
    SettingsTree tree = before;
    const ChangeResult result = tree.Apply(row.change);
    CHECK(result.verdict == ChangeVerdict::kInvalid);
    REQUIRE_FALSE(result.reasons.empty());
    CAPTURE(result.reasons.front());
    CHECK(result.reasons.front().rfind(row.reason, 0) == 0);
    CHECK(tree.ToJson() == before.ToJson());
  }
}

TEST_CASE(
    "Of two changes to one version the second loses and changes nothing") {
  SettingsTree tree = SampleTree();
  const int64_t version = tree.version("north");
  CHECK(tree.Apply(Put("north", version, R"({"weight": 5})")).verdict ==
        ChangeVerdict::kApplied);
  const Json after_first = tree.ToJson();
  const ChangeResult second =
      tree.Apply(Put("north", version, R"({"weight": 6})"));
  CHECK(second.verdict == ChangeVerdict::kLostRace);
  CHECK(second.version == tree.version("north"));
  CHECK(tree.ToJson() == after_first);
}

TEST_CASE("A delayed create does not bring back a removed node") {
  SettingsTree tree = SampleTree();
  const SettingsChange create = Put("east", 0, R"({"weight": 4})");
  REQUIRE(tree.Apply(create).verdict == ChangeVerdict::kApplied);
  REQUIRE(tree.Apply(Remove("east", tree.version("east"))).verdict ==
          ChangeVerdict::kApplied);
  CHECK(tree.Apply(create).verdict == ChangeVerdict::kLostRace);
  CHECK(tree.own_value("east") == nullptr);
  // A create that expects the version of the removal is applied.
  CHECK(tree.Apply(Put("east", tree.version("east"), "{}")).verdict ==
        ChangeVerdict::kApplied);
}

TEST_CASE(
    "A change to guarantees is stale after another one since its review") {
  SettingsTree tree = SampleTree();
  const int64_t reviewed = tree.revision();
  SettingsChange first =
      Put("north", tree.version("north"), R"({"guaranteed_slots": 9})");
  SettingsChange second =
      Put("south", tree.version("south"), R"({"guaranteed_slots": 9})");
  SettingsChange other =
      Put("north/desk", tree.version("north/desk"), R"({"kind": "group"})");
  for (SettingsChange* change : {&first, &second, &other}) {
    change->reviewed_revision = reviewed;
  }
  CHECK(tree.Apply(first).verdict == ChangeVerdict::kApplied);
  CHECK(tree.Apply(second).verdict == ChangeVerdict::kStaleReview);
  CHECK(tree.Apply(other).verdict == ChangeVerdict::kApplied);
  second.reviewed_revision = tree.revision();
  CHECK(tree.Apply(second).verdict == ChangeVerdict::kApplied);
}

TEST_CASE("JSON gives the same tree back, and none if it breaks a rule") {
  const SettingsTree tree = SampleTree();
  const Json json = tree.ToJson();
  const std::optional<SettingsTree> read = SettingsTree::FromJson(json);
  REQUIRE(read);
  CHECK(read->ToJson() == json);
  const std::vector<const char*> patches = {
      R"({"revision": null})",
      R"({"revision": 3})",
      R"({"paths": {"north": {"version": 0}}})",
      R"({"paths": {"north": {"version": 1}}})",
      R"({"paths": {"north": {"value": {"weight": -1}}}})",
      R"({"paths": {"north": null}})",
  };
  for (const char* patch : patches) {
    CAPTURE(patch);
    Json changed = json;
    changed.merge_patch(Json::parse(patch));
    CHECK_FALSE(SettingsTree::FromJson(changed));
  }
}

}  // namespace
}  // namespace thornplank
