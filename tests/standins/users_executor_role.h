// Stand-in for one of the users' executors: serves a UsersExecutorModel over
// HTTP, with faults.
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
  Milliseconds heartbeat_interval{300};
};

class UsersExecutorRole : public Role {
 public:
  // Writes the entry with an id to the registry of executors, or removes it if
  // there is no value.
  using PublishFunction =
      std::function<void(const std::string&, std::optional<std::string>)>;

  UsersExecutorRole(const boost::asio::any_io_executor& executor,
                    UsersExecutorSettings settings);

  // Starts to send heartbeats.
  void StartHeartbeats(PublishFunction publish);

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  // Clock of the model, in milliseconds. It is the same for all executors, so
  // that their histories can be compared.
  int64_t ModelClock() const;
  // Clock that the executor shows to others, which restarts with each
  // incarnation.
  int64_t OwnClock() const { return ModelClock() - own_clock_offset_; }
  // Publishes the entry and schedules the next heartbeat.
  void Heartbeat();
  // Answers once there is an end to report, and at `until` at the latest.
  void HandleStatusQuery(const ExchangePtr& exchange, const StatusQuery& query,
                         Time until);
  // Carries out a start, stop or pace order.
  Reply HandleOrder(const std::string& path, const Json& body);
  // Schedules the crash that the payload of a started task asks for, if any.
  void ScheduleCrash(const StartOrder& order);
  // Ends all runs. The next incarnation answers after restart_time_, with the
  // same id, or with a new one; then the entry of the present one expires.
  void CrashAndRestart(bool keep_id);
  // Ends all runs; nothing answers here any more, and the entry lapses.
  void LeaveForGood();
  void BeginIncarnation();

  const UsersExecutorSettings settings_;
  UsersExecutorModel model_;
  boost::asio::steady_timer timer_;
  PublishFunction publish_;
  std::mt19937 random_;
  // Answers no call and writes no entries.
  bool silent_ = false;
  // Answers no call, but writes its entries.
  bool unreachable_ = false;
  // Between two incarnations, when no call is answered.
  bool down_ = false;
  // Down for good: controls have no effect any more.
  bool gone_ = false;
  bool draining_ = false;
  // Share of the orders that get no answer and are carried out after
  // late_delay_.
  double late_share_ = 0;
  // Share of the orders that are carried out and get no answer.
  double lost_share_ = 0;
  Milliseconds late_delay_{2500};
  int64_t heartbeat_count_ = 0;
  // Milliseconds by which the own clock is behind the clock of the model. It is
  // 0 in the first incarnation, like on a machine that has been up for long.
  int64_t own_clock_offset_ = 0;
  // Start of the incarnation, in Unix milliseconds.
  int64_t start_ms_ = 0;
  // Whether the executor keeps its id when a task crashes it.
  bool keeps_id_ = false;
  // From a crash until the next incarnation answers.
  Milliseconds restart_time_{300};
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_EXECUTOR_ROLE_H_
