// Long-polls one stream and checks that its offsets are contiguous.
#include "platform/stream_follower.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <utility>

#include "platform/log_reachability.h"

namespace thornplank {
namespace {

using boost::system::error_code;

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

class StreamFollower::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, LogClient& log, std::string stream,
       StreamFollowerSettings settings, RecordHandler on_record,
       GapHandler on_gap)
      : log_(log),
        stream_(std::move(stream)),
        settings_(settings),
        on_record_(std::move(on_record)),
        on_gap_(std::move(on_gap)),
        strand_(boost::asio::make_strand(io)),
        retry_timer_(strand_),
        reachability_(stream_, "read"),
        retry_delay_(settings.retry_delay),
        max_records_(settings.max_records) {}

  void Start(int64_t from) {
    next_offset_ = from;
    boost::asio::post(strand_, [self = shared_from_this()] { self->Read(); });
  }

  void Stop() {
    stopped_ = true;
    boost::asio::post(
        strand_, [self = shared_from_this()] { self->retry_timer_.cancel(); });
  }

  int64_t next_offset() const { return next_offset_; }
  bool caught_up() const { return caught_up_; }
  std::optional<Time> last_success() const {
    std::lock_guard lock(mutex_);
    return last_success_;
  }
  Error last_error() const {
    std::lock_guard lock(mutex_);
    return last_error_;
  }

 private:
  void Read() {
    if (stopped_) return;
    read_start_ = Now();
    log_.Read(stream_, next_offset_, max_records_, settings_.wait,
              settings_.timeout,
              [self = shared_from_this()](std::optional<LogReadResult> result,
                                          const Error& error) {
                boost::asio::dispatch(
                    self->strand_,
                    [self, result = std::move(result), error]() mutable {
                      self->OnRead(std::move(result), std::move(error));
                    });
              });
  }

  void OnRead(std::optional<LogReadResult> result, Error error) {
    if (stopped_) return;
    if (!result) {
      reachability_.OnFailure(error);
      return ScheduleRetry(std::move(error));
    }
    reachability_.OnSuccess();
    const int64_t previous_offset = next_offset_;
    if (!CheckOffsets(*result) || !DeliverRecords(*result)) return;
    if (stopped_) return;
    {
      std::lock_guard lock(mutex_);
      last_success_ = Now();
      last_error_ = {};
    }
    inconsistent_ = false;
    retry_delay_ = settings_.retry_delay;
    max_records_ = std::min(max_records_ * 2, settings_.max_records);
    if (next_offset_ >= result->next_offset) caught_up_ = true;
    // Avoids a busy loop when the service responds without waiting.
    const bool waited = Now() - read_start_ >= settings_.wait / 2;
    if (next_offset_ != previous_offset || waited) return Read();
    ReadAfter(settings_.retry_delay);
  }

  // Checks the offsets of `result` against what was read before, and reports a
  // gap left by retention. Returns false, with a new read scheduled, when they
  // contradict each other.
  bool CheckOffsets(const LogReadResult& result) {
    if (result.next_offset < next_offset_) {
      return RejectResponse(
          "the next offset " + std::to_string(result.next_offset) +
          " is behind what was read, " + std::to_string(next_offset_));
    }
    if (result.first_offset <= next_offset_) {
      return !result.truncated || RejectResponse("gone, but still kept");
    }
    const int64_t from = next_offset_;
    LogEvent(events::kLogRecordsLost, {{"stream", stream_},
                                       {"from", from},
                                       {"first_kept", result.first_offset}});
    next_offset_ = result.first_offset;
    if (on_gap_) on_gap_(from, result.first_offset);
    return true;
  }

  bool DeliverRecords(const LogReadResult& result) {
    for (const LogRecord& record : result.records) {
      if (stopped_) return false;
      if (record.offset < next_offset_) continue;
      if (record.offset > next_offset_) {
        return RejectResponse("offset " + std::to_string(record.offset) +
                              " follows where " + std::to_string(next_offset_) +
                              " was due");
      }
      on_record_(record);
      ++next_offset_;
    }
    return true;
  }

  bool RejectResponse(const std::string& reason) {
    Error error{"read log", stream_, reason};
    if (!std::exchange(inconsistent_, true)) {
      LogEvent(events::kLogInconsistent, error, {{"stream", stream_}});
    }
    ScheduleRetry(std::move(error));
    return false;
  }

  void ScheduleRetry(Error error) {
    {
      std::lock_guard lock(mutex_);
      last_error_ = std::move(error);
    }
    ReadAfter(retry_delay_);
    // Large records can make a response too large or too slow to receive.
    max_records_ = std::max(max_records_ / 2, 1);
    retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
  }

  void ReadAfter(Duration delay) {
    retry_timer_.expires_after(delay);
    retry_timer_.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (!code) self->Read();
        });
  }

  LogClient& log_;
  const std::string stream_;
  const StreamFollowerSettings settings_;
  const RecordHandler on_record_;
  const GapHandler on_gap_;
  std::atomic<bool> stopped_{false};
  // Written on the strand, after Start.
  std::atomic<int64_t> next_offset_{0};
  std::atomic<bool> caught_up_{false};

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::optional<Time> last_success_;
  Error last_error_;

  // Everything below is used on the strand only.
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer retry_timer_;
  LogReachability reachability_;
  Milliseconds retry_delay_;
  // Requested per read; between 1 and settings_.max_records.
  int max_records_;
  Time read_start_;
  // The last response contradicted what was read before. Logged once per
  // occurrence.
  bool inconsistent_ = false;
};

StreamFollower::StreamFollower(boost::asio::io_context& io, LogClient& log,
                               std::string stream,
                               StreamFollowerSettings settings,
                               RecordHandler on_record, GapHandler on_gap)
    : impl_(std::make_shared<Impl>(io, log, std::move(stream), settings,
                                   std::move(on_record), std::move(on_gap))) {}
StreamFollower::~StreamFollower() { impl_->Stop(); }

void StreamFollower::Start(int64_t from) { impl_->Start(from); }
void StreamFollower::Stop() { impl_->Stop(); }
int64_t StreamFollower::next_offset() const { return impl_->next_offset(); }
bool StreamFollower::caught_up() const { return impl_->caught_up(); }
std::optional<Time> StreamFollower::last_success() const {
  return impl_->last_success();
}
Error StreamFollower::last_error() const { return impl_->last_error(); }

}  // namespace thornplank
