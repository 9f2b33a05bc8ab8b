// The outside service that says which workers may run a step.
#ifndef THORNPLANK_COORDINATION_ADVISOR_H_
#define THORNPLANK_COORDINATION_ADVISOR_H_

#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "workload/advice_book.h"
#include "workload/task_ref.h"

namespace thornplank {

struct Advice {
  bool answered = false;
  // Of the workers that were named; the others are turned down.
  std::vector<ApprovedWorker> approved;
  // From the question on.
  Milliseconds validity{0};
  Error error;
};

class Advisor {
 public:
  virtual ~Advisor() = default;

  // The callback runs once, on the loop that the scheduler runs on.
  virtual void RequestAdvice(const StepRef& step,
                             const std::vector<std::string>& workers,
                             Milliseconds timeout,
                             std::function<void(const Advice&)> done) = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_ADVISOR_H_
