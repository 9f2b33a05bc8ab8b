// Passes the ends of runs on to the health of their workers, and logs each
// change of a verdict.
//
// Decides for each service whether its workers are compared with each other:
// always, never, or once enough of them are known. Used on the loop of the
// scheduler only.
#ifndef THORNPLANK_COORDINATION_HEALTH_MONITOR_H_
#define THORNPLANK_COORDINATION_HEALTH_MONITOR_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/feature_mode.h"
#include "base/time.h"
#include "workload/fleet_health.h"
#include "workload/health_record.h"
#include "workload/worker_tracker.h"

namespace thornplank {

class HealthMonitor {
 public:
  using Trackers = std::map<std::string, WorkerTracker>;

  // `trackers` must outlive this object.
  HealthMonitor(FeatureMode mode, Trackers& trackers);

  void OnWorkerSeen(WorkerTracker* worker) const;
  void OnRunPlaced(const std::string& worker, const TaskRef& task, Time now);
  void OnRunEnded(const std::string& worker, const RunEndReport& end, Time now);
  // The worker has refused to start the run.
  void OnStartRefused(const std::string& worker, const TaskRef& task, Time now);
  // A run made no progress there.
  void OnRunStalled(const std::string& worker, const TaskRef& task, Time now);
  // Another incarnation of the worker has begun.
  void OnRestart(const std::string& worker, Time now);
  void Forget(const std::string& worker) { verdicts_.erase(worker); }
  // Verdicts of a previous leader. Each applies once the worker has reported
  // that it is still the same incarnation.
  void Restore(std::vector<HealthEntry> entries, Time now);
  void OnFirstReport(const std::string& worker, Time now);
  // The workers that are not healthy, with those whose restored verdict does
  // not apply yet.
  std::vector<HealthEntry> UnhealthyWorkers(Time now) const;
  // To be called several times a second.
  void Tick(Time now);

 private:
  bool IsCompared(const std::string& service) const;
  void CountWorkers();
  void ChooseCompared(Time now);
  // Whether another worker of the service may be excluded.
  bool MayExclude(const std::string& service, Time now) const;
  // For services whose workers are not compared: they have no verdicts.
  bool MayQuarantine(const std::string& service, Time now) const;
  bool MayExcludeCompared(const std::string& service, Time now) const;
  void SetCompared(const std::string& service, bool compared, int workers,
                   Time now);
  RunEvidence EvidenceOf(const std::string& worker, const TaskRef& task);
  void RecordFailure(const std::string& worker, const RunEvidence& run,
                     bool stalled, Time now);
  void LogIfChanged(const std::string& worker, const std::string& reason,
                    Time now);
  WorkerTracker* Find(const std::string& worker);

  const FeatureMode mode_;
  Trackers& trackers_;
  FleetHealth fleet_;
  // Known workers by service, counted at last_count_.
  std::map<std::string, int> workers_;
  // Services whose workers are compared.
  std::set<std::string> compared_;
  // The verdict that was last logged, of each worker that is not healthy.
  std::map<std::string, HealthVerdict> verdicts_;
  Time last_count_{};
  // Restored verdicts on workers that have not reported yet, and since when.
  std::map<std::string, HealthEntry> restored_;
  Time restored_at_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_HEALTH_MONITOR_H_
