// Follows one stream of the log and delivers each record once, in order.
#ifndef THORNPLANK_PLATFORM_STREAM_FOLLOWER_H_
#define THORNPLANK_PLATFORM_STREAM_FOLLOWER_H_

#include <cstdint>
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

struct StreamFollowerSettings {
  Milliseconds wait{2000};
  Milliseconds timeout{4000};
  Milliseconds retry_delay{100};
  Milliseconds max_retry_delay{1000};
  int max_records = 500;
};

class StreamFollower {
 public:
  // Receives records in order of offset, each offset once; calls do not
  // overlap. Duplicate ids are not filtered here but by the state that the
  // records are applied to.
  using RecordHandler = std::function<void(const LogRecord&)>;
  // Called when the records from `from` up to, but not including, `first_kept`
  // were removed by retention before they could be read. The receiver needs a
  // snapshot or a peer to recover.
  using GapHandler = std::function<void(int64_t from, int64_t first_kept)>;

  StreamFollower(boost::asio::io_context& io, LogClient& log,
                 std::string stream, StreamFollowerSettings settings,
                 RecordHandler on_record, GapHandler on_gap);
  ~StreamFollower();

  // Reads from offset `from` until Stop. Call at most once.
  void Start(int64_t from);
  // Does not wait for a handler that is running; no other handler call begins
  // afterwards.
  void Stop();

  // The offset of the next record to be delivered.
  int64_t next_offset() const;
  // Whether any read has reached the end of the stream.
  bool caught_up() const;
  // Time of the last successful read.
  std::optional<Time> last_success() const;
  Error last_error() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_STREAM_FOLLOWER_H_
