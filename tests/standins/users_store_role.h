// The users' store over HTTP, with faults.
#ifndef THORNPLANK_TESTS_STANDINS_USERS_STORE_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_USERS_STORE_ROLE_H_

#include <list>
#include <random>
#include <string>

#include "standins/role.h"
#include "standins/users_store_model.h"

namespace thornplank::standins {

struct UsersStoreSettings {
  std::string listen;
  // Of each answer.
  Milliseconds answer_time{2};
};

class UsersStoreRole : public Role {
 public:
  UsersStoreRole(const boost::asio::any_io_executor& executor,
                 UsersStoreSettings settings);

  // An executor's entry; without a value it is removed. Any thread.
  void Publish(const std::string& id, std::optional<std::string> entry);

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  void Put(const std::string& topic, const std::string& key,
           const std::optional<std::string>& value);
  // A read that waits for a record.
  struct Waiting {
    ExchangePtr exchange;
    Partition partition;
    int64_t from = 0;
    Time until{};
  };

  void Append(const ExchangePtr& exchange);
  void Read(const ExchangePtr& exchange);
  void Newest(const ExchangePtr& exchange);
  void AnswerRead(const ExchangePtr& exchange, const Partition& partition,
                  int64_t from);
  void WakeReaders();
  bool Chance(double share);

  const UsersStoreSettings settings_;
  UsersStoreModel model_;
  std::list<Waiting> waiting_;
  boost::asio::steady_timer timer_;
  std::mt19937 random_{1};
  // "up", "busy" (503) or "silent".
  std::string mode_ = "up";
  Milliseconds slow_{0};
  // Shares of the appends that are done without an answer, and of those that
  // are done later without an answer.
  double lost_share_ = 0;
  double late_share_ = 0;
  Milliseconds late_by_{1500};
  int64_t calls_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_STORE_ROLE_H_
