// Follows one stream of the log and hands its records on in order, once each.
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
  // Records in order of offset, each offset once; called from one thread at a
  // time. Duplicate ids are not filtered here: the fold does that.
  using RecordHandler = std::function<void(const LogRecord&)>;
  // Records between `from` and `first_kept` were lost to retention before
  // they could be read; the fold needs a snapshot or a peer.
  using GapHandler = std::function<void(int64_t from, int64_t first_kept)>;

  StreamFollower(boost::asio::io_context& io, LogClient& log,
                 std::string stream, StreamFollowerSettings settings,
                 RecordHandler on_record, GapHandler on_gap);
  ~StreamFollower();

  // Begins at `from`; reads until Stop. Once.
  void Start(int64_t from);
  // A handler that runs at that moment ends; no other begins.
  void Stop();

  // The offset that comes next; all before it have been handed on.
  int64_t next_offset() const;
  // True once a read has reached the end of the stream.
  bool caught_up() const;
  // When a read last succeeded.
  std::optional<Time> last_success() const;
  Error last_error() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PLATFORM_STREAM_FOLLOWER_H_
