// Keys, ranges and JSON form of the values of a node.
#include "settings/effective_settings.h"

#include <utility>

namespace thornplank {
namespace {

constexpr NumberRange kWeightRange{0, 1e6, /*above_min=*/true};
constexpr NumberRange kFractionRange{0, 1};
constexpr IntRange kCountRange{0, 1'000'000};
constexpr IntRange kPercentRange{0, 100};
constexpr IntRange kRequestBytesRange{1, 1LL << 30};
constexpr IntRange kMemberRange{1, 100'000};
constexpr IntRange kAcceleratorRange{1, 1024};
constexpr IntRange kShapeCountRange{1, 100'000};
constexpr DurationRange kDeadlineRange{Milliseconds(1),
                                       Milliseconds(86'400'000)};

std::string AdjacencyName(ShapeAdjacency adjacency) {
  return adjacency == ShapeAdjacency::kRack ? "rack" : "none";
}

void ReadShape(SettingsReader& reader, ShapeSetting* shape) {
  reader.Int("members", Presence::kRequired, kMemberRange, &shape->members);
  reader.Int("accelerators", Presence::kRequired, kAcceleratorRange,
             &shape->accelerators);
  reader.Choose<ShapeAdjacency>(
      "adjacency", Presence::kOptional,
      {{"none", ShapeAdjacency::kNone}, {"rack", ShapeAdjacency::kRack}},
      &shape->adjacency);
  reader.Int("count", Presence::kOptional, kShapeCountRange, &shape->count);
}

Json ToJson(const ShapeSetting& shape) {
  return {{"members", shape.members},
          {"accelerators", shape.accelerators},
          {"adjacency", AdjacencyName(shape.adjacency)},
          {"count", shape.count}};
}

}  // namespace

std::string NodeKindName(NodeKind kind) {
  switch (kind) {
    case NodeKind::kGroup:
      return "group";
    case NodeKind::kAccount:
      return "account";
    case NodeKind::kService:
      return "service";
  }
  return "";
}

std::optional<NodeKind> NodeKindFromName(std::string_view name) {
  for (const NodeKind kind :
       {NodeKind::kGroup, NodeKind::kAccount, NodeKind::kService}) {
    if (NodeKindName(kind) == name) return kind;
  }
  return std::nullopt;
}

void ReadShapes(SettingsReader& reader, const std::string& key,
                std::vector<ShapeSetting>* shapes) {
  std::vector<ShapeSetting> read;
  bool present = false;
  reader.List(
      key, Presence::kOptional, /*min_items=*/0,
      [&read](SettingsReader& item) {
        ShapeSetting shape;
        ReadShape(item, &shape);
        read.push_back(shape);
      },
      &present);
  if (present) *shapes = std::move(read);
}

void ReadNodeKeys(SettingsReader& reader, EffectiveSettings* settings,
                  std::optional<NodeKind>* kind) {
  constexpr Presence kOptional = Presence::kOptional;
  NodeKind read_kind = kind->value_or(NodeKind::kGroup);
  const bool has_kind =
      reader.Choose<NodeKind>("kind", kOptional,
                              {{"group", NodeKind::kGroup},
                               {"account", NodeKind::kAccount},
                               {"service", NodeKind::kService}},
                              &read_kind);
  if (has_kind) *kind = read_kind;
  reader.Number("weight", kOptional, kWeightRange, &settings->weight);
  reader.Int("guaranteed_slots", kOptional, kCountRange,
             &settings->guaranteed_slots);
  reader.Int("max_queued", kOptional, kCountRange, &settings->max_queued);
  reader.Duration("default_deadline_ms", kOptional, kDeadlineRange,
                  &settings->default_deadline);
  reader.Duration("max_deadline_ms", kOptional, kDeadlineRange,
                  &settings->max_deadline);
  reader.Int("retry_budget_percent", kOptional, kPercentRange,
             &settings->retry_budget_percent);
  reader.Int("max_request_bytes", kOptional, kRequestBytesRange,
             &settings->max_request_bytes);
  reader.Bool("borrowing", kOptional, &settings->borrowing);
  reader.Number("fragmentation_weight", kOptional, kFractionRange,
                &settings->fragmentation_weight);
  ReadShapes(reader, "guaranteed_shapes", &settings->guaranteed_shapes);
  reader.Duration("checkpoint_deadline_ms", kOptional, kDeadlineRange,
                  &settings->checkpoint_deadline);
}

Json ToJson(const EffectiveSettings& settings) {
  Json shapes = Json::array();
  for (const ShapeSetting& shape : settings.guaranteed_shapes) {
    shapes.push_back(ToJson(shape));
  }
  return {{"weight", settings.weight},
          {"guaranteed_slots", settings.guaranteed_slots},
          {"max_queued", settings.max_queued},
          {"default_deadline_ms", settings.default_deadline.count()},
          {"max_deadline_ms", settings.max_deadline.count()},
          {"retry_budget_percent", settings.retry_budget_percent},
          {"max_request_bytes", settings.max_request_bytes},
          {"borrowing", settings.borrowing},
          {"fragmentation_weight", settings.fragmentation_weight},
          {"guaranteed_shapes", std::move(shapes)},
          {"checkpoint_deadline_ms", settings.checkpoint_deadline.count()}};
}

}  // namespace thornplank
