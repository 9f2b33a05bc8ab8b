// The witness that every guarantee can be honoured: at any moment a placement
// of each guaranteed shape, used or not, onto workers that may be used.
//
// A gang inside its account's guarantee lives in slots of that account's cells
// and keeps them in place; cells without a gang may be moved. Whatever else
// runs is a borrower: it may lie on a cell's accelerators, because it can be
// moved off. So the witness holds exactly when every cell is placed and no
// worker's cells exceed its accelerators; borrowers cannot break it.
#ifndef THORNPLANK_SCHEDULING_GUARANTEE_PLACEMENT_H_
#define THORNPLANK_SCHEDULING_GUARANTEE_PLACEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "scheduling/cell_layout.h"
#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"
#include "scheduling/placement_search.h"

namespace thornplank {

// One member of a gang inside a slot.
struct SlotAllocation {
  int cell = 0;
  int slot = 0;
  int accelerators = 0;
};

// The slots and workers of a whole gang, in the order of its members.
struct CellAllocation {
  std::vector<SlotAllocation> slots;
  std::vector<WorkerIndex> workers;
};

struct CellDemand {
  CellOwner owner;
  GuaranteedShape guaranteed;
};

class GuaranteePlacement {
 public:
  // `cluster` outlives the witness.
  GuaranteePlacement(const ClusterModel& cluster, uint64_t seed);

  // Replaces what is declared. Gangs in cells that are no longer declared lose
  // them: see IsStillValid.
  void SetDemands(const std::vector<CellDemand>& demands);
  // To be called after any change of the workers.
  void Repair();

  // Slots for a gang of `shape` inside the cells of `owner`, taken at once, or
  // nullopt when they do not hold it. Unused cells are moved to where `cost`
  // is lowest, first onto free accelerators.
  std::optional<CellAllocation> Allocate(const CellOwner& owner,
                                         const Shape& shape,
                                         const PlacementCost& cost);
  // The same for a gang that already runs on `workers`, one per member.
  std::optional<CellAllocation> AllocateAt(
      const CellOwner& owner, const Shape& shape,
      const std::vector<WorkerIndex>& workers);
  void Release(const CellAllocation& allocation);
  // Whether every cell of `use` is still declared and open to `owner`.
  bool IsStillValid(const CellOwner& owner,
                    const CellAllocation& allocation) const;
  // Whether cells of `owner` could hold a gang of `shape` if none were in use.
  bool CanEverHold(const CellOwner& owner, const Shape& shape) const;

  // Lends cells of the account to its event until `count` gangs of the shape
  // are covered or none is left; unused ones first.
  void Lend(const std::string& account, const std::string& event,
            const GuaranteedShape& guaranteed);
  void EndLoans(const std::string& event);
  // Moves the unused cells that only `event` may take to where `cost` is
  // lowest, and keeps them there until EndLoans.
  void PlaceAndPin(const std::string& event, const PlacementCost& cost);

  const std::vector<Cell>& cells() const { return layout_.cells(); }
  // Accelerators per worker that cells hold unused, whoever borrows them.
  AcceleratorsByWorker UnusedReserved() const;
  // The same for the cells that only `event` may take.
  AcceleratorsByWorker UnusedReservedFor(const std::string& event) const;
  // Whether every cell has a place on workers that may be used.
  bool IsComplete() const { return layout_.CountMissing() == 0; }
  // What of `owner` has no place, in words; empty when all has.
  std::string Shortfall(const CellOwner& owner) const;

 private:
  std::vector<int> CellsOf(const CellOwner& owner) const;
  int CountFreeMembers(const Cell& cell, const Shape& shape,
                       bool assume_unused) const;
  std::optional<std::vector<int>> ChooseCells(const CellOwner& owner,
                                              const Shape& shape,
                                              bool assume_unused) const;
  CellAllocation AllocateSlots(const std::vector<int>& cells,
                               const Shape& shape);
  std::optional<int> FindExactRackCell(
      const CellOwner& owner, const Shape& shape,
      const std::vector<WorkerIndex>& at) const;

  const ClusterModel& cluster_;
  CellLayout layout_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GUARANTEE_PLACEMENT_H_
