// The queue of records, the appends under way and the retries.
#include "coordination/record_appender.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "base/latency_average.h"

namespace thornplank {
namespace {

// Parts of the average latency of which a new one is one.
constexpr int kLatencyParts = 4;
// An append and its repetition.
constexpr int kMaxInFlight = 2;

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

class RecordAppender::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, RecordStore& store,
       RecordAppenderSettings settings, std::function<void(int64_t)> on_stored)
      : io_(io),
        store_(store),
        settings_(std::move(settings)),
        on_stored_(std::move(on_stored)),
        timer_(io) {}

  void Append(KeyedRecord record, Time deadline, Done done) {
    auto item = std::make_shared<Item>(io_);
    item->record = std::move(record);
    item->done = std::move(done);
    if (RecordBytes(item->record) > settings_.limits.record_bytes) {
      return RejectLater(item);
    }
    ExpireAt(item, std::min(deadline, Now() + settings_.patience));
    queue_.push_back(std::move(item));
    SendQueue();
  }

  void Close() {
    closed_ = true;
    timer_.cancel();
    for (const std::shared_ptr<Item>& item : queue_) {
      item->timer.cancel();
    }
  }

 private:
  struct Item {
    explicit Item(boost::asio::io_context& io) : timer(io) {}

    KeyedRecord record;
    // Null once it has run.
    Done done;
    // Appends under way that contain it.
    int under_way = 0;
    // Appends that contained it and failed.
    int refused = 0;
    int unanswered = 0;
    // An append that contained it was rejected: it is sent by itself.
    bool alone = false;
    Error last_error;
    boost::asio::steady_timer timer;
  };
  using Batch = std::vector<std::shared_ptr<Item>>;

  void ExpireAt(const std::shared_ptr<Item>& item, Time time) {
    item->timer.expires_at(time);
    item->timer.async_wait(
        [self = shared_from_this(), item](const boost::system::error_code& c) {
          if (!c && !self->closed_) Finish(item, OutcomeOf(*item));
        });
  }

  // Callbacks never run before Append returns.
  void RejectLater(const std::shared_ptr<Item>& item) {
    item->last_error = {"append", settings_.partition.stream,
                        "the record has " +
                            std::to_string(RecordBytes(item->record)) +
                            " bytes, the store takes " +
                            std::to_string(settings_.limits.record_bytes)};
    boost::asio::post(io_, [self = shared_from_this(), item] {
      if (!self->closed_) Finish(item, StoreOutcome::kRejected);
    });
  }

  static StoreOutcome OutcomeOf(const Item& item) {
    const bool may_be_stored = item.under_way > 0 || item.unanswered > 0;
    return may_be_stored ? StoreOutcome::kUnknown : StoreOutcome::kRefused;
  }

  static void Finish(const std::shared_ptr<Item>& item, StoreOutcome outcome) {
    item->timer.cancel();
    const Done done = std::exchange(item->done, nullptr);
    if (done) done(outcome, item->last_error);
  }

  // When the next append may be sent.
  Time NextSendTime() const {
    if (in_flight_ == 0) return pause_until_;
    const Time repeat_at = last_sent_ + settings_.min_repeat_delay +
                           usual_latency_.Times(settings_.repeat_per_latency);
    return std::max(pause_until_, repeat_at);
  }

  // Sends the queue, or repeats the append that is under way.
  void SendQueue() {
    if (closed_ || in_flight_ >= kMaxInFlight) return;
    if (queue_.empty() && unanswered_.empty()) return;
    const Time now = Now();
    const Time send_at = NextSendTime();
    if (now < send_at) {
      timer_.expires_at(send_at);
      timer_.async_wait(
          [self = shared_from_this()](const boost::system::error_code& code) {
            if (!code) self->SendQueue();
          });
      return;
    }
    Batch batch = TakeBatch();
    if (!batch.empty()) Send(std::move(batch), now);
  }

  // The records of the append without an answer, then those of the queue.
  Batch TakeBatch() {
    Batch batch;
    size_t bytes = 0;
    const auto take = [&](const std::shared_ptr<Item>& item) {
      // Its time has passed meanwhile.
      if (!item->done) return;
      bytes += BytesInAppend(item->record);
      batch.push_back(item);
    };
    for (const std::shared_ptr<Item>& item : std::exchange(unanswered_, {})) {
      take(item);
    }
    while (!queue_.empty() && bytes < settings_.max_append_bytes) {
      const std::shared_ptr<Item>& next = queue_.front();
      if (!batch.empty() && !MayJoin(*next, *batch.front(), bytes)) break;
      take(next);
      queue_.pop_front();
    }
    return batch;
  }

