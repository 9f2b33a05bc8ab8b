#include "scheduling/cell_layout.h"

#include <algorithm>
#include <numeric>

namespace thornplank {
namespace {

// Whole new layouts tried before a cell is given up as missing, and before a
// move to a better place is given up.
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
    if (!cells_[i].retired || cells_[i].users > 0) continue;
    cells_[i] = std::move(cell);
    return static_cast<int>(i);
  }
  cells_.push_back(std::move(cell));
  return static_cast<int>(cells_.size()) - 1;
}

void CellLayout::Retire(int cell) {
  if (cells_[cell].users == 0) Unplace(cell);
  cells_[cell].retired = true;
  Commit();
}

void CellLayout::Use(int cell, int slot, int accelerators) {
  cells_[cell].slots[slot].used += accelerators;
  ++cells_[cell].users;
}

void CellLayout::Unuse(int cell, int slot, int accelerators) {
  cells_[cell].slots[slot].used -= accelerators;
  --cells_[cell].users;
  if (cells_[cell].retired && cells_[cell].users == 0) Unplace(cell);
  Commit();
}

void CellLayout::SetLentTo(int cell, const std::string& event) {
  cells_[cell].lent_to = event;
}

void CellLayout::SetFixed(int cell, bool fixed) { cells_[cell].fixed = fixed; }

bool CellLayout::IsMovable(const Cell& cell) const {
  if (cell.users > 0 || cell.retired) return false;
  return !cell.fixed || !IsUsable(cell);
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

void CellLayout::RefreshRoom() {
  room_ = cluster_.CapacityByWorker();
  for (const Cell& cell : cells_) {
    if (!cell.placed) continue;
    for (const CellSlot& slot : cell.slots) {
      room_[slot.worker] -= cell.shape.accelerators_per_member;
    }
  }
}

void CellLayout::Remember(int cell) {
  moves_.push_back({cell, cells_[cell].slots, cells_[cell].placed});
}

void CellLayout::Unplace(int index) {
  Cell& cell = cells_[index];
  if (!cell.placed) return;
  Remember(index);
  for (CellSlot& slot : cell.slots) {
    room_[slot.worker] += cell.shape.accelerators_per_member;
    slot.worker = kNoWorker;
  }
  cell.placed = false;
}

void CellLayout::PlaceAt(int index, const std::vector<WorkerIndex>& workers) {
  Cell& cell = cells_[index];
  Remember(index);
  for (size_t i = 0; i < cell.slots.size(); ++i) {
    cell.slots[i].worker = workers[i];
    room_[workers[i]] -= cell.shape.accelerators_per_member;
  }
  cell.placed = true;
}

void CellLayout::Undo() {
  for (auto move = moves_.rbegin(); move != moves_.rend(); ++move) {
    cells_[move->cell].slots = std::move(move->slots);
    cells_[move->cell].placed = move->placed;
  }
  moves_.clear();
  RefreshRoom();
}

bool CellLayout::PlaceRackCell(int index, const AcceleratorsByWorker& room,
                               const PlacementCost& cost) {
  const std::optional<Placement> placement =
      FindPlacement(cluster_, cells_[index].shape, room, cost);
  if (!placement) return false;
  PlaceAt(index, MemberWorkers(*placement));
  return true;
}

// All `units` are of one size; places as many as fit.
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

bool CellLayout::PlaceChosen(const std::vector<int>& moving,
                             const AcceleratorsByWorker& room,
                             const PlacementCost& cost) {
  AcceleratorsByWorker left = room;
  const auto take = [this, &left](int index) {
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
      take(index);
    }
  }
  return true;
}

void CellLayout::ClearOverfull() {
  for (size_t i = 0; i < cells_.size(); ++i) {
    if (!IsMovable(cells_[i]) || !cells_[i].placed) continue;
    const std::vector<CellSlot>& slots = cells_[i].slots;
    const bool overfull = std::any_of(
        slots.begin(), slots.end(),
        [this](const CellSlot& slot) { return room_[slot.worker] < 0; });
    if (overfull) Unplace(static_cast<int>(i));
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
      PlaceRackCell(index, room_, no_cost);
      ++next;
      continue;
    }
    std::vector<int> batch;
    const Shape shape = cells_[index].shape;
    while (next < missing.size() && cells_[missing[next]].shape == shape) {
      batch.push_back(missing[next++]);
    }
    PlaceUnits(batch, room_, no_cost);
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
  // So that no attempt repeats another.
  std::shuffle(first->begin(), first->end(), random_);
}

bool CellLayout::RebuildWithFewer(int missing) {
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

bool CellLayout::Settle(const std::vector<int>& usable) {
  ClearOverfull();
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
  RefreshRoom();
  ClearOverfull();
  PlaceMissing({});
  Commit();
  // Keep the old layout unless a new one serves more.
  int missing = CountMissing();
  while (missing > 0 && RebuildWithFewer(missing)) {
    Commit();
    missing = CountMissing();
  }
  Undo();
}

bool CellLayout::LiesOnFree(const std::vector<int>& cells) const {
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

// Free accelerators outside of the cells that cannot be moved.
AcceleratorsByWorker CellLayout::FreeRoomWithoutMovable() const {
  AcceleratorsByWorker room = room_;
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
  const bool placed = PlaceChosen(moving, room_, cost);
  if (placed && LiesOnFree(moving)) {
    Commit();
    return;
  }
  Undo();
  for (const int index : moving) Unplace(index);
  if (PlaceChosen(moving, FreeRoomWithoutMovable(), cost)) {
    for (const int index : moving) ++cells_[index].users;  // not to be moved
    const bool settled = Settle(usable);
    for (const int index : moving) --cells_[index].users;
    if (settled) {
      Commit();
      return;
    }
  }
  Undo();
  if (!placed) return;
  for (const int index : moving) Unplace(index);
  PlaceChosen(moving, room_, cost);
  Commit();
}

bool CellLayout::RelocateTo(
    const std::vector<int>& moving,
    const std::vector<std::vector<WorkerIndex>>& workers) {
  Commit();
  const std::vector<int> usable = UsableCells();
  for (const int index : moving) Unplace(index);
  for (size_t i = 0; i < moving.size(); ++i) PlaceAt(moving[i], workers[i]);
  for (const int index : moving) ++cells_[index].users;  // not to be moved
  bool settled = Settle(usable);
  for (const int index : moving) {
    --cells_[index].users;
    for (const CellSlot& slot : cells_[index].slots) {
      settled = settled && room_[slot.worker] >= 0;
    }
  }
  if (settled) {
    Commit();
  } else {
    Undo();
  }
  return settled;
}

}  // namespace thornplank
