// Jobs that have nothing running although there is room for them.
#ifndef THORNPLANK_TESTS_SOAK_IDLE_WAITS_H_
#define THORNPLANK_TESTS_SOAK_IDLE_WAITS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json.h"
#include "run_checker.h"

namespace thornplank {

// Returns one line for each completed job that had nothing running for over 3 s
// on end, begun after `from_ms` on the executors' clock, while under half of
// `accelerators` were in use all the time. Jobs that crash executors may wait.
std::vector<std::string> FindIdleWaits(
    const std::vector<Json>& runs,
    const std::map<std::string, SubmittedJob>& jobs, int64_t from_ms,
    int accelerators);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_SOAK_IDLE_WAITS_H_
