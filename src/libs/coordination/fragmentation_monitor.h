// Measures fragmentation while this entry leads, and logs how it changes.
#ifndef THORNPLANK_COORDINATION_FRAGMENTATION_MONITOR_H_
#define THORNPLANK_COORDINATION_FRAGMENTATION_MONITOR_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/fragmentation.h"
#include "workload/job_definition.h"
#include "workload/worker_tracker.h"

namespace thornplank {

class FragmentationMonitor {
 public:
  // A job was accepted, or taken over from another leader.
  void OnJob(const JobDefinition& job, Time now);

  // Whether the last measurement is a second old.
  bool IsDue(Time now) const;
  // Measures, and logs the services of which steps wait, each every 10 s.
  void Measure(const std::map<std::string, WorkerTracker>& workers,
               const std::set<std::string>& waiting_services, Time now);

  // The last measurement.
  const std::vector<ServiceFragmentation>& services() const {
    return services_;
  }

 private:
  Fragmentation fragmentation_;
  std::vector<ServiceFragmentation> services_;
  Time measured_at_{};
  // By service.
  std::map<std::string, Time> logged_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FRAGMENTATION_MONITOR_H_
