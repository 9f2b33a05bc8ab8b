// How fast workers are, judged by tasks of one step that run side by side.
//
// Callers' estimates are off by a factor of two and more, but by the same
// factor for all tasks of a step. So the progress of a task is compared with
// that of its siblings on other workers, and the ratio is held for the worker.
#ifndef THORNPLANK_WORKLOAD_SPEED_BOOK_H_
#define THORNPLANK_WORKLOAD_SPEED_BOOK_H_

#include <map>
#include <string>

#include "base/time.h"
#include "workload/task_ref.h"

namespace thornplank {

class SpeedBook {
 public:
  // A task of `step` on `worker` does `rate` percent a second, which takes
  // `slowdown` times longer than near its data. The worker's speed follows.
  void Observe(const std::string& worker, const StepRef& step, double rate,
               double slowdown, Time now);
  // 1 for a sound worker or one of which nothing is known.
  double speed(const std::string& worker, Time now) const;
  // How long a whole task of the step takes on a sound worker near its data;
  // zero when no two workers have shown it.
  Duration SoundDuration(const StepRef& step) const;

  // Drops what is too old to matter.
  void Forget(Time now);

 private:
  struct Step {
    // Percent a second, by worker.
    std::map<std::string, double> rates;
    Time last{};
  };
  struct Speed {
    double value = 1;
    Time last{};
  };

  static double SoundRate(const Step& step);

  std::map<StepRef, Step> steps_;
  std::map<std::string, Speed> speeds_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_SPEED_BOOK_H_
