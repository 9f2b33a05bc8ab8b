// Appends records to one stream in batches, with one append in flight.
//
// The budget of the log is several hundred appends a second for everyone, so
// what arrives while an append is in flight travels in the next one. A lost
// reply never decides anything: the caller learns the fate of a record by
// seeing it come back through the StreamFollower.
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
  // At least this long between the starts of two appends.
  Milliseconds min_interval{10};
  size_t max_batch = 200;
  size_t max_pending = 20000;
};

// What is known of an append whose record has not been read back.
enum class AppendState {
  // The service confirmed it; the offset is known.
  kAppended,
  // It never left this process: the deadline passed while it was queued.
  kNotAppended,
  // It was sent at least once and no reply confirmed it.
  kUnknown,
};

class StreamWriter {
 public:
  // Runs once per record, one at a time. `offset` is -1 unless kAppended; an
  // earlier copy may stand before it when an attempt lost its reply.
  using Callback =
      std::function<void(AppendState, int64_t offset, const Error&)>;

  StreamWriter(boost::asio::io_context& io, LogClient& log, std::string stream,
               StreamWriterSettings settings);
  // What is pending then gets no callback.
  ~StreamWriter();

  // Queues a record. It is sent again, under the same id, until confirmed or
  // until `deadline`. It may be kept back for `linger`, to travel with others.
  void Append(std::string id, Json data, Time deadline, Callback callback,
              Duration linger = Duration::zero());

  size_t pending() const;
  // True when the last attempt succeeded, or none was made yet.
  bool healthy() const;
  // When the first of the attempts failed that have since the last success.
  std::optional<Time> failing_since() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_STREAM_WRITER_H_
