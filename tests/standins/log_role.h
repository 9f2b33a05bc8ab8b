// Stand-in for the log service: streams of records with offsets, limited
// retention, a rate limit for appends, and long-poll reads.
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
  // Limit of batches per second over all streams; 0 means no limit.
  int64_t appends_per_second = 400;
  // Records kept per stream; 0 keeps all.
  int64_t retain_records = 0;
  // How long records are kept; 0 keeps them forever.
  Milliseconds retention{0};
};

// Rate limiter whose bursts may reach the number of events of kBurstSeconds.
class TokenBucket {
 public:
  // A rate of 0 admits every event.
  void set_rate(int64_t per_second);
  // Returns whether an event is admitted at `now`.
  bool Take(Time now);

 private:
  int64_t rate_ = 0;
  // Events that may be admitted at once; at most the size of a burst.
  double tokens_ = 0;
  Time last_refill_;
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
    // The JSON object that reads return.
    std::string text;
  };
  // A long-poll read that waits for a record.
  struct Waiter {
    ExchangePtr exchange;
    int64_t from = 0;
    int64_t max = 0;
  };
  struct Stream {
    int64_t first_offset = 0;
    // records[i] has the offset first_offset + i.
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
  void AnswerReadyWaiters(Stream& stream);
  void ApplyRetention(Stream& stream);
  // Answers after `delay_ms` of the control interface.
  void Answer(const ExchangePtr& exchange, Reply reply);

  LogRoleSettings settings_;
  TokenBucket bucket_;
  bool outage_ = false;
  Milliseconds delay_{0};
  int64_t lose_replies_ = 0;
  Counters counters_;
  // By name. Streams are never removed, so references to them stay valid.
  std::map<std::string, Stream> streams_;
};

}  // namespace thornplank::standins

#endif  // THORNPLANK_TESTS_STANDINS_LOG_ROLE_H_
