// The optional decisions of the scheduler. Each can be switched off, which
// leaves the behaviour as it is without it.
#ifndef THORNPLANK_WORKLOAD_SCHEDULING_FEATURES_H_
#define THORNPLANK_WORKLOAD_SCHEDULING_FEATURES_H_

#include "base/feature_mode.h"

namespace thornplank {

struct SchedulingFeatures {
  // Capacity is held on the workers that a waiting gang will use, and as much
  // of it for urgent steps as recently used it (GangHolds, UrgentHeadroom).
  FeatureMode held_capacity = FeatureMode::kAuto;
  // Scarce capacity is shared between client accounts by weight
  // (AccountShares).
  FeatureMode account_shares = FeatureMode::kAuto;
  // Workers are judged against the rest of the fleet (WorkerHealth).
  FeatureMode worker_health = FeatureMode::kAuto;
  // Gangs take few workers, so that fewer can break them.
  FeatureMode compact_gangs = FeatureMode::kAuto;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_SCHEDULING_FEATURES_H_