  // Whether the record may be appended with `first` and others, which have
  // `bytes` together.
  bool MayJoin(const Item& item, const Item& first, size_t bytes) const {
    return !item.alone && !first.alone &&
           bytes + BytesInAppend(item.record) <= settings_.limits.append_bytes;
  }

  void Send(Batch batch, Time now) {
    AppendRequest request;
    request.partition = settings_.partition;
    for (const std::shared_ptr<Item>& item : batch) {
      request.records.push_back(item->record);
      ++item->under_way;
    }
    ++in_flight_;
    last_sent_ = now;
    unanswered_ = batch;
    store_.Append(request, settings_.append_timeout,
                  [self = shared_from_this(), batch = std::move(batch),
                   now](const AppendResult& result) {
                    self->OnResult(batch, now, result);
                  });
    // Waits for the time at which the append is repeated.
    SendQueue();
  }

  void OnResult(const Batch& batch, Time sent, const AppendResult& result) {
    --in_flight_;
    if (closed_) return;
    UpdatePace(result.outcome, Now() - sent);
    if (result.outcome == StoreOutcome::kStored && on_stored_) {
      on_stored_(result.end);
    }
    for (const std::shared_ptr<Item>& item : batch) {
      OnItemResult(item, batch.size() == 1, result);
    }
    const auto answered = [](const std::shared_ptr<Item>& item) {
      return !item->done || item->under_way == 0;
    };
    unanswered_.erase(
        std::remove_if(unanswered_.begin(), unanswered_.end(), answered),
        unanswered_.end());
    SendQueue();
  }

  void UpdatePace(StoreOutcome outcome, Duration elapsed) {
    if (outcome == StoreOutcome::kRefused) {
      refusal_pause_ =
          std::clamp(refusal_pause_ * 2, settings_.min_refusal_pause,
                     settings_.max_refusal_pause);
      pause_until_ = Now() + refusal_pause_;
      return;
    }
    // An append without an answer took at least as long.
    usual_latency_.Add(elapsed);
    if (outcome == StoreOutcome::kStored) refusal_pause_ = Milliseconds(0);
  }

  // The same append would be rejected again; each record of it may still be
  // taken by itself.
  void OnItemRejected(const std::shared_ptr<Item>& item, bool is_alone) {
    if (is_alone) return Finish(item, StoreOutcome::kRejected);
    item->alone = true;
    if (item->under_way == 0) queue_.push_back(item);
  }

  // `is_alone`: the append contained no other record.
  void OnItemResult(const std::shared_ptr<Item>& item, bool is_alone,
                    const AppendResult& result) {
    --item->under_way;
    if (!item->done) return;
    if (result.outcome == StoreOutcome::kStored) {
      return Finish(item, StoreOutcome::kStored);
    }
    item->last_error = result.error;
    if (result.outcome == StoreOutcome::kRejected) {
      return OnItemRejected(item, is_alone);
    }
    const bool unanswered = result.outcome == StoreOutcome::kUnknown;
    ++(unanswered ? item->unanswered : item->refused);
    // Another append that contains it may still be answered.
    if (item->under_way > 0) return;
    if (item->refused >= settings_.max_refused) {
      return Finish(item, OutcomeOf(*item));
    }
    queue_.push_back(item);
  }

  boost::asio::io_context& io_;
  RecordStore& store_;
  const RecordAppenderSettings settings_;
  const std::function<void(int64_t)> on_stored_;
  boost::asio::steady_timer timer_;
  std::deque<std::shared_ptr<Item>> queue_;
  // Records of the last append that was sent, while it has no answer.
  Batch unanswered_;
  int in_flight_ = 0;
  Time last_sent_{};
  LatencyAverage usual_latency_{kLatencyParts};
  Time pause_until_{};
  Milliseconds refusal_pause_{0};
  bool closed_ = false;
};

RecordAppender::RecordAppender(boost::asio::io_context& io, RecordStore& store,
                               RecordAppenderSettings settings,
                               std::function<void(int64_t)> on_stored)
    : impl_(std::make_shared<Impl>(io, store, std::move(settings),
                                   std::move(on_stored))) {}
RecordAppender::~RecordAppender() { impl_->Close(); }
void RecordAppender::Append(KeyedRecord record, Time deadline, Done done) {
  impl_->Append(std::move(record), deadline, std::move(done));
}

}  // namespace thornplank
