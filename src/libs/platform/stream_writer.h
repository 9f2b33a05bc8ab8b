// Appends records to one stream in batches, with at most one append in flight.
//
// The log service allows several hundred appends per second over all clients,
// so records that arrive during an append are sent together in the next one. A
// lost response leaves the outcome of an append open: the caller learns whether
// the record was stored by reading it back through a StreamFollower.
#ifndef THORNPLANK_PLATFORM_STREAM_WRITER_H_
#define THORNPLANK_PLATFORM_STREAM_WRITER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "platform/log_client.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct StreamWriterSettings {
  Milliseconds timeout{2000};
  Milliseconds retry_delay{50};
  Milliseconds max_retry_delay{1000};
  // Minimum time between the starts of two appends.
  Milliseconds min_interval{10};
  size_t max_batch = 200;
  size_t max_pending = 20000;
};

// What the writer knows about an append that has not been read back.
enum class AppendState {
  // Confirmed by the service; the offset is known.
  kAppended,
  // Never sent: the deadline passed while the record was queued, or the queue
  // was full.
  kNotAppended,
  // Sent at least once without a confirmation.
  kUnknown,
};

class StreamWriter {
 public:
  // Runs once per record; calls do not overlap. `offset` is -1 unless the state
  // is kAppended. If an earlier attempt lost its response, the stream may
  // contain an earlier copy of the record.
  using Callback =
      std::function<void(AppendState, int64_t offset, const Error&)>;

  StreamWriter(boost::asio::io_context& io, LogClient& log, std::string stream,
               StreamWriterSettings settings);
  // Pending records get no callback.
  ~StreamWriter();

  // Queues a record. It is sent, under the same id, until the service confirms
  // it or `deadline` passes. It may be delayed by up to `linger` to be batched
  // with others.
  void Append(std::string id, Json data, Time deadline, Callback callback,
              Duration linger = Duration::zero());

  size_t pending() const;
  // True when the last attempt succeeded or none has been made.
  bool healthy() const;
  // Time of the first failure since the last success; nullopt while healthy.
  std::optional<Time> failing_since() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_STREAM_WRITER_H_
