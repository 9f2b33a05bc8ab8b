// The queue of a FencedWriter and its retries.
#include "coordination/fenced_writer.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <iterator>
#include <utility>

#include "base/latency_average.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Parts of the average latency of which a new one is one.
constexpr int kLatencyParts = 4;
// An append and its repetition.
constexpr int kMaxInFlight = 2;

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

class FencedWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, RecordStore& store,
       FencedWriterSettings settings, std::function<void()> on_fenced,
       RejectedCallback on_rejected)
      : store_(store),
        settings_(std::move(settings)),
        on_fenced_(std::move(on_fenced)),
        on_rejected_(std::move(on_rejected)),
        sequence_(settings_.first_sequence),
        timer_(io) {}

  void Write(std::vector<KeyedRecord> records, StoredCallback stored) {
    if (closed_) return;
    const auto too_large = [this](const KeyedRecord& record) {
      if (RecordBytes(record) <= settings_.limits.record_bytes) return false;
      Reject(record);
      return true;
    };
    records.erase(std::remove_if(records.begin(), records.end(), too_large),
                  records.end());
    queue_.push_back({std::move(records), std::move(stored)});
    if (!sending_) SendNext();
  }

  void Close() {
    closed_ = true;
    timer_.cancel();
  }

  bool idle() const { return !sending_ && queue_.empty(); }
  Time last_stored() const { return last_stored_; }
  int64_t stored_end() const { return stored_end_; }

 private:
  struct Batch {
    std::vector<KeyedRecord> records;
    StoredCallback stored;
    // A part of an append that was rejected: it is sent by itself.
    bool alone = false;
  };

  static size_t BytesInAppend(const std::vector<KeyedRecord>& records) {
    size_t bytes = 0;
    for (const KeyedRecord& record : records) {
      bytes += thornplank::BytesInAppend(record);
    }
    return bytes;
  }

  void SendNext() {
    if (queue_.empty()) return;
    sending_ = true;
    first_attempt_ = true;
    ++request_number_;
    request_ = AppendRequest();
    request_.partition = settings_.partition;
    TakeWrites();
    if (request_.records.empty()) return OnStored();
    Send();
  }

  // A write is divided only if it does not fit into an append of its own.
  void TakeWrites() {
    const size_t limit = settings_.limits.append_bytes;
    size_t bytes = 0;
    while (!queue_.empty() && bytes < settings_.max_append_bytes) {
      Batch& write = queue_.front();
      const size_t write_bytes = BytesInAppend(write.records);
      if (bytes > 0 && (write.alone || bytes + write_bytes > limit)) return;
      if (write_bytes > limit) return TakeFirstRecords(&write);
      const bool alone = write.alone;
      std::move(write.records.begin(), write.records.end(),
                std::back_inserter(request_.records));
      in_flight_callbacks_.push_back(std::move(write.stored));
      queue_.pop_front();
      if (alone) return;
      bytes += write_bytes;
    }
  }

  // Takes as many records as fit into an append, one at least, and leaves the
  // others in the queue.
  void TakeFirstRecords(Batch* write) {
    std::vector<KeyedRecord>& records = write->records;
    size_t bytes = 0;
    auto next = records.begin();
    while (next != records.end()) {
      bytes += thornplank::BytesInAppend(*next);
      const bool is_first = next == records.begin();
      if (!is_first && bytes > settings_.limits.append_bytes) break;
      request_.records.push_back(std::move(*next++));
    }
    records.erase(records.begin(), next);
  }

  void Send() {
    request_.producer =
        ProducerPosition{settings_.producer, settings_.epoch, sequence_};
    ++in_flight_;
    store_.Append(
        request_, settings_.append_timeout,
        [self = shared_from_this(), request = request_number_,
         sequence = sequence_, sent = Now()](const AppendResult& result) {
          self->OnAttemptEnded(request, sequence, sent, result);
        });
    if (in_flight_ < kMaxInFlight) ScheduleRepetition();
  }

  void ScheduleRepetition() {
    timer_.expires_after(settings_.min_repeat_delay +
                         usual_latency_.Times(settings_.repeat_per_latency));
    timer_.async_wait([self = shared_from_this(), sequence = sequence_](
                          const boost::system::error_code& code) {
      const bool pending = self->sending_ && self->sequence_ == sequence;
      if (code || self->closed_ || !pending || self->in_flight_ == 0) return;
      self->first_attempt_ = false;
      self->Send();
    });
  }

  void OnAttemptEnded(int64_t request, int64_t sequence, Time sent,
                      const AppendResult& result) {
    if (closed_) return;
    // An answer to an append that was settled by its repetition. After a
    // rejection the next append has the same sequence number.
    const bool is_current = request == request_number_ && sequence == sequence_;
    if (!sending_ || !is_current) return;
    --in_flight_;
    if (result.outcome != StoreOutcome::kRefused) {
      // An append without an answer took at least as long.
      usual_latency_.Add(Now() - sent);
    }
    OnResult(result);
  }

  void OnResult(const AppendResult& result) {
    switch (result.outcome) {
      case StoreOutcome::kStored:
        ++sequence_;
        last_stored_ = Now();
        stored_end_ = std::max(stored_end_, result.end);
        return OnStored();
      case StoreOutcome::kFenced:
        closed_ = true;
        return on_fenced_();
      case StoreOutcome::kOutOfSequence:
        return OnOutOfSequence(result.expected_sequence);
      case StoreOutcome::kRejected:
        return OnRejected(result.error);
      case StoreOutcome::kRefused:
      case StoreOutcome::kUnknown:
        break;
    }
    if (result.outcome == StoreOutcome::kUnknown) first_attempt_ = false;
    // The other attempt may still be answered.
    if (in_flight_ > 0) return;
    retry_delay_ = std::clamp(retry_delay_ * 2, settings_.retry_delay,
                              settings_.max_retry_delay);
    timer_.expires_after(retry_delay_);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& code) {
          if (!code && !self->closed_) self->Send();
        });
  }

  void OnOutOfSequence(int64_t expected) {
    // The store recognizes only a recent duplicate as such. If the sequence
    // number after this one is due, an earlier attempt was stored.
    if (!first_attempt_ && expected == sequence_ + 1) {
      sequence_ = expected;
      last_stored_ = Now();
      return OnStored();
    }
    sequence_ = expected;
    in_flight_ = 0;
    Send();
  }

  void Reject(const KeyedRecord& record, const Error& error = Error()) {
    LogEvent(events::kRecordRejected, error,
             {{"key", record.key},
              {"bytes", RecordBytes(record)},
              {"limit", settings_.limits.record_bytes}});
    if (on_rejected_) on_rejected_(record);
  }

  // The same append would be rejected again. Its records are sent in two halves
  // until the one that the store does not take is alone; that one is given up.
  void OnRejected(const Error& error) {
    std::vector<KeyedRecord> records = std::move(request_.records);
    if (records.size() == 1) {
      Reject(records.front(), error);
      return OnStored();
    }
    const auto middle =
        records.begin() + static_cast<std::ptrdiff_t>(records.size() / 2);
    Batch second;
    second.records.assign(std::make_move_iterator(middle),
                          std::make_move_iterator(records.end()));
    second.stored = [callbacks = std::exchange(in_flight_callbacks_, {})] {
      RunAll(callbacks);
    };
    second.alone = true;
    records.erase(middle, records.end());
    queue_.push_front(std::move(second));
    queue_.push_front({std::move(records), nullptr, /*alone=*/true});
    OnStored();
  }

  static void RunAll(const std::vector<StoredCallback>& callbacks) {
    for (const StoredCallback& callback : callbacks) {
      if (callback) callback();
    }
  }

  // Ends the append in flight and sends the next one.
  void OnStored() {
    sending_ = false;
    in_flight_ = 0;
    retry_delay_ = Milliseconds(0);
    timer_.cancel();
    RunAll(std::exchange(in_flight_callbacks_, {}));
    if (!sending_ && !closed_) SendNext();
  }

  RecordStore& store_;
  const FencedWriterSettings settings_;
  const std::function<void()> on_fenced_;
  const RejectedCallback on_rejected_;
  // Of the append in flight, or of the next one if there is none.
  int64_t sequence_;
  // Numbers the appends, each with all its attempts.
  int64_t request_number_ = 0;
  boost::asio::steady_timer timer_;
  std::deque<Batch> queue_;
  // Invariant: while sending_, request_ and in_flight_callbacks_ belong
  // together.
  bool sending_ = false;
  // True while no earlier attempt of this append can have been stored.
  bool first_attempt_ = true;
  // Attempts at this append without an answer.
  int in_flight_ = 0;
  LatencyAverage usual_latency_{kLatencyParts};
  Milliseconds retry_delay_{0};
  AppendRequest request_;
  std::vector<StoredCallback> in_flight_callbacks_;
  bool closed_ = false;
  Time last_stored_{};
  int64_t stored_end_ = 0;
};

FencedWriter::FencedWriter(boost::asio::io_context& io, RecordStore& store,
                           FencedWriterSettings settings,
                           std::function<void()> on_fenced,
                           RejectedCallback on_rejected)
    : impl_(std::make_shared<Impl>(io, store, std::move(settings),
                                   std::move(on_fenced),
                                   std::move(on_rejected))) {}
FencedWriter::~FencedWriter() { impl_->Close(); }
void FencedWriter::Write(std::vector<KeyedRecord> records,
                         StoredCallback stored) {
  impl_->Write(std::move(records), std::move(stored));
}
bool FencedWriter::idle() const { return impl_->idle(); }
Time FencedWriter::last_stored() const { return impl_->last_stored(); }
int64_t FencedWriter::stored_end() const { return impl_->stored_end(); }

}  // namespace thornplank
