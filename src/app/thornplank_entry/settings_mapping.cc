// Reads the effective settings and the documents of the tree.
#include "settings_mapping.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "settings/settings_tree.h"

namespace thornplank {
namespace {

AccountLimits MapLimits(const std::string& account, const std::string& service,
                        const EffectiveSettings& settings) {
  AccountLimits limits;
  limits.account = account;
  limits.service = service;
  limits.weight = settings.weight;
  limits.guaranteed_slots = settings.guaranteed_slots;
  limits.max_queued = settings.max_queued;
  limits.retry_budget_percent = settings.retry_budget_percent;
  limits.borrowing = settings.borrowing;
  return limits;
}

std::vector<GuaranteedShape> MapShapes(
    const std::vector<ShapeSetting>& shapes) {
  std::vector<GuaranteedShape> result;
  for (const ShapeSetting& shape : shapes) {
    GuaranteedShape mapped;
    mapped.shape.members = shape.members;
    mapped.shape.accelerators_per_member = shape.accelerators;
    mapped.shape.adjacency = shape.adjacency == ShapeAdjacency::kRack
                                 ? Adjacency::kRack
                                 : Adjacency::kAnywhere;
    mapped.count = shape.count;
    result.push_back(mapped);
  }
  return result;
}

std::string FirstSegment(const std::string& path) {
  return path.substr(0, path.find('/'));
}

std::string LastSegment(const std::string& path) {
  const size_t slash = path.rfind('/');
  return slash == std::string::npos ? path : path.substr(slash + 1);
}

}  // namespace

std::vector<AccountLimits> MapAccountLimits(const SettingsTree& tree) {
  std::vector<AccountLimits> result;
  for (const std::string& account : tree.accounts()) {
    result.push_back(MapLimits(account, "", tree.Effective(account)));
  }
  for (const std::string& path : tree.nodes()) {
    if (tree.kind(path) != NodeKind::kService) continue;
    result.push_back(
        MapLimits(FirstSegment(path), LastSegment(path), tree.Effective(path)));
  }
  return result;
}

std::vector<AccountGuarantee> MapGuarantees(const SettingsTree& tree) {
  std::vector<AccountGuarantee> result;
  for (const std::string& account : tree.accounts()) {
    const EffectiveSettings settings = tree.Effective(account);
    AccountGuarantee guarantee;
    guarantee.account = account;
    guarantee.shapes = MapShapes(settings.guaranteed_shapes);
    guarantee.weight = settings.weight;
    guarantee.borrowing = settings.borrowing;
    guarantee.fragmentation_weight = settings.fragmentation_weight;
    guarantee.checkpoint_deadline = settings.checkpoint_deadline;
    result.push_back(std::move(guarantee));
  }
  return result;
}

std::vector<EventReservation> MapEvents(const SettingsTree& tree, Time now,
                                        WallTime wall_now) {
  std::vector<EventReservation> result;
  for (const std::string& path : tree.documents(kEventPrefix)) {
    const std::optional<EventDocument> event = tree.event(LastSegment(path));
    if (!event.has_value()) continue;
    EventReservation reservation;
    reservation.name = event->name;
    reservation.account = event->account;
    reservation.start =
        now + std::chrono::duration_cast<Duration>(event->starts_at - wall_now);
    reservation.shapes = MapShapes(event->shapes);
    result.push_back(std::move(reservation));
  }
  return result;
}

std::set<std::string> MapDrains(const SettingsTree& tree) {
  const std::vector<std::string> drained = tree.drained_instances();
  return std::set<std::string>(drained.begin(), drained.end());
}

}  // namespace thornplank
