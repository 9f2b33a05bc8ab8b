// Writes one partition under an epoch: one append at a time, in order, each
// repeated until its outcome is known.
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
  // Of the first append.
  int64_t first_sequence = 1;
  // One append; a store slowed 60 times answers within 500 ms.
  Milliseconds append_timeout{800};
  // After a refusal or a lost answer.
  Milliseconds retry_delay{100};
  // What one append holds at most.
  size_t max_append_bytes = 1024 * 1024;
};

class FencedWriter {
 public:
  using StoredCallback = std::function<void()>;

  // `on_fenced` runs once: nothing that was not stored will be.
  FencedWriter(boost::asio::io_context& io, RecordStore& store,
               FencedWriterSettings settings, std::function<void()> on_fenced);
  ~FencedWriter();

  // Writes queue behind each other; those that wait go out together.
  void Write(std::vector<KeyedRecord> records, StoredCallback stored);
  // Nothing waits and nothing is under way.
  bool idle() const;
  // When the last append was stored; the default before the first.
  Time last_stored() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_FENCED_WRITER_H_
