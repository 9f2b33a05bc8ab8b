// Holds of one planning round: capacity that waiting gangs will need soon.
//
// Small tasks fit into every gap as it opens; a gang needs much at one moment.
// For a gang that does not fit now, this finds the workers on which it can
// start soonest and keeps there what it needs. Other steps of lower priority
// use the rest, and the held part where they end in time or can be stopped
// without loss of work (borrowers). Not thread-safe; lives for one round.
#ifndef THORNPLANK_WORKLOAD_GANG_HOLDS_H_
#define THORNPLANK_WORKLOAD_GANG_HOLDS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/cluster_capacity.h"
#include "workload/eviction.h"
#include "workload/ready_step.h"

namespace thornplank {

// A hold is set only for a start that is no further away than this, plus half
// of the time for which the gang has waited: the longer it waits, the further
// ahead it may hold capacity.
inline constexpr Milliseconds kHoldHorizon{2000};
// Upper bound on the gangs of a service for which a round looks for a hold. It
// bounds the cost of a round.
inline constexpr int kMaxHoldsPerService = 8;
// Borrowers are stopped only if the work lost is at most this share of the
// gang's own work.
inline constexpr double kMaxLossShare = 0.25;

// A gang that has waited longer lets no steps use its hold because of their
// estimates: with estimates of a tenth of the run time, they would fill each
// place again as it becomes free, and the gang would never start.
inline constexpr Milliseconds kMaxWaitBesideShortSteps{5000};

// A waiting gang for which a hold is sought.
struct HoldRequest {
  const ReadyStep* step = nullptr;
  // For how long it has waited.
  Duration waited{};
  // Upper bound on the empty workers that it may use.
  int64_t empty_workers = 0;
  // Only the rack of its data may be used.
  bool near_only = false;
  // All members must be on one rack.
  bool one_rack = false;
  // Only these workers are looked at, by index: those of the hold of the round
  // before, which are on one rack if they must be. Empty to look at all.
  std::vector<size_t> among;
};

// Capacity held for one gang.
struct GangHold {
  // On one worker.
  struct Place {
    // Index into ClusterCapacity::workers().
    size_t worker = 0;
    int64_t tasks = 0;
    // The part of the held amount that is free now. The rest becomes free in
    // time.
    Resources held_free;
    // Runs of lower priority that are stopped if the gang needs their capacity.
    std::vector<const TrackedRun*> borrowers;
  };

  const ReadyStep* step = nullptr;
  // In the order of the workers.
  std::vector<Place> places;
  Time ready_at{};
  Duration waited{};

  int64_t borrower_count() const;
  int64_t lent_accelerators() const;
};

class GangHolds {
 public:
  struct Inputs {
    // Must outlive this object.
    const ClusterCapacity* capacity = nullptr;
    // Runs that this round has already decided to stop.
    const std::set<TaskRef>* stopped = nullptr;
    // Upper bound on the share of each resource that is held while free.
    double max_held_share = 0.3;
    // The time from a stop order until the capacity is reported as free.
    Milliseconds stop_time{700};
    // What a stopped run loses even where all its work is saved.
    Milliseconds restart_cost{800};
    // The holds of urgent steps within their guarantees (GuaranteeHolds): they
    // also bind steps of other accounts of the same priority, and runs of lower
    // priority count as lent.
    bool for_guarantees = false;
    Time now{};
  };

  explicit GangHolds(const Inputs& inputs) : inputs_(inputs) {}

  // Whether another gang of the service may ask for a hold in this round.
  bool MayConsider(const std::string& service) const;

  // Sets a hold for the gang, or none if it cannot start soon enough. If all
  // places for it are free or lent, no hold is set: the evictions that return
  // the lent ones are added to `returns`, for the caller to carry out.
  // Returns true unless nothing was found.
  bool Consider(const HoldRequest& request, std::vector<Eviction>* returns);

  // Removes from the slots what is held from the step. Slots with holds are
  // preferred by borrowers and avoided by other single tasks. Returns true if
  // a slot became smaller.
  bool Restrict(const ReadyStep& step, std::vector<Slot>* slots) const;
  // What is held from the step on the worker, of that which is free there.
  Resources HeldFrom(const ReadyStep& step, size_t worker) const;
  // Number of empty workers that are held from the step.
  int64_t EmptyWorkersHeldFrom(const ReadyStep& step) const;

  const ClusterCapacity& capacity() const { return *inputs_.capacity; }
  const std::vector<GangHold>& holds() const { return holds_; }
  int64_t held_free_accelerators() const;
  // Visits of workers while it looked for places, as a measure of the cost.
  int64_t visits() const { return visits_; }

