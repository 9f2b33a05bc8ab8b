// The queue of a FencedWriter and its retries.
#include "coordination/fenced_writer.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <utility>

namespace thornplank {

class FencedWriter::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, RecordStore& store,
       FencedWriterSettings settings, std::function<void()> on_fenced)
      : store_(store),
        settings_(std::move(settings)),
        on_fenced_(std::move(on_fenced)),
        sequence_(settings_.first_sequence),
        timer_(io) {}

  void Write(std::vector<KeyedRecord> records, StoredCallback stored) {
    if (closed_) return;
    queue_.push_back({std::move(records), std::move(stored)});
    if (!sending_) SendNext();
  }

  void Close() {
    closed_ = true;
    timer_.cancel();
  }

  bool idle() const { return !sending_ && queue_.empty(); }
  Time last_stored() const { return last_stored_; }

 private:
  struct Batch {
    std::vector<KeyedRecord> records;
    StoredCallback stored;
  };

  void SendNext() {
    if (queue_.empty()) return;
    sending_ = true;
    first_attempt_ = true;
    request_ = AppendRequest();
    request_.partition = settings_.partition;
    size_t bytes = 0;
    while (!queue_.empty() && bytes < settings_.max_append_bytes) {
      for (KeyedRecord& record : queue_.front().records) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
        request_.records.push_back(std::move(record));
      }
      in_flight_callbacks_.push_back(std::move(queue_.front().stored));
      queue_.pop_front();
    }
    if (request_.records.empty()) return OnStored();
    Send();
  }

  void Send() {
    request_.producer =
        ProducerPosition{settings_.producer, settings_.epoch, sequence_};
    store_.Append(request_, settings_.append_timeout,
                  [self = shared_from_this()](const AppendResult& result) {
                    if (!self->closed_) self->OnResult(result);
                  });
  }

  void OnResult(const AppendResult& result) {
    switch (result.outcome) {
      case StoreOutcome::kStored:
        ++sequence_;
        last_stored_ = std::chrono::steady_clock::now();
        return OnStored();
      case StoreOutcome::kFenced:
        closed_ = true;
        return on_fenced_();
      case StoreOutcome::kOutOfSequence:
        return OnOutOfSequence(result.expected_sequence);
      case StoreOutcome::kConflict:
      case StoreOutcome::kRefused:
      case StoreOutcome::kUnknown:
        break;
    }
    if (result.outcome == StoreOutcome::kUnknown) first_attempt_ = false;
    timer_.expires_after(settings_.retry_delay);
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
      last_stored_ = std::chrono::steady_clock::now();
      return OnStored();
    }
    sequence_ = expected;
    Send();
  }

  void OnStored() {
    sending_ = false;
    const std::vector<StoredCallback> stored =
        std::exchange(in_flight_callbacks_, {});
    for (const StoredCallback& callback : stored) {
      if (callback) callback();
    }
    if (!sending_ && !closed_) SendNext();
  }

  RecordStore& store_;
  const FencedWriterSettings settings_;
  const std::function<void()> on_fenced_;
  // Of the append in flight, or of the next one if there is none.
  int64_t sequence_;
  boost::asio::steady_timer timer_;
  std::deque<Batch> queue_;
  // Invariant: while sending_, request_ and in_flight_callbacks_ belong
  // together.
  bool sending_ = false;
  // True while no earlier attempt of this append can have been stored.
  bool first_attempt_ = true;
  AppendRequest request_;
  std::vector<StoredCallback> in_flight_callbacks_;
  bool closed_ = false;
  Time last_stored_{};
};

FencedWriter::FencedWriter(boost::asio::io_context& io, RecordStore& store,
                           FencedWriterSettings settings,
                           std::function<void()> on_fenced)
    : impl_(std::make_shared<Impl>(io, store, std::move(settings),
                                   std::move(on_fenced))) {}
FencedWriter::~FencedWriter() { impl_->Close(); }
void FencedWriter::Write(std::vector<KeyedRecord> records,
                         StoredCallback stored) {
  impl_->Write(std::move(records), std::move(stored));
}
bool FencedWriter::idle() const { return impl_->idle(); }
Time FencedWriter::last_stored() const { return impl_->last_stored(); }

}  // namespace thornplank
