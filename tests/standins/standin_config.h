// The configuration of the stand-in program: which roles this process plays.
#ifndef THORNPLANK_TESTS_STANDINS_STANDIN_CONFIG_H_
#define THORNPLANK_TESTS_STANDINS_STANDIN_CONFIG_H_

#include <optional>
#include <vector>

#include "base/error.h"
#include "base/json.h"
#include "standins/executor_role.h"
#include "standins/instance_list_role.h"
#include "standins/log_role.h"
#include "standins/tcp_proxy.h"
#include "standins/users_advisor_role.h"
#include "standins/users_executor_role.h"
#include "standins/users_store_role.h"
#include "standins/worker_role.h"

namespace thornplank::standins {

struct StandinConfig {
  int64_t threads = 2;
  std::optional<LogRoleSettings> log;
  std::optional<InstanceListSettings> instance_list;
  // One entry per worker and executor; groups are expanded.
  std::vector<WorkerSettings> workers;
  std::vector<ExecutorSettings> executors;
  // The users' platform.
  std::optional<UsersStoreSettings> users_store;
  std::vector<UsersExecutorSettings> users_executors;
  std::optional<UsersAdvisorSettings> users_advisor;
  std::vector<ProxySettings> proxies;
};

// Checks the whole of `json`; unknown fields are errors. See README.md for
// the fields.
std::optional<StandinConfig> ParseStandinConfig(const Json& json, Error* error);

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_STANDIN_CONFIG_H_
