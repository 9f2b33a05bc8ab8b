// Gauges of what an entry believes: who leads, jobs, tasks, capacity.
#ifndef THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_
#define THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_

#include "metrics/metrics_registry.h"

namespace thornplank {

class ClusterCoordinator;
class JobBoard;

// All outlive `metrics`. Tasks and capacity are known to the leader only and
// are zero elsewhere.
void AddClusterGauges(const JobBoard& board,
                      const ClusterCoordinator& coordinator,
                      MetricsRegistry& metrics);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_
