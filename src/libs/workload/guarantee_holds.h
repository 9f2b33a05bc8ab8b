// Capacity kept in one planning round for urgent steps that are within the
// guarantees of their accounts and find no room.
//
// Such a step waits for runs to end. Meanwhile smaller steps of accounts beyond
// their guarantees, and of lower priority, would fill each gap as it opens. Not
// thread-safe; lives for one round.
#ifndef THORNPLANK_WORKLOAD_GUARANTEE_HOLDS_H_
#define THORNPLANK_WORKLOAD_GUARANTEE_HOLDS_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "workload/cluster_capacity.h"
#include "workload/gang_holds.h"
#include "workload/ready_step.h"
#include "workload/resources.h"
#include "workload/urgent_balance.h"

namespace thornplank {

class GuaranteeHolds {
 public:
  struct Terms {
    // For how long the step has waited for runs to end.
    Duration waited{};
    // It may be placed on the rack of its data only.
    bool near_only = false;
    bool one_rack = false;
  };

  // `balance` must outlive this object.
  GuaranteeHolds(const GangHolds::Inputs& inputs, const UrgentBalance* balance);

  // Keeps room for `waiting` tasks of the urgent step where they can start
  // soonest: for a gang if it fits into what is left of the guarantee of its
  // account, otherwise for as many tasks as do.
  void Hold(const ReadyStep& step, int64_t waiting, const Terms& terms);

  // What is kept on the worker from the step: nothing if the step is urgent and
  // within the guarantee of its account, or if it ends before the room is
  // needed, and nothing that is kept for its own account.
  Resources HeldFrom(const ReadyStep& step, size_t worker) const;
  // Removes that from the slots.
  void Restrict(const ReadyStep& step, std::vector<Slot>* slots) const;

 private:
  bool IsBound(const ReadyStep& step) const;

  const UrgentBalance& balance_;
  GangHolds holds_;
  // The steps that holds_ refers to, with the tasks for which room is kept.
  std::list<ReadyStep> steps_;
  // Accelerators, by account.
  std::map<std::string, int64_t> held_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GUARANTEE_HOLDS_H_
