// Starts and stops the roles.
#include "standins/standin_process.h"

#include <utility>

namespace thornplank::standins {

namespace {

// Creates `*role` and opens its listener.
template <typename RoleType, typename Settings>
bool OpenRole(const boost::asio::any_io_executor& strand,
              const Settings& settings, std::unique_ptr<RoleType>* role,
              Error* error) {
  *role = std::make_unique<RoleType>(strand, settings);
  return (*role)->Open(settings.listen, error);
}

template <typename RoleType>
Json AddressesOf(
    const std::map<std::string, std::unique_ptr<RoleType>>& roles) {
  Json addresses = Json::object();
  for (const auto& [name, role] : roles) addresses[name] = role->address();
  return addresses;
}

}  // namespace

StandinProcess::StandinProcess() = default;

StandinProcess::~StandinProcess() { Stop(); }

bool StandinProcess::Start(const StandinConfig& config, Error* error) {
  if (!OpenRoles(config, error) || !OpenProxies(config, error)) return false;
  if (config.instance_list) FillInstanceList(*config.instance_list);
  for (int64_t count = 0; count < config.threads; ++count) {
    threads_.emplace_back([this] { io_.run(); });
  }
  return true;
}

void StandinProcess::Stop() {
  io_.stop();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

Json StandinProcess::Addresses() const {
  Json proxies = Json::array();
  for (size_t index = 0; index < proxies_.size(); ++index) {
    proxies.push_back({{"listen", proxies_[index]->forwarding_address()},
                       {"control", proxies_[index]->address()},
                       {"target", proxy_targets_[index]}});
  }
  return {{"log", log_ ? log_->address() : ""},
          {"instance_list", instance_list_ ? instance_list_->address() : ""},
          {"workers", AddressesOf(workers_)},
          {"executors", AddressesOf(executors_)},
          {"users_store", users_store_ ? users_store_->address() : ""},
          {"users_executors", AddressesOf(users_executors_)},
          {"proxies", proxies}};
}

boost::asio::any_io_executor StandinProcess::NewStrand() {
  return boost::asio::make_strand(io_);
}

bool StandinProcess::OpenRoles(const StandinConfig& config, Error* error) {
  if (config.log) {
    if (!OpenRole(NewStrand(), *config.log, &log_, error)) return false;
    role_addresses_["log"] = log_->address();
  }
  if (config.instance_list) {
    if (!OpenRole(NewStrand(), *config.instance_list, &instance_list_, error)) {
      return false;
    }
    role_addresses_["instance_list"] = instance_list_->address();
  }
  for (const WorkerSettings& settings : config.workers) {
    auto& role = workers_[settings.name];
    if (!OpenRole(NewStrand(), settings, &role, error)) return false;
    role_addresses_[settings.name] = role->address();
  }
  for (const ExecutorSettings& settings : config.executors) {
    auto& role = executors_[settings.name];
    if (!OpenRole(NewStrand(), settings, &role, error)) return false;
    role_addresses_[settings.name] = role->address();
  }
  return OpenUsersPlatform(config, error);
}

bool StandinProcess::OpenUsersPlatform(const StandinConfig& config,
                                       Error* error) {
  if (!config.users_store) return true;
  if (!OpenRole(NewStrand(), *config.users_store, &users_store_, error)) {
    return false;
  }
  role_addresses_["users_store"] = users_store_->address();
  if (config.users_advisor &&
      !OpenRole(NewStrand(), *config.users_advisor, &users_advisor_, error)) {
    return false;
  }
  for (const UsersExecutorSettings& settings : config.users_executors) {
    auto& role = users_executors_[settings.name];
    if (!OpenRole(NewStrand(), settings, &role, error)) return false;
    role_addresses_[settings.name] = role->address();
    role->StartHeartbeats(
        [this](const std::string& id, std::optional<std::string> entry) {
          users_store_->Publish(id, std::move(entry));
        });
  }
  return true;
}

bool StandinProcess::OpenProxies(const StandinConfig& config, Error* error) {
  for (const ProxySettings& settings : config.proxies) {
    auto named = role_addresses_.find(settings.target);
    proxy_targets_.push_back(named == role_addresses_.end() ? settings.target
                                                            : named->second);
    proxies_.push_back(std::make_unique<TcpProxy>(NewStrand(), settings));
    if (!proxies_.back()->Open(settings.control, error)) return false;
    if (!proxies_.back()->OpenForwarding(proxy_targets_.back(), error)) {
      return false;
    }
  }
  return true;
}

void StandinProcess::FillInstanceList(const InstanceListSettings& settings) {
  if (!settings.include_own) return;
  Json instances = settings.instances;
  for (const auto& [name, role] : workers_) {
    instances.push_back(role->Instance());
  }
  for (const auto& [name, role] : executors_) {
    instances.push_back(role->Instance());
  }
  instance_list_->SetInitialInstances(instances);
}

}  // namespace thornplank::standins
