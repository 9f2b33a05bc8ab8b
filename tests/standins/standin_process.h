// Runs the configured roles of one process on a shared io_context.
#ifndef THORNPLANK_TESTS_STANDINS_STANDIN_PROCESS_H_
#define THORNPLANK_TESTS_STANDINS_STANDIN_PROCESS_H_

#include <boost/asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins/standin_config.h"

namespace thornplank::standins {

class StandinProcess {
 public:
  StandinProcess();
  // Calls Stop.
  ~StandinProcess();

  // Opens the listeners of all roles in `config`, then starts the threads.
  // Returns false and sets `*error` if a listener cannot be opened.
  bool Start(const StandinConfig& config, Error* error);
  void Stop();

  // The addresses in use:
  // {"log","instance_list","workers":{name:address},"executors":{…},
  //  "proxies":[{"listen","control","target"}]}.
  Json Addresses() const;

 private:
  boost::asio::any_io_executor NewStrand();
  bool OpenRoles(const StandinConfig& config, Error* error);
  bool OpenUsersPlatform(const StandinConfig& config, Error* error);
  bool OpenProxies(const StandinConfig& config, Error* error);
  void FillInstanceList(const InstanceListSettings& settings);

  // Declared before the roles, because their sockets must be destroyed first.
  boost::asio::io_context io_;
  std::unique_ptr<LogRole> log_;
  std::unique_ptr<InstanceListRole> instance_list_;
  std::map<std::string, std::unique_ptr<WorkerRole>> workers_;
  std::map<std::string, std::unique_ptr<ExecutorRole>> executors_;
  std::unique_ptr<UsersStoreRole> users_store_;
  std::unique_ptr<UsersAdvisorRole> users_advisor_;
  std::map<std::string, std::unique_ptr<UsersExecutorRole>> users_executors_;
  std::vector<std::unique_ptr<TcpProxy>> proxies_;
  // Addresses of the possible targets of a proxy, by name of the role.
  std::map<std::string, std::string> role_addresses_;
  // Resolved "ip:port" targets, in the order of proxies_.
  std::vector<std::string> proxy_targets_;
  std::vector<std::thread> threads_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_STANDIN_PROCESS_H_
