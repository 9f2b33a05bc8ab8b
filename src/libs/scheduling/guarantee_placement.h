// Keeps a placement of every guaranteed shape, in use or not, on usable
// workers. Its existence proves that all guarantees can be honoured at the same
// time.
//
// Each guarantee is a set of cells; see cell_layout.h. A gang that runs under
// its account's guarantee is allocated slots in that account's cells, and these
// cells cannot be moved; cells without a gang can. All other gangs are
// borrowers: they may run on the accelerators of a cell, because they can be
// stopped when the cell is needed. The placement is therefore valid if and only
// if every cell is placed and the cells on each worker do not exceed its
// accelerators; borrowers cannot invalidate it.
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

// The part of a slot that is allocated to one member of a gang.
struct SlotAllocation {
  int cell = 0;
  int slot = 0;
  int accelerators = 0;
};

// The slots and workers of all members of a gang, in the order of its members.
struct CellAllocation {
  std::vector<SlotAllocation> slots;
  std::vector<WorkerIndex> workers;
};

// A guaranteed shape that needs cells, and the account or event it belongs to.
struct CellDemand {
  CellOwner owner;
  GuaranteedShape guaranteed;
};

class GuaranteePlacement {
 public:
  // `cluster` must outlive the object. For `seed` see CellLayout.
  GuaranteePlacement(const ClusterModel& cluster, uint64_t seed);

  // Replaces the demands. Gangs in cells that are no longer declared lose their
  // allocations; see IsStillValid.
  void SetDemands(const std::vector<CellDemand>& demands);
  // To be called after any change of the workers: moves cells off unusable
  // workers and places missing ones.
  void Repair();

  // Allocates slots for a gang of `shape` in the cells of `owner`. Returns
  // nullopt if these cells cannot hold it. Cells without allocations are moved
  // to the workers with the lowest `cost`, preferably onto free accelerators.
  std::optional<CellAllocation> Allocate(const CellOwner& owner,
                                         const Shape& shape,
                                         const PlacementCost& cost);
  // Allocates slots for a gang that already runs on `workers`, one worker per
  // member.
  std::optional<CellAllocation> AllocateAt(
      const CellOwner& owner, const Shape& shape,
      const std::vector<WorkerIndex>& workers);
  void Release(const CellAllocation& allocation);
  // Whether `owner` may still use every cell of `allocation`.
  bool IsStillValid(const CellOwner& owner,
                    const CellAllocation& allocation) const;
  // Whether the cells of `owner` could hold a gang of `shape` if none of them
  // had allocations.
  bool CanEverHold(const CellOwner& owner, const Shape& shape) const;

  // Lends cells of the account to its event until those lent cover `guaranteed`
  // or no matching cell is left. Cells without allocations are lent first.
  void Lend(const std::string& account, const std::string& event,
            const GuaranteedShape& guaranteed);
  // Returns the cells lent to `event` to its account and unpins its cells.
  void EndLoans(const std::string& event);
  // Moves the unpinned cells that are reserved for `event` and have no
  // allocations to the workers with the lowest `cost`, and pins them there
  // until EndLoans.
  void PlaceAndPin(const std::string& event, const PlacementCost& cost);

  const std::vector<Cell>& cells() const { return layout_.cells(); }
  // Accelerators in cells that are not allocated to gangs, whether or not
  // borrowers use them.
  AcceleratorsByWorker UnusedReserved() const;
  // The same for the cells that are reserved for `event`.
  AcceleratorsByWorker UnusedReservedFor(const std::string& event) const;
  // Whether every cell is placed on usable workers.
  bool IsComplete() const { return layout_.CountMissing() == 0; }
  // Describes the cells of `owner` that are not placed on usable workers; empty
  // if all are.
  std::string Shortfall(const CellOwner& owner) const;

 private:
  // Indexes of the cells that `owner` may use.
  std::vector<int> CellsOf(const CellOwner& owner) const;
  int CountFreeMembers(const Cell& cell, const Shape& shape,
                       bool assume_unused) const;
  // Indexes of cells that together hold `shape`, or nullopt.
  std::optional<std::vector<int>> ChooseCells(const CellOwner& owner,
                                              const Shape& shape,
                                              bool assume_unused) const;
  CellAllocation AllocateSlots(const std::vector<int>& cells,
                               const Shape& shape);
  // A rack cell of the same size as `shape` without allocations, or nullopt if
  // there is none or the workers `at` lie in several racks.
  std::optional<int> FindExactRackCell(
      const CellOwner& owner, const Shape& shape,
      const std::vector<WorkerIndex>& at) const;

  const ClusterModel& cluster_;
  CellLayout layout_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GUARANTEE_PLACEMENT_H_
