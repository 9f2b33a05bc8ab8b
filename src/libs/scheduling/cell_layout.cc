#include "scheduling/cell_layout.h"

#include <algorithm>
#include <numeric>

namespace thornplank {
namespace {

// Number of new layouts that are tried before a cell is reported as missing,
// and before a move to a cheaper place is abandoned.
constexpr int kRepairAttempts = 12;
constexpr int kMoveAttempts = 2;

bool HarderToPlace(const Cell& a, const Cell& b) {
  if (a.is_unit() != b.is_unit()) return !a.is_unit();
  if (a.shape.accelerators_per_member != b.shape.accelerators_per_member) {
    return a.shape.accelerators_per_member > b.shape.accelerators_per_member;
  }
  return a.shape.members > b.shape.members;
}

}  // namespace

CellLayout::CellLayout(const ClusterModel& cluster, uint64_t seed)
    : cluster_(cluster), random_(seed) {}

int CellLayout::Add(Cell cell) {
  cell.slots.assign(cell.shape.members, CellSlot());
  for (size_t i = 0; i < cells_.size(); ++i) {
    if (!cells_[i].retired || cells_[i].occupants > 0) continue;
    cells_[i] = std::move(cell);
    return static_cast<int>(i);
  }
  cells_.push_back(std::move(cell));
  return static_cast<int>(cells_.size()) - 1;
}

void CellLayout::Retire(int cell) {
  if (cells_[cell].occupants == 0) Unplace(cell);
  cells_[cell].retired = true;
  Commit();
}

void CellLayout::AllocateSlot(int cell, int slot, int accelerators) {
  cells_[cell].slots[slot].used += accelerators;
  ++cells_[cell].occupants;
}

void CellLayout::FreeSlot(int cell, int slot, int accelerators) {
  cells_[cell].slots[slot].used -= accelerators;
  --cells_[cell].occupants;
  if (cells_[cell].retired && cells_[cell].occupants == 0) Unplace(cell);
  Commit();
}

void CellLayout::SetLentTo(int cell, const std::string& event) {
  cells_[cell].lent_to = event;
}

void CellLayout::SetPinned(int cell, bool pinned) {
  cells_[cell].pinned = pinned;
}

bool CellLayout::IsMovable(const Cell& cell) const {
  if (cell.occupants > 0 || cell.retired) return false;
  return !cell.pinned || !IsUsable(cell);
}

bool CellLayout::IsUsable(const Cell& cell) const {
  if (!cell.placed) return false;
  for (const CellSlot& slot : cell.slots) {
    if (cluster_.capacity(slot.worker) == 0) return false;
  }
  return true;
}

int CellLayout::CountMissing() const {
  int missing = 0;
  for (const Cell& cell : cells_) {
    if (!cell.retired && !IsUsable(cell)) ++missing;
  }
  return missing;
}

void CellLayout::RecomputeUnreserved() {
  unreserved_ = cluster_.CapacityByWorker();
  for (const Cell& cell : cells_) {
    if (!cell.placed) continue;
    for (const CellSlot& slot : cell.slots) {
      unreserved_[slot.worker] -= cell.shape.accelerators_per_member;
    }
  }
}

void CellLayout::SaveForUndo(int cell) {
  undo_log_.push_back({cell, cells_[cell].slots, cells_[cell].placed});
}

void CellLayout::Unplace(int index) {
  Cell& cell = cells_[index];
  if (!cell.placed) return;
  SaveForUndo(index);
  for (CellSlot& slot : cell.slots) {
    unreserved_[slot.worker] += cell.shape.accelerators_per_member;
    slot.worker = kNoWorker;
  }
  cell.placed = false;
}

void CellLayout::PlaceAt(int index, const std::vector<WorkerIndex>& workers) {
  Cell& cell = cells_[index];
  SaveForUndo(index);
  for (size_t i = 0; i < cell.slots.size(); ++i) {
    cell.slots[i].worker = workers[i];
    unreserved_[workers[i]] -= cell.shape.accelerators_per_member;
  }
  cell.placed = true;
}

void CellLayout::Rollback() {
  for (auto saved = undo_log_.rbegin(); saved != undo_log_.rend(); ++saved) {
    cells_[saved->cell].slots = std::move(saved->slots);
    cells_[saved->cell].placed = saved->placed;
  }
  undo_log_.clear();
  RecomputeUnreserved();
}

bool CellLayout::PlaceRackCell(int index, const AcceleratorsByWorker& room,
                               const PlacementCost& cost) {
  const std::optional<Placement> placement =
      FindPlacement(cluster_, cells_[index].shape, room, cost);
  if (!placement) return false;
  PlaceAt(index, MemberWorkers(*placement));
  return true;
}

// All `units` have the same size. Places as many of them as fit.
void CellLayout::PlaceUnits(const std::vector<int>& units,
                            const AcceleratorsByWorker& room,
                            const PlacementCost& cost) {
  if (units.empty()) return;
  const int size = cells_[units[0]].shape.accelerators_per_member;
  int places = 0;
  for (const int free : room) places += std::max(0, free) / size;
  const Shape batch{std::min(places, static_cast<int>(units.size())), size,
                    Adjacency::kAnywhere};
  const std::optional<Placement> placement =
      FindPlacement(cluster_, batch, room, cost);
  if (!placement) return;
  auto unit = units.begin();
  for (const WorkerShare& share : *placement) {
    for (int i = 0; i < share.members; ++i) PlaceAt(*unit++, {share.worker});
  }
}

bool CellLayout::PlaceInOrder(const std::vector<int>& moving,
                              const AcceleratorsByWorker& room,
                              const PlacementCost& cost) {
  AcceleratorsByWorker left = room;
  const auto subtract = [this, &left](int index) {
    for (const CellSlot& slot : cells_[index].slots) {
      left[slot.worker] -= cells_[index].shape.accelerators_per_member;
    }
  };
  size_t next = 0;
  while (next < moving.size()) {
    const Cell& cell = cells_[moving[next]];
    std::vector<int> batch;
    while (next < moving.size() && cells_[moving[next]].shape == cell.shape) {
      batch.push_back(moving[next++]);
    }
    if (cell.is_unit()) PlaceUnits(batch, left, cost);
    for (const int index : batch) {
      if (!cells_[index].is_unit()) PlaceRackCell(index, left, cost);
      if (!cells_[index].placed) return false;
      subtract(index);
    }
  }
  return true;
}

void CellLayout::UnplaceOvercommitted() {
  for (size_t i = 0; i < cells_.size(); ++i) {
    if (!IsMovable(cells_[i]) || !cells_[i].placed) continue;
    const std::vector<CellSlot>& slots = cells_[i].slots;
    const bool overcommitted = std::any_of(
        slots.begin(), slots.end(),
        [this](const CellSlot& slot) { return unreserved_[slot.worker] < 0; });
    if (overcommitted) Unplace(static_cast<int>(i));
  }
}

void CellLayout::PlaceMissing(const std::vector<int>& first) {
  std::vector<int> missing;
  for (size_t i = 0; i < cells_.size(); ++i) {
    if (IsMovable(cells_[i]) && !cells_[i].placed) {
      missing.push_back(static_cast<int>(i));
    }
  }
  std::stable_sort(missing.begin(), missing.end(), [&](int a, int b) {
    const bool first_a = std::count(first.begin(), first.end(), a) > 0;
    const bool first_b = std::count(first.begin(), first.end(), b) > 0;
    if (first_a != first_b) return first_a;
    return HarderToPlace(cells_[a], cells_[b]);
  });
  const NoPlacementCost no_cost;
  size_t next = 0;
  while (next < missing.size()) {
    const int index = missing[next];
    if (!cells_[index].is_unit()) {
      PlaceRackCell(index, unreserved_, no_cost);
      ++next;
      continue;
    }
    std::vector<int> batch;
    const Shape shape = cells_[index].shape;
    while (next < missing.size() && cells_[missing[next]].shape == shape) {
      batch.push_back(missing[next++]);
    }
    PlaceUnits(batch, unreserved_, no_cost);
  }
}

void CellLayout::Rebuild(std::vector<int>* first) {
  for (size_t i = 0; i < cells_.size(); ++i) {
    if (IsMovable(cells_[i])) Unplace(static_cast<int>(i));
  }
  PlaceMissing(*first);
  for (size_t i = 0; i < cells_.size(); ++i) {
    const int index = static_cast<int>(i);
    if (!IsMovable(cells_[i]) || cells_[i].placed) continue;
    if (cells_[i].is_unit()) continue;
    if (std::count(first->begin(), first->end(), index) > 0) continue;
    first->push_back(index);
  }
  // A random order, so that the next attempt differs from this one.
  std::shuffle(first->begin(), first->end(), random_);
}

bool CellLayout::RebuildWithFewerMissing(int missing) {
  std::vector<int> first;
  for (int attempt = 0; attempt < kRepairAttempts; ++attempt) {
    Rebuild(&first);
    if (CountMissing() < missing) return true;
  }
  return false;
}

std::vector<int> CellLayout::UsableCells() const {
  std::vector<int> usable;
  for (size_t i = 0; i < cells_.size(); ++i) {
    if (!cells_[i].retired && IsUsable(cells_[i])) {
      usable.push_back(static_cast<int>(i));
    }
  }
  return usable;
}

bool CellLayout::AreUsable(const std::vector<int>& cells) const {
  return std::all_of(cells.begin(), cells.end(),
                     [this](int index) { return IsUsable(cells_[index]); });
}

bool CellLayout::ResolveOvercommit(const std::vector<int>& usable) {
  UnplaceOvercommitted();
  PlaceMissing({});
  std::vector<int> first;
  for (int attempt = 0; !AreUsable(usable); ++attempt) {
    if (attempt == kMoveAttempts) return false;
    Rebuild(&first);
  }
  return true;
}

void CellLayout::Repair() {
  Commit();
  RecomputeUnreserved();
  UnplaceOvercommitted();
  PlaceMissing({});
  Commit();
  // Keeps the current layout unless a new one has fewer missing cells.
  int missing = CountMissing();
  while (missing > 0 && RebuildWithFewerMissing(missing)) {
    Commit();
    missing = CountMissing();
  }
  Rollback();
}

bool CellLayout::FitsFreeAccelerators(const std::vector<int>& cells) const {
  AcceleratorsByWorker free = cluster_.FreeByWorker();
  for (const int index : cells) {
    const Cell& cell = cells_[index];
    for (const CellSlot& slot : cell.slots) {
      free[slot.worker] -= cell.shape.accelerators_per_member;
      if (free[slot.worker] < 0) return false;
    }
  }
  return true;
}

// Free accelerators that no unmovable cell covers.
AcceleratorsByWorker CellLayout::FreeOutsideUnmovableCells() const {
  AcceleratorsByWorker room = unreserved_;
  for (const Cell& cell : cells_) {
    if (!IsMovable(cell) || !cell.placed) continue;
    for (const CellSlot& slot : cell.slots) {
      room[slot.worker] += cell.shape.accelerators_per_member;
    }
  }
  for (WorkerIndex i = 0; i < cluster_.size(); ++i) {
    room[i] = std::min(room[i], cluster_.free(i));
  }
  return room;
}

void CellLayout::Relocate(const std::vector<int>& moving,
                          const PlacementCost& cost) {
  Commit();
  const std::vector<int> usable = UsableCells();
  for (const int index : moving) Unplace(index);
  const bool placed = PlaceInOrder(moving, unreserved_, cost);
  if (placed && FitsFreeAccelerators(moving)) {
    Commit();
    return;
  }
  Rollback();
  for (const int index : moving) Unplace(index);
  if (PlaceInOrder(moving, FreeOutsideUnmovableCells(), cost)) {
    // The extra occupant keeps each cell in its new place.
    for (const int index : moving) ++cells_[index].occupants;
    const bool resolved = ResolveOvercommit(usable);
    for (const int index : moving) --cells_[index].occupants;
    if (resolved) {
      Commit();
      return;
    }
  }
  Rollback();
  if (!placed) return;
  for (const int index : moving) Unplace(index);
  PlaceInOrder(moving, unreserved_, cost);
  Commit();
}

bool CellLayout::RelocateTo(
    const std::vector<int>& moving,
    const std::vector<std::vector<WorkerIndex>>& workers) {
  Commit();
  const std::vector<int> usable = UsableCells();
  for (const int index : moving) Unplace(index);
  for (size_t i = 0; i < moving.size(); ++i) PlaceAt(moving[i], workers[i]);
  // The extra occupant keeps each cell in its new place.
  for (const int index : moving) ++cells_[index].occupants;
  bool resolved = ResolveOvercommit(usable);
  for (const int index : moving) {
    --cells_[index].occupants;
    for (const CellSlot& slot : cells_[index].slots) {
      resolved = resolved && unreserved_[slot.worker] >= 0;
    }
  }
  if (resolved) {
    Commit();
  } else {
    Rollback();
  }
  return resolved;
}

}  // namespace thornplank
