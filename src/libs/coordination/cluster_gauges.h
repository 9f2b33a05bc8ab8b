// Gauges of the state of the cluster as this entry knows it: leadership, jobs,
// tasks and capacity.
#ifndef THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_
#define THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_

#include "metrics/metrics_registry.h"

#include <functional>
#include <optional>

namespace thornplank {

class ClusterCoordinator;
class JobBoard;

// What an entry knows of the cluster.
struct ClusterView {
  const JobBoard& board;
  const ClusterCoordinator& coordinator;
};

// `view` returns nullopt while this entry does not follow the board; the gauges
// are then zero or absent. Tasks and capacity are known to the leader only;
// other entries report zero.
void AddClusterGauges(std::function<std::optional<ClusterView>()> view,
                      MetricsRegistry& metrics);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_CLUSTER_GAUGES_H_
