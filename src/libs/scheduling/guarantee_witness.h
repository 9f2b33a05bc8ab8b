// The witness that every guarantee can be honoured: at any moment a placement
// of each guaranteed shape, used or not, onto workers that may be used.
//
// A gang inside its account's guarantee lives in slots of that account's cells
// and keeps them in place; cells without a gang may be moved. Whatever else
// runs is a borrower: it may lie on a cell's accelerators, because it can be
// moved off. So the witness holds exactly when every cell is placed and no
// worker's cells exceed its accelerators; borrowers cannot break it.
#ifndef THORNPLANK_SCHEDULING_GUARANTEE_WITNESS_H_
#define THORNPLANK_SCHEDULING_GUARANTEE_WITNESS_H_

#include <optional>
#include <string>
#include <vector>

#include "scheduling/cell_layout.h"
#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"
#include "scheduling/placement_search.h"

namespace thornplank {

// One member of a gang inside a slot.
struct SlotUse {
  int cell = 0;
  int slot = 0;
  int accelerators = 0;
};

// The slots and workers of a whole gang, in the order of its members.
struct CellUse {
  std::vector<SlotUse> slots;
  std::vector<WorkerIndex> workers;
};

struct CellDemand {
  CellOwner owner;
  GuaranteedShape guaranteed;
};

class GuaranteeWitness {
 public:
  // `cluster` outlives the witness.
  GuaranteeWitness(const ClusterModel& cluster, uint64_t seed);

  // Replaces what is declared. Gangs in cells that are no longer declared lose
  // them: see StillHolds.
  void SetDemands(const std::vector<CellDemand>& demands);
  // To be called after any change of the workers.
  void Repair();

  // Slots for a gang of `shape` inside the cells of `owner`, taken at once, or
  // nullopt when they do not hold it. Unused cells are moved to where `cost`
  // is lowest, first onto free accelerators.
  std::optional<CellUse> Take(const CellOwner& owner, const Shape& shape,
                              const PlacementCost& cost);
  // The same for a gang that already runs on `workers`, one per member.
  std::optional<CellUse> TakeAt(const CellOwner& owner, const Shape& shape,
                                const std::vector<WorkerIndex>& workers);
  void Release(const CellUse& use);
  // Whether every cell of `use` is still declared and open to `owner`.
  bool StillHolds(const CellOwner& owner, const CellUse& use) const;
  // Whether cells of `owner` could hold a gang of `shape` if none were in use.
  bool CouldEverHold(const CellOwner& owner, const Shape& shape) const;

  // Lends cells of the account to its event until `count` gangs of the shape
  // are covered or none is left; unused ones first.
  void Lend(const std::string& account, const std::string& event,
            const GuaranteedShape& guaranteed);
  void EndLoans(const std::string& event);
  // Moves the unused cells that only `event` may take to where `cost` is
  // lowest, and keeps them there until EndLoans.
  void Settle(const std::string& event, const PlacementCost& cost);

  const std::vector<Cell>& cells() const { return layout_.cells(); }
  // Accelerators per worker that cells hold unused, whoever borrows them.
  AcceleratorsByWorker SetAside() const;
  // The same for the cells that only `event` may take.
  AcceleratorsByWorker SetAsideFor(const std::string& event) const;
  // Whether every cell has a place on workers that may be used.
  bool IsWhole() const { return layout_.CountMissing() == 0; }
  // What of `owner` has no place, in words; empty when all has.
  std::string Shortfall(const CellOwner& owner) const;

 private:
  std::vector<int> CellsOf(const CellOwner& owner) const;
  int FreeMembers(const Cell& cell, const Shape& shape,
                  bool as_if_unused) const;
  std::optional<std::vector<int>> ChooseCells(const CellOwner& owner,
                                              const Shape& shape,
                                              bool as_if_unused) const;
  CellUse FillSlots(const std::vector<int>& cells, const Shape& shape);
  std::optional<int> ExactRackCell(const CellOwner& owner, const Shape& shape,
                                   const std::vector<WorkerIndex>& at) const;

  const ClusterModel& cluster_;
  CellLayout layout_;
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GUARANTEE_WITNESS_H_
