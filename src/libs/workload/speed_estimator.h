// How fast workers are, judged by tasks of one step that run side by side.
//
// Callers' estimates are off by a factor of two and more, but by the same
// factor for all tasks of a step. So the progress of a task is compared with
// that of its siblings on other workers, and the ratio is held for the worker.
//
// The members of a gang share one piece of work evenly: their rates tell the
// speeds of their workers to a few percent. Other tasks of a step may differ by
// more than any two workers do; they tell only of workers that are slowed, and
// only where the middle half of them is alike.
#ifndef THORNPLANK_WORKLOAD_SPEED_ESTIMATOR_H_
#define THORNPLANK_WORKLOAD_SPEED_ESTIMATOR_H_

#include <map>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "workload/task_ref.h"

namespace thornplank {

// What a report shows of a run's speed.
struct ProgressSample {
  TaskRef task;
  bool gang = false;
  // Percent of its work a second.
  double rate = 0;
  // Percent of its work from which that is told.
  int percent_observed = 0;
  // It takes so many times longer here than near its data.
  double slowdown = 1;
};

class SpeedEstimator {
 public:
  // The speed of the worker on which the run is follows.
  void Observe(const std::string& worker, const ProgressSample& pace, Time now);
  // At present: 1 for a sound worker or one of which nothing is known.
  double speed(const std::string& worker, Time now) const;
  // For good, but for spells in which it is slowed: some hardware takes 1.3
  // times as long. 1 where nothing is known.
  double steady_speed(const std::string& worker) const;
  // How long a whole task of the step takes on a sound worker near its data;
  // zero when its siblings don't tell.
  Duration NormalDuration(const StepRef& step) const;

  // Drops what is too old to matter.
  void DropStale(Time now);

 private:
  struct Rate {
    std::string worker;
    // Percent a second, near the data.
    double value = 0;
  };
  struct Step {
    bool gang = false;
    // By the task's index.
    std::map<int, Rate> rates;
    // On a worker of speed 1; zero when the siblings don't tell.
    double normal_rate = 0;
    Time judged{};
    Time last{};
  };
  struct Recent {
    double speed = 1;
    Time last{};
  };

  double NormalRate(const Step& step) const;
  void Learn(const std::string& worker, double ratio);

  std::map<StepRef, Step> steps_;
  std::unordered_map<std::string, Recent> recent_;
  std::unordered_map<std::string, double> steady_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_SPEED_ESTIMATOR_H_
