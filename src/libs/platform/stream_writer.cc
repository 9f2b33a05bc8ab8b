// Implements the writer's queue, batching, retries and deadlines.
#include "platform/stream_writer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "platform/log_reachability.h"

namespace thornplank {
namespace {

using boost::system::error_code;

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

class StreamWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, LogClient& log, std::string stream,
       StreamWriterSettings settings)
      : log_(log),
        stream_(std::move(stream)),
        settings_(settings),
        strand_(boost::asio::make_strand(io)),
        start_timer_(strand_),
        deadline_timer_(strand_),
        reachability_(stream_, "append"),
        retry_delay_(settings.retry_delay) {}

  void Append(std::string id, Json data, Time deadline, Callback callback,
              Duration linger) {
    auto queued = std::make_shared<PendingRecord>();
    queued->record.id = std::move(id);
    queued->record.data = std::move(data);
    queued->deadline = deadline;
    queued->start_by = Now() + linger;
    queued->callback = std::move(callback);
    const bool has_room = pending_.fetch_add(1) < settings_.max_pending;
    boost::asio::post(strand_, [self = shared_from_this(), queued, has_room] {
      if (self->stopped_) return;
      has_room
          ? self->Enqueue(queued)
          : self->Complete(queued, AppendState::kNotAppended, -1,
                           {"append", self->stream_, "too many records wait"});
    });
  }

  void Stop() {
    stopped_ = true;
    boost::asio::post(strand_, [self = shared_from_this()] {
      self->start_timer_.cancel();
      self->deadline_timer_.cancel();
      self->queue_.clear();
      self->by_deadline_.clear();
    });
  }

  size_t pending() const { return pending_; }
  bool healthy() const { return healthy_; }
  std::optional<Time> failing_since() const {
    if (healthy_) return std::nullopt;
    return failing_since_.load();
  }

 private:
  struct PendingRecord {
    LogRecord record;
    Time deadline;
    Time start_by;
    Callback callback;
    // An append with this record is in flight or may have been applied.
    bool may_be_applied = false;
    bool completed = false;
  };
  using RecordPointer = std::shared_ptr<PendingRecord>;
  using Batch = std::vector<RecordPointer>;

  void Enqueue(const RecordPointer& queued) {
    queue_.push_back(queued);
    earliest_start_ = std::min(earliest_start_, queued->start_by);
    const auto it = by_deadline_.emplace(queued->deadline, queued);
    if (it == by_deadline_.begin()) ArmDeadlineTimer();
    StartNextAppend();
  }

  // Starts the next append, unless one is in flight or its start time has not
  // been reached.
  void StartNextAppend() {
    if (in_flight_ || stopped_ || queue_.empty()) return;
    const Time start = std::max(next_start_, earliest_start_);
    if (Now() < start) return ArmStartTimer(start);
    Batch batch = TakeBatch();
    if (batch.empty()) return;
    in_flight_ = true;
    next_start_ = Now() + settings_.min_interval;
    std::vector<LogRecord> records;
    records.reserve(batch.size());
    // The previous values of may_be_applied, restored if nothing was sent.
    std::vector<bool> previous;
    for (const RecordPointer& queued : batch) {
      records.push_back(queued->record);
      previous.push_back(std::exchange(queued->may_be_applied, true));
    }
    log_.TryAppend(
        stream_, records, settings_.timeout,
        [self = shared_from_this(), batch = std::move(batch),
         previous = std::move(previous)](const LogAppendOutcome& outcome) {
          boost::asio::dispatch(self->strand_,
                                [self, batch, previous, outcome] {
                                  self->OnOutcome(batch, previous, outcome);
                                });
        });
  }

  // Skips records whose deadline has passed; ExpireOverdue completes them.
  Batch TakeBatch() {
    const Time now = Now();
    Batch batch;
    while (!queue_.empty() && batch.size() < settings_.max_batch) {
      const RecordPointer queued = queue_.front();
      queue_.pop_front();
      if (queued->completed || queued->deadline <= now) continue;
      batch.push_back(queued);
    }
    earliest_start_ = queue_.empty() ? Time::max() : now;
    return batch;
  }

  void OnOutcome(const Batch& batch, const std::vector<bool>& previous,
                 const LogAppendOutcome& outcome) {
    in_flight_ = false;
    if (stopped_) return;
    const bool confirmed = outcome.result.has_value();
    if (healthy_ && !confirmed) failing_since_ = Now();
    healthy_ = confirmed;
    if (outcome.result) {
      OnConfirmed(batch, outcome.result->first_offset);
    } else {
      OnFailed(batch, previous, outcome);
    }
    StartNextAppend();
  }

