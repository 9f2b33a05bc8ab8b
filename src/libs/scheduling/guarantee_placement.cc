#include "scheduling/guarantee_placement.h"

#include <algorithm>
#include <map>

namespace thornplank {
namespace {

// Whether jobs of `owner` may use the cell.
bool IsOpenTo(const Cell& cell, const CellOwner& owner) {
  if (cell.retired || cell.owner.account != owner.account) return false;
  if (owner.event.empty()) {
    return cell.owner.event.empty() && cell.lent_to.empty();
  }
  return cell.owner.event == owner.event || cell.lent_to == owner.event;
}

// Whether only jobs of `event` may use the cell. `event` must not be empty.
bool IsOnlyFor(const Cell& cell, const std::string& event) {
  if (cell.retired) return false;
  return cell.owner.event == event || cell.lent_to == event;
}

Cell MakeCell(const CellDemand& demand) {
  Cell cell;
  cell.owner = demand.owner;
  cell.declared = demand.guaranteed.shape;
  cell.shape = cell.declared;
  if (cell.declared.adjacency == Adjacency::kAnywhere) cell.shape.members = 1;
  return cell;
}

// Number of cells that `guaranteed` needs.
int CellCount(const GuaranteedShape& guaranteed) {
  const bool rack = guaranteed.shape.adjacency == Adjacency::kRack;
  return rack ? guaranteed.count : guaranteed.count * guaranteed.shape.members;
}

bool NeedsOneRack(const Shape& shape) {
  return shape.adjacency == Adjacency::kRack && shape.members > 1;
}

bool IsSingleRack(const ClusterModel& cluster,
                  const std::vector<WorkerIndex>& workers) {
  return std::all_of(workers.begin(), workers.end(), [&](WorkerIndex worker) {
    return cluster.rack_of(worker) == cluster.rack_of(workers.front());
  });
}

}  // namespace

GuaranteePlacement::GuaranteePlacement(const ClusterModel& cluster,
                                       uint64_t seed)
    : cluster_(cluster), layout_(cluster, seed) {}

void GuaranteePlacement::SetDemands(const std::vector<CellDemand>& demands) {
  std::vector<bool> kept(cells().size(), false);
  std::vector<Cell> added;
  for (const CellDemand& demand : demands) {
    int missing = CellCount(demand.guaranteed);
    // Cells with allocations are kept in preference to unused ones.
    for (const bool in_use : {true, false}) {
      for (size_t i = 0; i < cells().size() && missing > 0; ++i) {
        const Cell& cell = cells()[i];
        if (kept[i] || cell.retired || (cell.occupants > 0) != in_use) continue;
        if (!(cell.owner == demand.owner)) continue;
        if (!(cell.declared == demand.guaranteed.shape)) continue;
        kept[i] = true;
        --missing;
      }
    }
    added.insert(added.end(), missing, MakeCell(demand));
  }
  for (size_t i = 0; i < kept.size(); ++i) {
    if (!kept[i] && !cells()[i].retired) layout_.Retire(static_cast<int>(i));
  }
  for (Cell& cell : added) layout_.Add(std::move(cell));
  layout_.Repair();
}

void GuaranteePlacement::Repair() { layout_.Repair(); }

std::vector<int> GuaranteePlacement::CellsOf(const CellOwner& owner) const {
  std::vector<int> found;
  for (size_t i = 0; i < cells().size(); ++i) {
    if (IsOpenTo(cells()[i], owner)) found.push_back(static_cast<int>(i));
  }
  return found;
}

// Number of members of `shape` that fit into the unallocated part of the cell,
// or into the whole cell if `assume_unused`.
int GuaranteePlacement::CountFreeMembers(const Cell& cell, const Shape& shape,
                                         bool assume_unused) const {
  const int size = cell.shape.accelerators_per_member;
  if (assume_unused) {
    return cell.shape.members * (size / shape.accelerators_per_member);
  }
  if (!cell.placed) return 0;
  int members = 0;
  for (const CellSlot& slot : cell.slots) {
    if (cluster_.capacity(slot.worker) == 0) continue;
    members += (size - slot.used) / shape.accelerators_per_member;
  }
  return members;
}

// Order of preference: an unused rack cell of exactly this shape; for members
// that need not share a rack, units, those in use first; a rack cell that is
// partly in use; the smallest unused rack cell; any mixture of cells.
std::optional<std::vector<int>> GuaranteePlacement::ChooseCells(
    const CellOwner& owner, const Shape& shape, bool assume_unused) const {
  struct Option {
    int cell;
    int members;
    bool in_use;
    bool unit;
    int size;
  };
  std::vector<Option> options;
  for (const int index : CellsOf(owner)) {
    const Cell& cell = cells()[index];
    const int members = CountFreeMembers(cell, shape, assume_unused);
    if (members == 0) continue;
    const bool in_use = cell.occupants > 0 && !assume_unused;
    const bool exact = !cell.is_unit() && !in_use && cell.shape == shape;
    if (exact) return std::vector<int>{index};
    options.push_back(
        {index, members, in_use, cell.is_unit(), cell.shape.accelerators()});
  }
  std::sort(options.begin(), options.end(),
            [](const Option& a, const Option& b) {
              if (a.unit != b.unit) return a.unit;
              if (a.in_use != b.in_use) return a.in_use;
              if (a.size != b.size) return a.size < b.size;
              return a.cell < b.cell;
            });
  if (NeedsOneRack(shape)) {
    // Only the slots of a single cell are known to lie in the same rack.
    for (const Option& option : options) {
      if (option.members >= shape.members) return std::vector<int>{option.cell};
    }
    return std::nullopt;
  }
  std::vector<int> units;
  int unit_members = 0;
  for (const Option& option : options) {
    if (unit_members >= shape.members || !option.unit) break;
    units.push_back(option.cell);
    unit_members += option.members;
  }
  if (unit_members >= shape.members) return units;
  for (const Option& option : options) {
    if (!option.unit && option.members >= shape.members) {
      return std::vector<int>{option.cell};
    }
  }
  std::vector<int> mixture;
  int members = 0;
  for (const Option& option : options) {
    mixture.push_back(option.cell);
    members += option.members;
    if (members >= shape.members) return mixture;
  }
  return std::nullopt;
}

std::optional<CellAllocation> GuaranteePlacement::Allocate(
    const CellOwner& owner, const Shape& shape, const PlacementCost& cost) {
  const std::optional<std::vector<int>> chosen =
      ChooseCells(owner, shape, false);
  if (!chosen) return std::nullopt;
  std::vector<int> moving;
  for (const int index : *chosen) {
    if (cells()[index].occupants == 0 && !cells()[index].pinned) {
      moving.push_back(index);
    }
  }
  if (!moving.empty()) layout_.Relocate(moving, cost);
  CellAllocation result = AllocateSlots(*chosen, shape);
  if (static_cast<int>(result.slots.size()) == shape.members) return result;
  Release(result);
  return std::nullopt;
}

// Allocates slots on free accelerators first. The result has fewer slots than
// `shape` has members if the cells do not hold all of them.
CellAllocation GuaranteePlacement::AllocateSlots(const std::vector<int>& chosen,
                                                 const Shape& shape) {
  struct Slot {
    int cell;
    int slot;
    bool free;
  };
  std::vector<Slot> slots;
  for (const int index : chosen) {
    const Cell& cell = cells()[index];
    for (size_t i = 0; cell.placed && i < cell.slots.size(); ++i) {
      const WorkerIndex worker = cell.slots[i].worker;
      if (cluster_.capacity(worker) == 0) continue;
      const bool free =
          cluster_.free(worker) >= cell.shape.accelerators_per_member;
      slots.push_back({index, static_cast<int>(i), free});
    }
  }
  std::stable_sort(
      slots.begin(), slots.end(),
      [](const Slot& a, const Slot& b) { return a.free && !b.free; });
  CellAllocation allocation;
  for (const Slot& slot : slots) {
    const Cell& cell = cells()[slot.cell];
    const int left =
        cell.shape.accelerators_per_member - cell.slots[slot.slot].used;
    int members = left / shape.accelerators_per_member;
    while (members-- > 0 &&
           static_cast<int>(allocation.slots.size()) < shape.members) {
      layout_.AllocateSlot(slot.cell, slot.slot, shape.accelerators_per_member);
      allocation.slots.push_back(
          {slot.cell, slot.slot, shape.accelerators_per_member});
      allocation.workers.push_back(cell.slots[slot.slot].worker);
    }
  }
  return allocation;
}

std::optional<int> GuaranteePlacement::FindExactRackCell(
    const CellOwner& owner, const Shape& shape,
    const std::vector<WorkerIndex>& at) const {
  if (!IsSingleRack(cluster_, at)) return std::nullopt;
  for (const int index : CellsOf(owner)) {
    const Cell& cell = cells()[index];
    if (cell.is_unit() || cell.occupants > 0) continue;
    if (cell.shape.members != shape.members) continue;
    if (cell.shape.accelerators_per_member != shape.accelerators_per_member) {
      continue;
    }
    return index;
  }
  return std::nullopt;
}

std::optional<CellAllocation> GuaranteePlacement::AllocateAt(
    const CellOwner& owner, const Shape& shape,
    const std::vector<WorkerIndex>& workers) {
  std::vector<int> moving;
  std::vector<std::vector<WorkerIndex>> places;
  if (const std::optional<int> exact =
          FindExactRackCell(owner, shape, workers)) {
    moving.push_back(*exact);
    places.push_back(workers);
  } else if (!NeedsOneRack(shape)) {
    for (const int index : CellsOf(owner)) {
      const Cell& cell = cells()[index];
      if (moving.size() == workers.size()) break;
      if (!cell.is_unit() || cell.occupants > 0) continue;
      if (cell.shape.accelerators_per_member < shape.accelerators_per_member) {
        continue;
      }
      places.push_back({workers[moving.size()]});
      moving.push_back(index);
    }
  }
  int slots = 0;
  for (const int index : moving) slots += cells()[index].shape.members;
  if (slots != shape.members) return std::nullopt;
  if (!layout_.RelocateTo(moving, places)) return std::nullopt;
  CellAllocation allocation;
  allocation.workers = workers;
  for (const int index : moving) {
    for (int i = 0; i < cells()[index].shape.members; ++i) {
      layout_.AllocateSlot(index, i, shape.accelerators_per_member);
      allocation.slots.push_back({index, i, shape.accelerators_per_member});
    }
  }
  return allocation;
}

void GuaranteePlacement::Release(const CellAllocation& allocation) {
  for (const SlotAllocation& slot : allocation.slots) {
    layout_.FreeSlot(slot.cell, slot.slot, slot.accelerators);
  }
}

bool GuaranteePlacement::IsStillValid(const CellOwner& owner,
                                      const CellAllocation& allocation) const {
  return std::all_of(allocation.slots.begin(), allocation.slots.end(),
                     [&](const SlotAllocation& slot) {
                       return IsOpenTo(cells()[slot.cell], owner);
                     });
}

bool GuaranteePlacement::CanEverHold(const CellOwner& owner,
                                     const Shape& shape) const {
  return ChooseCells(owner, shape, true).has_value();
}

void GuaranteePlacement::Lend(const std::string& account,
                              const std::string& event,
                              const GuaranteedShape& guaranteed) {
  int wanted = CellCount(guaranteed);
  const auto matches = [&](const Cell& cell) {
    return !cell.retired && cell.owner == CellOwner{account, ""} &&
           cell.declared == guaranteed.shape;
  };
  for (const Cell& cell : cells()) {
    if (matches(cell) && cell.lent_to == event) --wanted;
  }
  for (const bool in_use : {false, true}) {
    for (size_t i = 0; i < cells().size() && wanted > 0; ++i) {
      const Cell& cell = cells()[i];
      if (!matches(cell) || !cell.lent_to.empty()) continue;
      if ((cell.occupants > 0) != in_use) continue;
      layout_.SetLentTo(static_cast<int>(i), event);
      --wanted;
    }
  }
}

void GuaranteePlacement::EndLoans(const std::string& event) {
  for (size_t i = 0; i < cells().size(); ++i) {
    const int index = static_cast<int>(i);
    if (!IsOnlyFor(cells()[i], event)) continue;
    layout_.SetPinned(index, false);
    layout_.SetLentTo(index, "");
  }
}

void GuaranteePlacement::PlaceAndPin(const std::string& event,
                                     const PlacementCost& cost) {
  std::vector<int> moving;
  for (size_t i = 0; i < cells().size(); ++i) {
    const Cell& cell = cells()[i];
    if (!IsOnlyFor(cell, event) || cell.occupants > 0 || cell.pinned) continue;
    moving.push_back(static_cast<int>(i));
  }
  std::stable_sort(moving.begin(), moving.end(), [this](int a, int b) {
    return cells()[a].shape.accelerators() > cells()[b].shape.accelerators();
  });
  if (moving.empty()) return;
  layout_.Relocate(moving, cost);
  for (const int index : moving) layout_.SetPinned(index, true);
}

AcceleratorsByWorker GuaranteePlacement::UnusedReserved() const {
  AcceleratorsByWorker reserved(cluster_.size(), 0);
  for (const Cell& cell : cells()) {
    if (cell.retired) continue;
    for (const CellSlot& slot : cell.slots) {
      if (slot.worker == kNoWorker) continue;
      reserved[slot.worker] += cell.shape.accelerators_per_member - slot.used;
    }
  }
  return reserved;
}

AcceleratorsByWorker GuaranteePlacement::UnusedReservedFor(
    const std::string& event) const {
  AcceleratorsByWorker reserved(cluster_.size(), 0);
  for (const Cell& cell : cells()) {
    if (!IsOnlyFor(cell, event)) continue;
    for (const CellSlot& slot : cell.slots) {
      if (slot.worker == kNoWorker) continue;
      reserved[slot.worker] += cell.shape.accelerators_per_member - slot.used;
    }
  }
  return reserved;
}

std::string GuaranteePlacement::Shortfall(const CellOwner& owner) const {
  struct Count {
    int declared = 0;
    int missing = 0;
  };
  std::map<std::string, Count> counts;
  for (const int index : CellsOf(owner)) {
    const Cell& cell = cells()[index];
    Count& count = counts[(cell.is_unit() ? "members of " : "gangs of ") +
                          cell.declared.ToString()];
    ++count.declared;
    if (!layout_.IsUsable(cell)) ++count.missing;
  }
  std::string text;
  for (const auto& [shape, count] : counts) {
    if (count.missing == 0) continue;
    if (!text.empty()) text += "; ";
    text += std::to_string(count.missing) + " of " +
            std::to_string(count.declared) + " " + shape +
            " have no place on the workers that may be used";
  }
  return text;
}

}  // namespace thornplank