  // Whether the step may use capacity held for others, since its runs can be
  // stopped without loss of work.
  static bool IsBorrower(const ReadyStep& step);

 private:
  // A run that ends, seen from its worker.
  struct Ending {
    // Forecast, or the time to stop it if that was decided.
    Duration in{};
    Resources need;
    int priority = 0;
    // Single and checkpointable.
    bool borrows = false;
    bool stopping = false;
    const TrackedRun* run = nullptr;
  };
  // A range of endings_; not yet computed while begin is negative.
  struct Range {
    int begin = -1;
    int end = 0;
  };
  // Which capacity is considered besides that which is free or being freed.
  enum class Source {
    // Runs that end by themselves.
    kEndings,
    // Borrowers.
    kLent,
    kBoth,
  };
  // When one run's capacity becomes available to a gang.
  struct Release {
    Duration in{};
    // The weighted work lost if it is a borrower.
    double loss = 0;
    const Ending* ending = nullptr;
    bool lent = false;
  };
  // Further tasks that a worker can take after some releases.
  struct Offer {
    Duration in{};
    // The weighted work lost with the borrowers among the releases.
    double loss = 0;
    // Loss for each task gained; not smaller than that of earlier offers of the
    // worker, on which this one depends.
    double price = 0;
    // Number of releases it depends on.
    int releases = 0;
    size_t worker = 0;
    int64_t gain = 0;
    bool empty_now = false;
  };
  struct Chosen {
    bool found = false;
    Duration in{};
    double loss = 0;
    std::vector<GangHold::Place> places;
  };
  // A part of a hold on one worker.
  struct Portion {
    size_t hold = 0;
    Resources amount;
    Resources held_free;
    // The next one on the same worker; negative at the end.
    int next = -1;
  };
  struct ServiceUse {
    int considered = 0;
    Resources held_free;
  };

  const Range& EndingsOn(size_t worker);
  bool IsLendable(const ReadyStep& step, const Ending& ending) const;
  // Whether the ending counts, and when and at which loss.
  bool ToRelease(const ReadyStep& step, const Ending& ending, Source source,
                 Duration horizon, Release* release) const;
  // Free capacity of the worker without what earlier holds need there.
  Resources Unclaimed(size_t worker) const;
  // Upper bound on the tasks that the worker can take within the horizon.
  int64_t TasksWithin(const HoldRequest& request, size_t worker, Source source,
                      Duration horizon);
  // The workers that a request may use, with the tasks that they can take
  // within the horizon.
  struct Candidate {
    size_t worker = 0;
    int group = 0;
    int64_t tasks = 0;
  };
  void CollectCandidates(const HoldRequest& request, Source source,
                         Duration horizon);
  void AddCandidate(const HoldRequest& request, size_t worker, Source source,
                    Duration horizon);
  // Fills releases_, in the order in which they are expected.
  void CollectReleases(const ReadyStep& step, size_t worker, Source source,
                       Duration horizon);
  void AddOffers(const HoldRequest& request, size_t worker, Source source,
                 Duration horizon);
  Chosen FindSoonest(const HoldRequest& request, Source source,
                     Duration horizon);
  // Looks at a range of candidates_, all of one group.
  Chosen FindInGroup(const HoldRequest& request, Source source,
                     Duration horizon, size_t begin, size_t end);
  // Takes offers until all members have a place.
  Chosen TakeOffers(const HoldRequest& request) const;
  void NameBorrowers(const HoldRequest& request, Source source, Chosen* chosen);
  double WorkOf(const ReadyStep& step) const;
  void Hold(const HoldRequest& request, Chosen chosen, Source source);
  int FirstPortion(size_t worker) const {
    return first_portions_.empty() ? -1 : first_portions_[worker];
  }
  const Portion& PortionAt(int index) const {
    return portions_[static_cast<size_t>(index)];
  }
  // Whether the step must not use what the hold keeps.
  bool Binds(const GangHold& hold, const ReadyStep& step) const;
  bool EndsBefore(const ReadyStep& step, const GangHold& hold) const;

  const Inputs inputs_;
  std::vector<Ending> endings_;
  // By worker.
  std::vector<Range> ranges_;
  std::vector<GangHold> holds_;
  std::vector<Portion> portions_;
  // By worker, indexes into portions_, or -1; empty while there is no hold.
  std::vector<int> first_portions_;
  std::map<std::string, ServiceUse> services_;
  int64_t visits_ = 0;
  // Reused between calls.
  std::vector<Release> releases_;
  std::vector<Offer> offers_;
  std::vector<Candidate> candidates_;
  Duration candidates_horizon_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_GANG_HOLDS_H_
