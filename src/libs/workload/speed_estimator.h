// Estimates the speed of workers from tasks of one step that run at the same
// time.
//
// Callers' estimates are wrong by a factor of two or more, but by the same
// factor for all tasks of a step. So the progress of a task is compared with
// that of its siblings on other workers, and the ratio is attributed to the
// worker.
//
// The members of a gang share one piece of work evenly: their rates show the
// speeds of their workers to within a few percent. Other tasks of a step may
// differ by more than any two workers do; they only show that a worker is
// slowed down, and only if the middle half of them is alike.
#ifndef THORNPLANK_WORKLOAD_SPEED_ESTIMATOR_H_
#define THORNPLANK_WORKLOAD_SPEED_ESTIMATOR_H_

#include <map>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "workload/task_ref.h"

namespace thornplank {

// What a report shows about the speed of a run.
struct ProgressSample {
  TaskRef task;
  bool gang = false;
  // Percent of its work per second.
  double rate = 0;
  // Percent of its work over which the rate was observed.
  int percent_observed = 0;
  // The factor by which it takes longer here than near its data.
  double slowdown = 1;
  // The last report showed progress since the one before. The rate of a run
  // that stands still falls with time, whatever the hardware.
  bool advancing = true;
};

class SpeedEstimator {
 public:
  // Updates the speed of the worker from a sample of one of its runs.
  void Observe(const std::string& worker, const ProgressSample& sample,
               Time now);
  // The current speed; 1 for a healthy worker or one of which nothing is known.
  double speed(const std::string& worker, Time now) const;
  // The speed apart from temporary slowness: some hardware takes more than
  // twice as long. 1 if nothing is known.
  double steady_speed(const std::string& worker) const;
  // How long a whole task of the step takes near its data on a worker of speed
  // 1; zero if its siblings do not show that.
  Duration NormalDuration(const StepRef& step) const;

  // Drops observations that are too old to matter.
  void DropStale(Time now);

 private:
  struct Rate {
    std::string worker;
    // Percent per second, corrected for the distance to the data.
    double value = 0;
  };
  struct Step {
    bool gang = false;
    // By the index of the task.
    std::map<int, Rate> rates;
    // Rate on a worker of speed 1; zero if the siblings do not show it.
    double normal_rate = 0;
    Time evaluated{};
    Time last_seen{};
  };
  struct Recent {
    double speed = 1;
    Time last_seen{};
  };

  double NormalRate(const Step& step) const;
  bool ShowsHardware(const std::string& worker, const ProgressSample& sample,
                     double ratio) const;
  void UpdateSteady(const std::string& worker, double ratio);

  std::map<StepRef, Step> steps_;
  std::unordered_map<std::string, Recent> recent_;
  std::unordered_map<std::string, double> steady_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_SPEED_ESTIMATOR_H_
