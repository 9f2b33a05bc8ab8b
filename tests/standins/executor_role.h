// Stand-in for an executor: limited slots and connections, a history of its
// runs, and the faults of a failing upstream.
#ifndef THORNPLANK_TESTS_STANDINS_EXECUTOR_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_EXECUTOR_ROLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "standins/role.h"

namespace thornplank::standins {

struct ExecutorSettings {
  std::string name;
  std::string listen;
  std::string failure_domain;
  std::string service;
  int64_t slots = 8;
  int64_t max_connections = 60;
  Milliseconds service_time{20};
};

class ExecutorRole : public Role {
 public:
  ExecutorRole(const boost::asio::any_io_executor& executor,
               ExecutorSettings settings);

  // This executor as it is listed in the instance list.
  Json Instance() const;

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  struct Run {
    std::string request_id;
    std::string key;
    std::string digest;
    int64_t time_ms = 0;
  };
  struct HeldAnswer {
    ExchangePtr exchange;
    Reply reply;
  };
  // Members of type int64_t, except oversize_bytes, hold the number of answers
  // that the fault still affects.
  struct Faults {
    Milliseconds extra_delay{0};
    int64_t cross_next = 0;
    int64_t truncate_next = 0;
    bool fail_fast = false;
    bool silent = false;
    int64_t close_after_request = 0;
    int64_t oversize_next = 0;
    int64_t oversize_bytes = 16 * 1024 * 1024;
  };

  // Whether the executor is leaving and its grace period for new work is over.
  bool IsRefusingAsLeaving() const;
  void Refuse(const ExchangePtr& exchange, const std::string& reason);
  void StartRun(const ExchangePtr& exchange);
  void FinishRun(const ExchangePtr& exchange, int64_t run_number);
  // Holds back every other answer and swaps its body with that of the next.
  void CrossAnswers(HeldAnswer answer);
  void Send(const ExchangePtr& exchange, Reply reply);
  Reply MakeAnswer(const ExchangePtr& exchange, int64_t run_number);

  const ExecutorSettings settings_;
  Faults faults_;
  // Set while the executor is leaving.
  std::optional<Time> leaving_since_;
  // Slots in use; at most settings_.slots.
  int64_t busy_slots_ = 0;
  // An answer that waits for another one to be swapped with.
  std::optional<HeldAnswer> held_answer_;
  // The last kMaxRuns runs; runs_total_ counts all.
  std::deque<Run> runs_;
  int64_t runs_total_ = 0;
  int64_t refused_requests_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_EXECUTOR_ROLE_H_
