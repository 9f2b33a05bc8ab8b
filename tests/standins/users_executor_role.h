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
  // The model's time, in which histories of all executors compare.
  int64_t Clock() const;
  // What the executor's own clock shows: it begins anew with each life.
  int64_t OwnClock() const { return Clock() - life_began_; }
  void Heartbeat();
  void Hold(const ExchangePtr& exchange, const StatusQuery& query, Time until);
  Reply Order(const std::string& path, const Json& body);
  // The task that was just started takes the executor down, if it does so.
  void CrashUnder(const StartOrder& order);
  // Everything ends. The next life answers a moment later, under a new id,
  // where the entry of this one lapses, or under the same.
  void CrashSilently(bool keep_id);
  void BeginLife();

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
  // What its clock, which begins anew with each life, is behind the model's.
  // The first life is that of a machine which was up for long.
  int64_t life_began_ = 0;
  // In Unix milliseconds.
  int64_t born_ = 0;
  // It is back under its id after a crash by a task.
  bool keeps_id_ = false;
  // From a crash until the next life answers.
  Milliseconds restart_{300};
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_ROLE_H_
