// Appends to one partition under an epoch: one append at a time, in order, each
// retried until its outcome is known. An append without an answer for unusually
// long is repeated once beside it, which is safe: the store recognizes a
// duplicate by its sequence number.
//
// Used on the loop of `io` only.
#ifndef THORNPLANK_COORDINATION_FENCED_WRITER_H_
#define THORNPLANK_COORDINATION_FENCED_WRITER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "coordination/record_store.h"

namespace thornplank {

struct FencedWriterSettings {
  Partition partition;
  std::string producer;
  int64_t epoch = 0;
  // Sequence number of the first append.
  int64_t first_sequence = 1;
  // How long one append is waited for.
  Milliseconds append_timeout{2500};
  // An append without an answer for this long, in addition to a multiple of the
  // usual latency, is repeated.
  Milliseconds min_repeat_delay{300};
  int repeat_per_latency = 4;
  // Before an append that was refused or had no answer is retried. Doubled by
  // each further failure.
  Milliseconds retry_delay{100};
  Milliseconds max_retry_delay{800};
  // No further queued write joins an append that has reached this size.
  size_t max_append_bytes = 1024 * 1024;
  StoreLimits limits;
};

class FencedWriter {
 public:
  using StoredCallback = std::function<void()>;
  using RejectedCallback = std::function<void(const KeyedRecord&)>;

  // `on_fenced` runs at most once, when the store has seen a higher epoch. What
  // is not stored by then is never stored, and its callbacks don't run.
  // `on_rejected` gets each record that the store does not take and that is
  // given up, before Write returns or later; may be null.
  FencedWriter(boost::asio::io_context& io, RecordStore& store,
               FencedWriterSettings settings, std::function<void()> on_fenced,
               RejectedCallback on_rejected = nullptr);
  ~FencedWriter();

  // Queues the records; queued writes are combined into one append. Records
  // that do not fit into one append together are stored in several, in their
  // order. `stored` may be null and runs once all records are stored or
  // rejected.
  void Write(std::vector<KeyedRecord> records, StoredCallback stored);
  // Whether nothing is queued or in flight.
  bool idle() const;
  // When the last append was stored; Time{} before the first.
  Time last_stored() const;
  // The end of the partition after that append; 0 before the first.
  int64_t stored_end() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FENCED_WRITER_H_
