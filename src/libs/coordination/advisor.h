// Interface to the external service that approves workers for a step.
#ifndef THORNPLANK_COORDINATION_ADVISOR_H_
#define THORNPLANK_COORDINATION_ADVISOR_H_

#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "workload/advice_cache.h"
#include "workload/task_ref.h"

namespace thornplank {

// The answer to one request.
struct Advice {
  bool answered = false;
  // Those of the requested workers that are approved; all others are rejected.
  std::vector<ApprovedWorker> approved;
  // How long the approval holds, counted from the request.
  Milliseconds validity{0};
  // Set when `answered` is false.
  Error error;
};

class Advisor {
 public:
  virtual ~Advisor() = default;

  // `done` runs exactly once, on the loop of the scheduler.
  virtual void RequestAdvice(const StepRef& step,
                             const std::vector<std::string>& workers,
                             Milliseconds timeout,
                             std::function<void(const Advice&)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_ADVISOR_H_
