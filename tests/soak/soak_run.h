// One randomized run of hosted entries under faults, all drawn from a seed.
//
// Callers submit, ask and cancel on threads of their own while series of faults
// overlap: entries killed, stopped, frozen, cut off from the store; the store
// silent, refusing, slow, losing answers or history; executors late, silent,
// reborn; signals. Afterwards everything is mended, and each promise is checked
// against what executors and callers saw.
#ifndef THORNPLANK_TESTS_SOAK_SOAK_RUN_H_
#define THORNPLANK_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace thornplank {

struct SoakSettings {
  uint32_t seed = 1;
  std::chrono::seconds length{10};
  int entries = 4;
  int executors = 8;
  int callers = 2;
  // Also: tasks that crash their executors, executors that shrink and grow, and
  // such that restart under their ids.
  // These are drawn apart, so that a seed's other draws stay as they were.
  bool crashes = true;
};

struct SoakReport {
  int jobs = 0;
  int accepted = 0;
  int completed = 0;
  int runs = 0;
  // What was done, in order, for the reader of a failed run.
  std::vector<std::string> faults;
  // Promises that were broken.
  std::vector<std::string> problems;
  // Where the logs are, when they are kept.
  std::string folder;
};

SoakReport RunSoak(const SoakSettings& settings);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_SOAK_SOAK_RUN_H_
