// Which runs give way to an urgent step that finds no room.
#ifndef THORNPLANK_WORKLOAD_ROOM_RECLAIM_H_
#define THORNPLANK_WORKLOAD_ROOM_RECLAIM_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/cluster_rooms.h"
#include "workload/eviction.h"
#include "workload/job_ledger.h"
#include "workload/open_step.h"

namespace thornplank {

// Accelerators that belong to an account's urgent jobs at all times.
using Guarantees = std::map<std::string, int64_t>;

// Looks at one step; all that it is given outlives it.
class RoomReclaim {
 public:
  struct Inputs {
    const ClusterRooms* rooms = nullptr;
    const JobLedger* ledger = nullptr;
    const Guarantees* guarantees = nullptr;
    // Runs that this round has already told to stop.
    const std::set<TaskRef>* stopped = nullptr;
    // A stopped run loses this much even where all its work is saved.
    Milliseconds restart_cost{0};
    Time now{};
  };

  RoomReclaim(const Inputs& inputs, const OpenStep& step)
      : inputs_(inputs), step_(step) {}

  // The evictions that lose least; empty when nothing suffices. With
  // `near_only` on the data's rack alone, with `one_rack` together on one.
  std::vector<Eviction> Choose(bool near_only, bool one_rack,
                               bool may_spread) const;

 private:
  // Ways to gain room on one worker, each building on the ones before it.
  std::vector<Eviction> OnWorker(size_t worker) const;
  bool MayGiveWay(const TrackedRun& run) const;
  bool IsWithinGuarantee(const std::string& account, int64_t more) const;
  // Work that is thrown away, with the rest of its gang.
  double Loss(const TrackedRun& run) const;

  const Inputs& inputs_;
  const OpenStep& step_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_ROOM_RECLAIM_H_
