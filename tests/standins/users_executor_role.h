// One of the users' executors over HTTP, with faults.
#ifndef THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_ROLE_H_

#include <functional>
#include <optional>
#include <random>
#include <string>

#include "standins/role.h"
#include "standins/users_executor_model.h"

namespace thornplank::standins {

struct UsersExecutorSettings {
  std::string name;
  std::string listen;
  std::string service;
  std::string failure_domain;
  std::string rack;
  Resources capacity;
  Milliseconds heartbeat{300};
};

class UsersExecutorRole : public Role {
 public:
  // Writes an entry of the registry; without a value it is removed.
  using Publish =
      std::function<void(const std::string&, std::optional<std::string>)>;

  UsersExecutorRole(const boost::asio::any_io_executor& executor,
                    UsersExecutorSettings settings);

  // Starts to send heartbeats.
  void StartHeartbeats(Publish publish);

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  int64_t Clock() const;
  void Heartbeat();
  void Hold(const ExchangePtr& exchange, const StatusQuery& query, Time until);
  Reply Order(const std::string& path, const Json& body);
  // The task that was just started takes the executor down, if it does so.
  void CrashUnder(const StartOrder& order);
  // Everything ends. The next life answers a moment later; the entry of this
  // one lapses.
  void CrashSilently();

  const UsersExecutorSettings settings_;
  UsersExecutorModel model_;
  boost::asio::steady_timer timer_;
  Publish publish_;
  std::mt19937 random_;
  bool silent_ = false;
  // Between two lives: nobody listens.
  bool down_ = false;
  bool draining_ = false;
  // Share of the orders that get no answer and are carried out later.
  double late_share_ = 0;
  // Share of the orders that are carried out and get no answer.
  double lost_share_ = 0;
  Milliseconds late_by_{2500};
  int64_t beats_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_ROLE_H_
