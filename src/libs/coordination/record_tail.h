// Follows one partition: reads the newest record of each key (the snapshot),
// then every new record by long polls. Failed reads are retried with growing
// delays.
//
// Used on the loop of `io` only.
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
  // How long one read waits for a record. While the store answers, this is also
  // the greatest age of what has been read.
  Milliseconds long_poll_wait{1000};
  // A read has failed if it has no answer for this long after `long_poll_wait`.
  Milliseconds response_timeout{900};
  // Between the starts of two reads; limits the load of a busy stream.
  Milliseconds min_read_interval{0};
  // Delay after a failed read. Each further failure doubles it, up to
  // `max_retry_delay`. It varies by up to a quarter, drawn with `seed`, so that
  // many entries that lost the store at the same moment don't retry together.
  Milliseconds initial_retry_delay{150};
  Milliseconds max_retry_delay{1200};
  uint32_t seed = 0;
  // How long the long poll may take to deliver a record that is stored.
  Milliseconds delivery_delay{25};
  Milliseconds delivery_timeout{500};
  // A read by CatchUp that has taken longer, in addition to twice the latency
  // of the store, does not hold up the next one.
  Milliseconds max_hold_up{100};
};

class RecordTail {
 public:
  struct Handlers {
    std::function<void(const KeyedRecord&)> on_record;
    // A snapshot was read; keys that are not in the set no longer exist.
    std::function<void(const std::set<std::string>&)> on_snapshot;
    // Everything that was stored when the read began was passed to `on_record`.
    std::function<void()> on_caught_up;
    // A read has failed; it is retried.
    std::function<void(const Error&)> on_failure;
  };

  RecordTail(boost::asio::io_context& io, RecordStore& store,
             RecordTailSettings settings, Handlers handlers);
  ~RecordTail();

  void Start();
  void Stop();
  // Reads regardless of `min_read_interval`. `done` gets whether everything was
  // read that had been stored before the call. Calls that come while such a
  // read is under way share the next one.
  void CatchUp(Milliseconds timeout, std::function<void(bool)> done);

  // The partition is known to have records before `end`, for example one that
  // this process has stored. If the long poll does not deliver them soon, they
  // are read: a store that answers other calls may leave long polls unanswered.
  void Expect(int64_t end);
  // `done` gets whether all records that Expect() has announced so far were
  // read within `timeout`. Does not read anything itself.
  void AwaitExpected(Milliseconds timeout, std::function<void(bool)> done);

  // Reads at once if the last read failed, in parallel to a read that may still
  // be pending. To be called when another stream of the store can be read
  // again.
  void RetryIfLost(Milliseconds timeout);

  // Whether a snapshot has been read completely.
  bool has_snapshot() const;
  // Offset of the next record to be read.
  int64_t next_offset() const;
  // When the last read that reached the end of the partition began.
  BootTime as_of() const;
  // How long the store takes to answer, without the wait for a record.
  Duration latency() const;
  void set_min_read_interval(Milliseconds interval);
  void set_max_retry_delay(Milliseconds longest);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_RECORD_TAIL_H_
