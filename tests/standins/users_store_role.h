// Stand-in for the users' store: serves a UsersStoreModel over HTTP, with
// faults.
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
  // Delay of each answer.
  Milliseconds answer_time{2};
};

class UsersStoreRole : public Role {
 public:
  UsersStoreRole(const boost::asio::any_io_executor& executor,
                 UsersStoreSettings settings);

  // Writes the registry entry of an executor, or removes it if there is no
  // value. May be called on any thread.
  void Publish(const std::string& id, std::optional<std::string> entry);

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  void PutRecord(const std::string& topic, const std::string& key,
                 const std::optional<std::string>& value);
  // A long-poll read that waits for a record.
  struct WaitingRead {
    ExchangePtr exchange;
    Partition partition;
    int64_t from = 0;
    Time deadline{};
  };

  void Append(const ExchangePtr& exchange);
  void Read(const ExchangePtr& exchange);
  void ReadNewest(const ExchangePtr& exchange);
  void AnswerRead(const ExchangePtr& exchange, const Partition& partition,
                  int64_t from);
  // Answers the waiting reads that are due, and schedules the next check.
  void AnswerDueReads();
  // Whether it has a record of late_key_.
  bool HasLateKey(const AppendRequest& request) const;
  // True with the probability `share`.
  bool IsSelected(double share);

  const UsersStoreSettings settings_;
  UsersStoreModel model_;
  StoreLimits limits_;
  std::list<WaitingRead> waiting_reads_;
  boost::asio::steady_timer timer_;
  std::mt19937 random_{1};
  // "up", "busy" (503) or "silent".
  std::string mode_ = "up";
  Milliseconds extra_answer_time_{0};
  // Share of the appends that are stored without an answer, and share of those
  // that are stored after late_delay_ without an answer.
  double lost_share_ = 0;
  double late_share_ = 0;
  Milliseconds late_delay_{1500};
  // Appends with a record of this key are late as well; "" for none.
  std::string late_key_;
  int64_t calls_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_USERS_STORE_ROLE_H_
