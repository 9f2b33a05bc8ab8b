// Appends single records of many callers to one partition.
//
// Records that arrive while an append is under way join the next one, so that
// the number of appends is bounded by the latency of the store and not by the
// number of callers: a store that takes a tenth of a second for each append
// would otherwise answer only a few callers a second. An append without an
// answer for unusually long is repeated once beside it; no more are sent until
// one of the two ends, since what a slow store has not answered is still queued
// there.
//
// Used on the loop of `io` only.
#ifndef THORNPLANK_COORDINATION_RECORD_APPENDER_H_
#define THORNPLANK_COORDINATION_RECORD_APPENDER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "base/error.h"
#include "base/time.h"
#include "coordination/record_store.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct RecordAppenderSettings {
  Partition partition;
  // How long one append is waited for.
  Milliseconds append_timeout{2500};
  // An append without an answer for this long, in addition to a multiple of the
  // usual latency, is repeated.
  Milliseconds min_repeat_delay{250};
  int repeat_per_latency = 4;
  // No append is sent for this long after one was refused. Doubled by each
  // further refusal.
  Milliseconds min_refusal_pause{40};
  Milliseconds max_refusal_pause{800};
  // A record is given up after as many refusals, or after this time without an
  // answer, so that its caller can try elsewhere.
  int max_refused = 4;
  Milliseconds patience{1700};
  // No further record joins an append that has reached this size.
  size_t max_append_bytes = 512 * 1024;
  StoreLimits limits;
};

class RecordAppender {
 public:
  // kStored, kRefused (certainly not stored), kRejected (the store does not
  // take this record) or kUnknown.
  using Done = std::function<void(StoreOutcome, const Error&)>;

  // `on_stored` gets the end of the partition after each stored append; may be
  // null.
  RecordAppender(boost::asio::io_context& io, RecordStore& store,
                 RecordAppenderSettings settings,
                 std::function<void(int64_t end)> on_stored = nullptr);
  // Records without a result get none.
  ~RecordAppender();

  // `done` runs once, at `deadline` at the latest. The record may be sent
  // several times; storing it twice must do no harm.
  void Append(KeyedRecord record, Time deadline, Done done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_RECORD_APPENDER_H_
