// Assigns the cells of guarantees to workers.
//
// A cell is capacity that a guarantee reserves. A guaranteed shape that must
// lie in one rack is one cell with a slot per member. Any other guaranteed
// shape is one cell of a single slot (a "unit") per member, since its members
// may lie anywhere.
//
// The layout places every cell on usable workers, regardless of the borrowers
// that run there. When workers or cells change, it moves as few cells as
// possible; a completely new layout is tried only when that leaves a cell
// without a place.
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

// The account, or the event of an account, that a cell is reserved for.
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
  // Accelerators of the slot that are allocated to gangs.
  int used = 0;
};

struct Cell {
  CellOwner owner;
  // The event to which the account has lent the cell; until the loan ends only
  // jobs of that event may use it. Empty when the cell is not lent.
  std::string lent_to;
  // The guaranteed shape as declared, for reports.
  Shape declared;
  // The declared shape if its adjacency is kRack, else one member of it.
  Shape shape;
  std::vector<CellSlot> slots;
  // Gang members that are allocated a slot of the cell. While there are any,
  // the cell cannot be moved.
  int occupants = 0;
  // Invariant: every slot names a worker if `placed`, no slot does otherwise.
  // A cell with allocations may lie on a worker that is no longer usable.
  bool placed = false;
  // Not moved while its workers are usable, even without allocations.
  bool pinned = false;
  // No longer declared. Its index is reused once it has no allocations.
  bool retired = false;

  bool is_unit() const { return shape.members == 1; }
};

class CellLayout {
 public:
  // `cluster` must outlive the layout. `seed` varies the order in which new
  // layouts are tried.
  CellLayout(const ClusterModel& cluster, uint64_t seed);

  // Returns the index of the new cell, which has no place yet.
  int Add(Cell cell);
  // Marks the cell as no longer declared. Its place is released now, or with
  // its last allocation.
  void Retire(int cell);
  const std::vector<Cell>& cells() const { return cells_; }
  void AllocateSlot(int cell, int slot, int accelerators);
  void FreeSlot(int cell, int slot, int accelerators);
  void SetLentTo(int cell, const std::string& event);
  void SetPinned(int cell, bool pinned);

  // Whether the cell is placed and all its slots lie on usable workers.
  bool IsUsable(const Cell& cell) const;
  // Number of declared cells that are not placed on usable workers.
  int CountMissing() const;

  // To be called after any change of workers or cells: moves cells off unusable
  // workers and places as many missing cells as possible.
  void Repair();
  // Moves the cells `moving`, which have no allocations, to the workers with
  // the lowest `cost`. Free accelerators are preferred if the cells that lie
  // there can be placed elsewhere.
  void Relocate(const std::vector<int>& moving, const PlacementCost& cost);
  // Moves the cells `moving`, which have no allocations, onto `workers`: for
  // each cell one worker per slot. Returns false and changes nothing if another
  // cell would lose its place.
  bool RelocateTo(const std::vector<int>& moving,
                  const std::vector<std::vector<WorkerIndex>>& workers);

 private:
  struct SavedPlace {
    int cell = 0;
    std::vector<CellSlot> slots;
    bool placed = false;
  };

  bool IsMovable(const Cell& cell) const;
  void RecomputeUnreserved();
  void SaveForUndo(int cell);
  void Unplace(int cell);
  void PlaceAt(int cell, const std::vector<WorkerIndex>& workers);
  void Rollback();
  void Commit() { undo_log_.clear(); }

  bool PlaceRackCell(int cell, const AcceleratorsByWorker& room,
                     const PlacementCost& cost);
  void PlaceUnits(const std::vector<int>& units,
                  const AcceleratorsByWorker& room, const PlacementCost& cost);
  // Places the unplaced cells `moving` on the accelerators in `room`. Returns
  // false if one of them does not fit.
  bool PlaceInOrder(const std::vector<int>& moving,
                    const AcceleratorsByWorker& room,
                    const PlacementCost& cost);
  // Whether all slots of `cells` lie on free accelerators.
  bool FitsFreeAccelerators(const std::vector<int>& cells) const;
  AcceleratorsByWorker FreeOutsideUnmovableCells() const;
  // Unplaces the movable cells of workers whose cells exceed their capacity.
  void UnplaceOvercommitted();
  // Places movable cells that have no place, those in `first` before others.
  void PlaceMissing(const std::vector<int>& first);
  // Makes a new layout of all movable cells. `first` are the cells that found
  // no place in earlier attempts; they are placed first, and the list is
  // extended by the rack cells that found none in this attempt.
  void Rebuild(std::vector<int>* first);
  // Tries new layouts until fewer than `missing` cells are missing. Returns
  // false if no attempt succeeds.
  bool RebuildWithFewerMissing(int missing);
  std::vector<int> UsableCells() const;
  bool AreUsable(const std::vector<int>& cells) const;
  // Moves cells off workers whose cells exceed their capacity. Returns false if
  // one of the cells in `usable` is left without a usable place.
  bool ResolveOvercommit(const std::vector<int>& usable);

  const ClusterModel& cluster_;
  std::mt19937_64 random_;
  std::vector<Cell> cells_;
  // Capacity of each worker minus its cells. Invariant between calls: negative
  // only where cells with allocations lie on unusable workers.
  AcceleratorsByWorker unreserved_;
  // Previous places of the cells moved since the last Commit() or Rollback().
  std::vector<SavedPlace> undo_log_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_CELL_LAYOUT_H_
