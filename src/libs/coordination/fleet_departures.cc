// Workers of WorkerFleet that have announced their departure.
#include "coordination/worker_fleet.h"

namespace thornplank {

void WorkerFleet::RestoreDepartures(
    const std::vector<DepartingWorker>& departures) {
  recorded_departures_.clear();
  for (const DepartingWorker& departure : departures) {
    recorded_departures_[departure.worker] = departure;
  }
}

std::vector<DepartingWorker> WorkerFleet::DepartingWorkers() const {
  std::vector<DepartingWorker> departures;
  for (const WorkerTracker* worker : active_workers()) {
    if (worker->runs().empty()) continue;
    if (auto departure = worker->departure()) {
      departures.push_back(*std::move(departure));
    }
  }
  return departures;
}

}  // namespace thornplank