  void OnConfirmed(const Batch& batch, int64_t first_offset) {
    reachability_.OnSuccess();
    retry_delay_ = settings_.retry_delay;
    int64_t offset = first_offset;
    for (const RecordPointer& queued : batch) {
      Complete(queued, AppendState::kAppended, offset, {});
      ++offset;
    }
  }

  // Puts the batch back at the front of the queue, in order and under the same
  // ids.
  void OnFailed(const Batch& batch, const std::vector<bool>& previous,
                const LogAppendOutcome& outcome) {
    last_error_ = outcome.error;
    if (outcome.rate_capped) {
      reachability_.OnRateCap(outcome.error);
    } else {
      reachability_.OnFailure(outcome.error);
    }
    for (size_t i = 0; i < batch.size(); ++i) {
      if (!outcome.may_be_applied) batch[i]->may_be_applied = previous[i];
    }
    queue_.insert(queue_.begin(), batch.begin(), batch.end());
    earliest_start_ = Now();
    const Duration pause =
        std::max<Duration>(retry_delay_, outcome.retry_after);
    next_start_ = std::max(next_start_, Now() + pause);
    retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
  }

  void ArmStartTimer(Time start) {
    if (start_timer_expiry_ && *start_timer_expiry_ <= start) return;
    start_timer_expiry_ = start;
    start_timer_.expires_at(start);
    start_timer_.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (code) return;
          self->start_timer_expiry_.reset();
          self->StartNextAppend();
        });
  }

  void ArmDeadlineTimer() {
    deadline_timer_.expires_at(by_deadline_.begin()->first);
    deadline_timer_.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (!code && !self->stopped_) self->ExpireOverdue();
        });
  }

  void ExpireOverdue() {
    const Time now = Now();
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
      const RecordPointer queued = by_deadline_.begin()->second;
      by_deadline_.erase(by_deadline_.begin());
      if (queued->completed) continue;
      const AppendState state = queued->may_be_applied
                                    ? AppendState::kUnknown
                                    : AppendState::kNotAppended;
      std::string reason = "the deadline passed";
      if (!healthy_) reason += "; last failure: " + last_error_.reason;
      Complete(queued, state, -1, {"append", stream_, reason});
    }
    while (!queue_.empty() && queue_.front()->completed) {
      queue_.pop_front();
    }
    if (!by_deadline_.empty()) ArmDeadlineTimer();
  }

  void Complete(const RecordPointer& queued, AppendState state, int64_t offset,
                const Error& error) {
    if (queued->completed) return;
    queued->completed = true;
    --pending_;
    const auto [begin, end] = by_deadline_.equal_range(queued->deadline);
    const auto it = std::find_if(
        begin, end, [&](const auto& item) { return item.second == queued; });
    if (it != end) by_deadline_.erase(it);
    const Callback callback = std::move(queued->callback);
    if (callback) callback(state, offset, error);
  }

  LogClient& log_;
  const std::string stream_;
  const StreamWriterSettings settings_;
  std::atomic<size_t> pending_{0};
  std::atomic<bool> healthy_{true};
  // Valid only while healthy_ is false.
  std::atomic<Time> failing_since_{};
  std::atomic<bool> stopped_{false};

  // Everything below is used on the strand only.
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer start_timer_;
  boost::asio::steady_timer deadline_timer_;
  LogReachability reachability_;
  // In order of arrival; may contain records that are already complete.
  std::deque<RecordPointer> queue_;
  // Every record that is not complete, including those in flight.
  std::multimap<Time, RecordPointer> by_deadline_;
  bool in_flight_ = false;
  // Earliest start of the next append, by the rate limit and retry delays.
  Time next_start_ = Time::min();
  // The earliest `start_by` of the queued records.
  Time earliest_start_ = Time::max();
  // Expiry of start_timer_. May be earlier than needed, never later.
  std::optional<Time> start_timer_expiry_;
  Milliseconds retry_delay_;
  Error last_error_;
};

StreamWriter::StreamWriter(boost::asio::io_context& io, LogClient& log,
                           std::string stream, StreamWriterSettings settings)
    : impl_(std::make_shared<Impl>(io, log, std::move(stream), settings)) {}
StreamWriter::~StreamWriter() { impl_->Stop(); }

void StreamWriter::Append(std::string id, Json data, Time deadline,
                          Callback callback, Duration linger) {
  impl_->Append(std::move(id), std::move(data), deadline, std::move(callback),
                linger);
}
size_t StreamWriter::pending() const { return impl_->pending(); }
bool StreamWriter::healthy() const { return impl_->healthy(); }
std::optional<Time> StreamWriter::failing_since() const {
  return impl_->failing_since();
}

}  // namespace thornplank
