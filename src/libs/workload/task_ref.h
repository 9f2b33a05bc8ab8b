// References to a step of a job and to one of its tasks.
#ifndef THORNPLANK_WORKLOAD_TASK_REF_H_
#define THORNPLANK_WORKLOAD_TASK_REF_H_

#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace thornplank {

struct StepRef {
  std::string job;
  int occurrence = 0;
  int step = 0;

  // "JOB.OCCURRENCE.STEP"
  std::string ToString() const;
};

inline bool operator<(const StepRef& a, const StepRef& b) {
  return std::tie(a.job, a.occurrence, a.step) <
         std::tie(b.job, b.occurrence, b.step);
}
inline bool operator==(const StepRef& a, const StepRef& b) {
  return std::tie(a.job, a.occurrence, a.step) ==
         std::tie(b.job, b.occurrence, b.step);
}

struct TaskRef {
  StepRef step;
  int index = 0;

  // "JOB.OCCURRENCE.STEP.INDEX"
  std::string ToString() const;
};

inline bool operator<(const TaskRef& a, const TaskRef& b) {
  return std::tie(a.step, a.index) < std::tie(b.step, b.index);
}
inline bool operator==(const TaskRef& a, const TaskRef& b) {
  return std::tie(a.step, a.index) == std::tie(b.step, b.index);
}

std::optional<StepRef> ParseStepRef(std::string_view text);
std::optional<TaskRef> ParseTaskRef(std::string_view text);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_TASK_REF_H_
