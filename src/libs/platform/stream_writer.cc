// The queue of a stream's writer, its batches, retries and deadlines.
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
    auto entry = std::make_shared<Entry>();
    entry->record.id = std::move(id);
    entry->record.data = std::move(data);
    entry->deadline = deadline;
    entry->start_by = Now() + linger;
    entry->callback = std::move(callback);
    const bool room = pending_.fetch_add(1) < settings_.max_pending;
    boost::asio::post(strand_, [self = shared_from_this(), entry, room] {
      if (self->stopped_) return;
      room ? self->Enqueue(entry)
           : self->End(entry, AppendState::kNotAppended, -1,
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
  struct Entry {
    LogRecord record;
    Time deadline;
    Time start_by;
    Callback callback;
    // An attempt with it may have been applied, or is in flight.
    bool may_be_applied = false;
    bool ended = false;
  };
  using EntryPointer = std::shared_ptr<Entry>;
  using Batch = std::vector<EntryPointer>;

  void Enqueue(const EntryPointer& entry) {
    queue_.push_back(entry);
    due_ = std::min(due_, entry->start_by);
    const auto it = by_deadline_.emplace(entry->deadline, entry);
    if (it == by_deadline_.begin()) ArmDeadline();
    Pump();
  }

  // Starts the next append, unless one is in flight or it is too early.
  void Pump() {
    if (in_flight_ || stopped_ || queue_.empty()) return;
    const Time start = std::max(next_start_, due_);
    if (Now() < start) return ArmStart(start);
    Batch batch = TakeBatch();
    if (batch.empty()) return;
    in_flight_ = true;
    next_start_ = Now() + settings_.min_interval;
    std::vector<LogRecord> records;
    records.reserve(batch.size());
    // What each record was before this attempt, should it prove not sent.
    std::vector<bool> before;
    for (const EntryPointer& entry : batch) {
      records.push_back(entry->record);
      before.push_back(std::exchange(entry->may_be_applied, true));
    }
    log_.TryAppend(
        stream_, records, settings_.timeout,
        [self = shared_from_this(), batch = std::move(batch),
         before = std::move(before)](const LogAppendOutcome& outcome) {
          boost::asio::dispatch(self->strand_, [self, batch, before, outcome] {
            self->OnOutcome(batch, before, outcome);
          });
        });
  }

  // Leaves out what is past its deadline: Expire ends it.
  Batch TakeBatch() {
    const Time now = Now();
    Batch batch;
    while (!queue_.empty() && batch.size() < settings_.max_batch) {
      const EntryPointer entry = queue_.front();
      queue_.pop_front();
      if (entry->ended || entry->deadline <= now) continue;
      batch.push_back(entry);
    }
    due_ = queue_.empty() ? Time::max() : now;
    return batch;
  }

  void OnOutcome(const Batch& batch, const std::vector<bool>& before,
                 const LogAppendOutcome& outcome) {
    in_flight_ = false;
    if (stopped_) return;
    const bool confirmed = outcome.result.has_value();
    if (healthy_ && !confirmed) failing_since_ = Now();
    healthy_ = confirmed;
    if (outcome.result) {
      OnConfirmed(batch, outcome.result->first_offset);
    } else {
      OnFailed(batch, before, outcome);
    }
    Pump();
  }

  void OnConfirmed(const Batch& batch, int64_t first_offset) {
    reachability_.OnSuccess();
    retry_delay_ = settings_.retry_delay;
    int64_t offset = first_offset;
    for (const EntryPointer& entry : batch) {
      End(entry, AppendState::kAppended, offset, {});
      ++offset;
    }
  }

  // The batch goes back to the front, in order, under the same ids.
  void OnFailed(const Batch& batch, const std::vector<bool>& before,
                const LogAppendOutcome& outcome) {
    last_error_ = outcome.error;
    if (outcome.rate_capped) {
      reachability_.OnRateCap(outcome.error);
    } else {
      reachability_.OnFailure(outcome.error);
    }
    for (size_t i = 0; i < batch.size(); ++i) {
      if (!outcome.may_be_applied) batch[i]->may_be_applied = before[i];
    }
    queue_.insert(queue_.begin(), batch.begin(), batch.end());
    due_ = Now();
    const Duration pause =
        std::max<Duration>(retry_delay_, outcome.retry_after);
    next_start_ = std::max(next_start_, Now() + pause);
    retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
  }

  void ArmStart(Time start) {
    if (armed_for_ && *armed_for_ <= start) return;
    armed_for_ = start;
    start_timer_.expires_at(start);
    start_timer_.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (code) return;
          self->armed_for_.reset();
          self->Pump();
        });
  }

  void ArmDeadline() {
    deadline_timer_.expires_at(by_deadline_.begin()->first);
    deadline_timer_.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (!code && !self->stopped_) self->Expire();
        });
  }

  void Expire() {
    const Time now = Now();
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
      const EntryPointer entry = by_deadline_.begin()->second;
      by_deadline_.erase(by_deadline_.begin());
      if (entry->ended) continue;
      const AppendState state = entry->may_be_applied
                                    ? AppendState::kUnknown
                                    : AppendState::kNotAppended;
      std::string reason = "the deadline passed";
      if (!healthy_) reason += "; last failure: " + last_error_.reason;
      End(entry, state, -1, {"append", stream_, reason});
    }
    while (!queue_.empty() && queue_.front()->ended) {
      queue_.pop_front();
    }
    if (!by_deadline_.empty()) ArmDeadline();
  }

  void End(const EntryPointer& entry, AppendState state, int64_t offset,
           const Error& error) {
    if (entry->ended) return;
    entry->ended = true;
    --pending_;
    const auto [begin, end] = by_deadline_.equal_range(entry->deadline);
    const auto it = std::find_if(
        begin, end, [&](const auto& item) { return item.second == entry; });
    if (it != end) by_deadline_.erase(it);
    const Callback callback = std::move(entry->callback);
    if (callback) callback(state, offset, error);
  }

  LogClient& log_;
  const std::string stream_;
  const StreamWriterSettings settings_;
  std::atomic<size_t> pending_{0};
  std::atomic<bool> healthy_{true};
  // Means nothing while healthy_.
  std::atomic<Time> failing_since_{};
  std::atomic<bool> stopped_{false};

  // Everything below is used on the strand only.
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer start_timer_;
  boost::asio::steady_timer deadline_timer_;
  LogReachability reachability_;
  // In order of arrival; may hold entries that have ended.
  std::deque<EntryPointer> queue_;
  // Every entry that has not ended, in flight ones included.
  std::multimap<Time, EntryPointer> by_deadline_;
  bool in_flight_ = false;
  Time next_start_ = Time::min();
  // The earliest start_by of what is queued.
  Time due_ = Time::max();
  // When start_timer_ fires; it may be too early, never too late.
  std::optional<Time> armed_for_;
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
