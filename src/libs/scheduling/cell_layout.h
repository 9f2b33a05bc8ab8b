// Where the cells of guarantees lie, and how they are moved.
//
// A guaranteed shape is a cell. A rack-adjacent shape is one cell with a slot
// per member; any other shape is one cell per member, since its members are
// independent of each other. The layout keeps every cell within the workers
// that may be used, whatever borrowers run there, and repairs it step by
// step: only what has to move moves, and a whole new layout is tried only when
// that leaves a cell without a place.
#ifndef THORNPLANK_SCHEDULING_CELL_LAYOUT_H_
#define THORNPLANK_SCHEDULING_CELL_LAYOUT_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"
#include "scheduling/placement_search.h"

namespace thornplank {

// Who holds a cell: an account, or an event of an account.
struct CellOwner {
  std::string account;
  // Empty for the account's own guarantee.
  std::string event;

  bool operator==(const CellOwner& other) const {
    return account == other.account && event == other.event;
  }
  bool operator<(const CellOwner& other) const {
    if (account != other.account) return account < other.account;
    return event < other.event;
  }
};

struct CellSlot {
  WorkerIndex worker = kNoWorker;
  // Accelerators of the slot that gangs use.
  int used = 0;
};

struct Cell {
  CellOwner owner;
  // The event that its account lent the cell to; only that event's jobs may
  // take it meanwhile. Empty for most cells.
  std::string lent_to;
  // As declared, for reports.
  Shape declared;
  // kRack: the declared shape. kAnywhere: one member of it.
  Shape shape;
  std::vector<CellSlot> slots;
  // Slots in use; the cell cannot be moved while above 0.
  int users = 0;
  // Invariant: all slots name a worker when placed, none does otherwise. A
  // cell in use may lie on a worker that can no longer be used.
  bool placed = false;
  // Stays where it is while its workers can be used, also without users.
  bool fixed = false;
  // No longer declared. Its index is used again once it has no users.
  bool retired = false;

  bool is_unit() const { return shape.members == 1; }
};

class CellLayout {
 public:
  // `cluster` outlives the layout. `seed` orders the attempts at a whole new
  // layout.
  CellLayout(const ClusterModel& cluster, uint64_t seed);

  // Returns the index of the new cell, which is not placed yet.
  int Add(Cell cell);
  // Gives up the place of a cell without users.
  void Retire(int cell);
  const std::vector<Cell>& cells() const { return cells_; }
  void Use(int cell, int slot, int accelerators);
  void Unuse(int cell, int slot, int accelerators);
  void SetLentTo(int cell, const std::string& event);
  void SetFixed(int cell, bool fixed);

  // Whether each slot of the cell lies on a worker that may be used.
  bool IsUsable(const Cell& cell) const;
  // Cells that have no place or, while in use, lie on unusable workers.
  int CountMissing() const;

  // After any change of workers or cells: moves cells off workers that cannot
  // be used and places what is missing as far as possible.
  void Repair();
  // Moves unused cells (`moving`, all rack cells or all units) to where `cost`
  // is lowest: onto free accelerators, if the cells that lay there can be
  // placed elsewhere.
  void Relocate(const std::vector<int>& moving, const PlacementCost& cost);
  // Moves unused cells onto given workers, one per slot in order. Changes
  // nothing and returns false when another cell would lose its place.
  bool RelocateTo(const std::vector<int>& moving,
                  const std::vector<std::vector<WorkerIndex>>& workers);

 private:
  struct Move {
    int cell = 0;
    std::vector<CellSlot> slots;
    bool placed = false;
  };

  bool IsMovable(const Cell& cell) const;
  void RefreshRoom();
  void Remember(int cell);
  void Unplace(int cell);
  void PlaceAt(int cell, const std::vector<WorkerIndex>& workers);
  void Undo();
  void Commit() { moves_.clear(); }

  bool PlaceRackCell(int cell, const AcceleratorsByWorker& room,
                     const PlacementCost& cost);
  void PlaceUnits(const std::vector<int>& units,
                  const AcceleratorsByWorker& room, const PlacementCost& cost);
  bool PlaceChosen(const std::vector<int>& moving,
                   const AcceleratorsByWorker& room, const PlacementCost& cost);
  bool LiesOnFree(const std::vector<int>& cells) const;
  AcceleratorsByWorker FreeRoomWithoutMovable() const;
  // Unplaces movable cells from workers whose cells exceed their room.
  void ClearOverfull();
  // Places every missing movable cell, those of `first` before the others.
  void PlaceMissing(const std::vector<int>& first);
  // Tries a whole new layout; `first` are the cells that found no place in
  // the earlier attempts and go first.
  void Rebuild(std::vector<int>* first);
  // Tries new layouts until fewer than `missing` cells are missing.
  bool RebuildWithFewer(int missing);
  std::vector<int> UsableCells() const;
  bool AreUsable(const std::vector<int>& cells) const;
  // Clears what is overfull and places it anew; false when that costs one of
  // `usable` its place.
  bool Settle(const std::vector<int>& usable);

  const ClusterModel& cluster_;
  std::mt19937_64 random_;
  std::vector<Cell> cells_;
  // Capacity of each worker minus its cells. Invariant outside of a method:
  // negative only where cells in use lie on unusable workers.
  AcceleratorsByWorker room_;
  // Places before the changes that are not committed yet.
  std::vector<Move> moves_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_CELL_LAYOUT_H_
