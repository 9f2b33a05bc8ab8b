// An executor: a few slots, a bound on connections, a record of every run,
// and the ways in which an upstream goes wrong.
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

  // The entry of this executor in the instance list.
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
  struct Finished {
    ExchangePtr exchange;
    Reply reply;
  };
  // The counts say how many of the next answers go wrong in that way.
  struct Faults {
    Milliseconds late{0};
    int64_t cross_next = 0;
    int64_t truncate_next = 0;
    bool fail_fast = false;
    bool silent = false;
    int64_t close_after_request = 0;
    int64_t oversize_next = 0;
    int64_t oversize_bytes = 16 * 1024 * 1024;
  };

  // True when new work is refused because the executor is leaving.
  bool RefusesAsLeaving() const;
  void Refuse(const ExchangePtr& exchange, const std::string& reason);
  void Begin(const ExchangePtr& exchange);
  void Finish(const ExchangePtr& exchange, int64_t serial);
  // Holds one answer back and swaps it with the next.
  void Cross(Finished finished);
  void Send(const ExchangePtr& exchange, Reply reply);
  Reply MakeAnswer(const ExchangePtr& exchange, int64_t serial);

  const ExecutorSettings settings_;
  Faults faults_;
  // Set while leaving: since when.
  std::optional<Time> leaving_since_;
  // Slots in use; at most settings_.slots.
  int64_t busy_ = 0;
  std::optional<Finished> held_;
  // The last runs, bounded; runs_total_ counts all.
  std::deque<Run> runs_;
  int64_t runs_total_ = 0;
  int64_t refused_ = 0;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_EXECUTOR_ROLE_H_
