// Gauges of the state of the cluster as this entry knows it: leadership, jobs,
// tasks and capacity.
#ifndef THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_
#define THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_

#include "metrics/metrics_registry.h"

namespace thornplank {

class ClusterCoordinator;
class JobBoard;

// `board` and `coordinator` must outlive `metrics`. Tasks and capacity are
// known to the leader only; other entries report zero.
void AddClusterGauges(const JobBoard& board,
                      const ClusterCoordinator& coordinator,
                      MetricsRegistry& metrics);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_
