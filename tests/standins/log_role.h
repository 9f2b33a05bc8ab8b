// The log service: streams of records with offsets, bounded retention, a cap
// on appends and long-poll reads.
#ifndef THORNPLANK_TESTS_STANDINS_LOG_ROLE_H_
#define THORNPLANK_TESTS_STANDINS_LOG_ROLE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include "standins/role.h"

namespace thornplank::standins {

struct LogRoleSettings {
  std::string listen;
  // Batches a second over all streams; 0 is no cap.
  int64_t appends_per_second = 400;
  // Kept per stream; 0 keeps all.
  int64_t retain_records = 0;
  Milliseconds retain{0};
};

// Admits `rate` events a second with bursts of a quarter of a second.
class TokenBucket {
 public:
  // 0 admits everything.
  void set_rate(int64_t per_second);
  bool Take(Time now);

 private:
  int64_t rate_ = 0;
  // Between 0 and the burst.
  double tokens_ = 0;
  Time filled_;
};

class LogRole : public Role {
 public:
  LogRole(const boost::asio::any_io_executor& executor,
          const LogRoleSettings& settings);

 protected:
  void Handle(ExchangePtr exchange) override;
  Json ControlState() override;
  bool ApplyControl(const Json& control, Error* error) override;

 private:
  struct Record {
    Time time;
    // The record as read: one JSON object.
    std::string text;
  };
  struct Waiter {
    ExchangePtr exchange;
    int64_t from = 0;
    int64_t max = 0;
  };
  struct Stream {
    int64_t first_offset = 0;
    // Record i has the offset first_offset + i.
    std::deque<Record> records;
    std::list<Waiter> waiters;

    int64_t next_offset() const {
      return first_offset + static_cast<int64_t>(records.size());
    }
  };
  struct Counters {
    int64_t appends = 0;
    int64_t records = 0;
    int64_t append_bytes = 0;
    int64_t refused = 0;
    int64_t reads = 0;
    int64_t read_bytes = 0;
    int64_t lost_replies = 0;
  };

  void Append(Stream& stream, const ExchangePtr& exchange);
  void Read(Stream& stream, const ExchangePtr& exchange);
  void AnswerRead(Stream& stream, const Waiter& waiter);
  void WakeWaiters(Stream& stream);
  void Trim(Stream& stream);
  // Answers after the delay that is switched on.
  void Answer(const ExchangePtr& exchange, Reply reply);

  LogRoleSettings settings_;
  TokenBucket bucket_;
  bool outage_ = false;
  Milliseconds delay_{0};
  int64_t lose_replies_ = 0;
  Counters counters_;
  // Streams are never removed, so that references stay valid.
  std::map<std::string, Stream> streams_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_LOG_ROLE_H_
