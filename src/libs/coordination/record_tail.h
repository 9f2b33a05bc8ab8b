// Follows one partition: the newest record of each key, then every new one.
#ifndef THORNPLANK_COORDINATION_RECORD_TAIL_H_
#define THORNPLANK_COORDINATION_RECORD_TAIL_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/boot_clock.h"
#include "base/time.h"
#include "coordination/record_store.h"

namespace thornplank {

struct RecordTailSettings {
  Partition partition;
  // How long one read waits for a record. Also the age that what is known has
  // at most while the store answers.
  Milliseconds long_poll_wait{1000};
  // Beyond the wait, until an answer counts as lost.
  Milliseconds response_timeout{900};
  // Between the starts of two reads; it bounds what a busy stream costs.
  Milliseconds min_read_interval{0};
  // After a failed read. Each further failure doubles it, up to
  // `max_retry_delay`; a quarter more or less, drawn with `seed`, so that many
  // entries which lost the store at one moment don't come back to it together.
  Milliseconds initial_retry_delay{150};
  Milliseconds max_retry_delay{1200};
  uint32_t seed = 0;
};

class RecordTail {
 public:
  struct Handlers {
    std::function<void(const KeyedRecord&)> on_record;
    // The tail began anew; keys outside the set are gone.
    std::function<void(const std::set<std::string>&)> on_snapshot;
    // Everything that was stored when the read began has been handed over.
    std::function<void()> on_caught_up;
    std::function<void(const Error&)> on_failure;
  };

  RecordTail(boost::asio::io_context& io, RecordStore& store,
             RecordTailSettings settings, Handlers handlers);
  ~RecordTail();

  void Start();
  void Stop();
  // Reads at once, outside the pace; `done` gets whether it reached the end.
  void CatchUp(Milliseconds timeout, std::function<void(bool)> done);

  // Another stream of the store has come back: where this one is lost, it is
  // read at once, beside a read that may hang yet.
  void RetryIfLost(Milliseconds timeout);

  // Whether the newest records were read once.
  bool has_snapshot() const;
  // The offset of the next record.
  int64_t next_offset() const;
  // When the last read began that reached the end.
  BootTime as_of() const;
  // How long the store takes to answer, beyond what a read waits for a record.
  Duration latency() const;
  void set_min_read_interval(Milliseconds interval);
  void set_max_retry_delay(Milliseconds longest);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_RECORD_TAIL_H_
