// Inputs and helpers shared by the tests of routing.
#ifndef THORNPLANK_TESTS_AUTO_ROUTING_ROUTING_FIXTURES_H_
#define THORNPLANK_TESTS_AUTO_ROUTING_ROUTING_FIXTURES_H_

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "routing/request_router.h"

namespace thornplank::routing_test {

using std::chrono::milliseconds;

inline const std::string kService = "claims";

inline Time At(int64_t ms) {
  return Time(std::chrono::seconds(1000)) + milliseconds(ms);
}

inline ExecutorInfo MakeExecutor(int number, int slots = 8) {
  ExecutorInfo executor;
  executor.name = "executor-" + std::to_string(100 + number);
  executor.address = "127.0.0.1:" + std::to_string(9000 + number);
  executor.service = kService;
  executor.failure_domain = "domain-" + std::to_string(number % 4);
  executor.slots = slots;
  return executor;
}

inline std::vector<ExecutorInfo> MakeExecutors(int count, int slots = 8) {
  std::vector<ExecutorInfo> executors;
  executors.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    executors.push_back(MakeExecutor(i, slots));
  }
  return executors;
}

inline AccountLimits MakeAccount(const std::string& name, int guaranteed = 0,
                                 double weight = 1.0) {
  AccountLimits limits;
  limits.account = name;
  limits.guaranteed_slots = guaranteed;
  limits.weight = weight;
  return limits;
}

inline RequestInfo MakeRequest(const std::string& id,
                               const std::string& account, Time deadline,
                               bool idempotent = true) {
  RequestInfo request;
  request.id = id;
  request.account = account;
  request.service = kService;
  request.deadline = deadline;
  request.idempotent = idempotent;
  return request;
}

inline AttemptResult MakeResult(AttemptOutcome outcome, int latency_ms = 10,
                                bool leaving = false) {
  AttemptResult result;
  result.outcome = outcome;
  result.latency = milliseconds(latency_ms);
  result.leaving = leaving;
  return result;
}

// Returns the actions of type T, in order.
template <typename T>
std::vector<T> ActionsOfType(const RoutingActions& actions) {
  std::vector<T> result;
  for (const RoutingAction& action : actions) {
    const T* found = std::get_if<T>(&action);
    if (found == nullptr) {
      continue;
    }
    result.push_back(*found);
  }
  return result;
}

}  // namespace thornplank::routing_test

#endif  // THORNPLANK_TESTS_AUTO_ROUTING_ROUTING_FIXTURES_H_
