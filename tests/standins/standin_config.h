// Configuration of the stand-in program: the roles that the process runs.
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
  // One element per worker and executor, with the groups of the file expanded.
  std::vector<WorkerSettings> workers;
  std::vector<ExecutorSettings> executors;
  // Stand-ins for the platform of the users: their store, executors and
  // advisor.
  std::optional<UsersStoreSettings> users_store;
  std::vector<UsersExecutorSettings> users_executors;
  std::optional<UsersAdvisorSettings> users_advisor;
  std::vector<ProxySettings> proxies;
};

// Parses and checks `json`. Unknown fields are errors. README.md lists the
// fields.
std::optional<StandinConfig> ParseStandinConfig(const Json& json, Error* error);

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_STANDIN_CONFIG_H_
