// Snapshot by pages, then long polls.
#include "coordination/record_tail.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

namespace thornplank {

class RecordTail::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, RecordStore& store,
       RecordTailSettings settings, Handlers handlers)
      : store_(store),
        settings_(std::move(settings)),
        handlers_(std::move(handlers)),
        timer_(io),
        catch_up_timer_(io),
        delivery_timer_(io),
        random_(settings_.seed) {}

  void Start() { BeginSnapshot(); }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
    catch_up_timer_.cancel();
    delivery_timer_.cancel();
    Answer(std::exchange(waiting_, {}), false);
    for (const auto& awaited : std::exchange(awaited_, {})) {
      Finish(awaited, false);
    }
  }

  void CatchUp(Milliseconds timeout, std::function<void(bool)> done) {
    if (!has_snapshot_ || stopped_) return done(false);
    waiting_.push_back(
        {std::chrono::steady_clock::now() + timeout, std::move(done)});
    ReadForWaiting();
  }

  void Expect(int64_t end) {
    expected_end_ = std::max(expected_end_, end);
    if (next_offset_ >= end || delivery_check_scheduled_ || stopped_) return;
    delivery_check_scheduled_ = true;
    delivery_timer_.expires_after(settings_.delivery_delay + latency_ * 2);
    delivery_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& code) {
          if (code || self->stopped_) return;
          self->delivery_check_scheduled_ = false;
          if (self->next_offset_ >= self->expected_end_) return;
          self->CatchUp(self->settings_.delivery_timeout, [](bool) {});
        });
  }

  void AwaitExpected(Milliseconds timeout, std::function<void(bool)> done) {
    if (stopped_) return done(false);
    if (next_offset_ >= expected_end_) return done(true);
    auto awaited = std::make_shared<AwaitedEnd>(timer_.get_executor());
    awaited->end = expected_end_;
    awaited->done = std::move(done);
    awaited->timer.expires_after(timeout);
    awaited->timer.async_wait([awaited](const boost::system::error_code& code) {
      if (!code) Finish(awaited, false);
    });
    awaited_.push_back(std::move(awaited));
  }

  void RetryIfLost(Milliseconds timeout) {
    if (last_read_failed_) CatchUp(timeout, [](bool) {});
  }

  bool has_snapshot() const { return has_snapshot_; }
  int64_t next_offset() const { return next_offset_; }
  BootTime as_of() const { return as_of_; }
  Duration latency() const { return latency_; }
  void set_min_read_interval(Milliseconds interval) {
    settings_.min_read_interval = interval;
  }
  void set_max_retry_delay(Milliseconds longest) {
    settings_.max_retry_delay = longest;
  }

 private:
  // A call of CatchUp.
  struct Waiter {
    Time deadline{};
    std::function<void(bool)> done;
  };

  // A call of AwaitExpected.
  struct AwaitedEnd {
    explicit AwaitedEnd(const boost::asio::any_io_executor& executor)
        : timer(executor) {}

    int64_t end = 0;
    // Null once it has run.
    std::function<void(bool)> done;
    boost::asio::steady_timer timer;
  };

  static void Finish(const std::shared_ptr<AwaitedEnd>& awaited, bool reached) {
    awaited->timer.cancel();
    const auto done = std::exchange(awaited->done, nullptr);
    if (done) done(reached);
  }

  void FinishAwaited() {
    for (const auto& awaited : std::exchange(awaited_, {})) {
      if (next_offset_ >= awaited->end) {
        Finish(awaited, true);
      } else if (awaited->done) {
        awaited_.push_back(awaited);
      }
    }
  }

  static void Answer(const std::vector<Waiter>& waiters, bool reached_end) {
    for (const Waiter& waiter : waiters) waiter.done(reached_end);
  }

  // Starts one read for all waiters, unless a recent one is under way: that one
  // may not show what was stored just before their calls.
  void ReadForWaiting() {
    if (waiting_.empty() || stopped_) return;
    const Time now = std::chrono::steady_clock::now();
    const Time free_at = last_catch_up_ + settings_.max_hold_up + latency_ * 2;
    if (catch_ups_ > 0 && now < free_at) {
      catch_up_timer_.expires_at(free_at);
      catch_up_timer_.async_wait(
          [self = shared_from_this()](const boost::system::error_code& code) {
            if (!code) self->ReadForWaiting();
          });
      return;
    }
    std::vector<Waiter> waiters = std::exchange(waiting_, {});
    Time deadline = now;
    for (const Waiter& waiter : waiters) {
      deadline = std::max(deadline, waiter.deadline);
    }
    if (deadline <= now) return Answer(waiters, false);
    ++catch_ups_;
    last_catch_up_ = now;
    const auto timeout =
        std::chrono::duration_cast<Milliseconds>(deadline - now);
    store_.Read(settings_.partition, next_offset_, Milliseconds(0), timeout,
                [self = shared_from_this(), started = BootClock::now(),
                 waiters = std::move(waiters)](const ReadResult& result) {
                  --self->catch_ups_;
                  self->OnCaughtUp(waiters, result, started);
                });
  }

  void OnCaughtUp(const std::vector<Waiter>& waiters, const ReadResult& result,
                  BootTime started) {
    if (stopped_) return Answer(waiters, false);
    const bool read = result.outcome == ReadOutcome::kRead;
    if (read) {
      // This read did not wait for a record.
      latency_ = BootClock::now() - started;
      HandleRecords(result, started);
    }
    Answer(waiters, read && next_offset_ >= result.end);
    ReadForWaiting();
    // The store is back: the stream is followed again from now on.
    if (!read || !waits_to_retry_ || stopped_) return;
    waits_to_retry_ = false;
    timer_.cancel();
    Poll();
  }

  void BeginSnapshot() {
    snapshot_keys_.clear();
    snapshot_end_.reset();
    snapshot_started_ = BootClock::now();
    ReadPage("");
  }

  void ReadPage(const std::string& after_key) {
    store_.ReadNewest(settings_.partition, after_key,
                      settings_.long_poll_wait + settings_.response_timeout,
                      [self = shared_from_this()](const NewestPage& page) {
                        if (!self->stopped_) self->OnPage(page);
                      });
  }

  void OnPage(const NewestPage& page) {
    if (!page.ok) {
      handlers_.on_failure(page.error);
      return RunAfter(NextRetryDelay(), [this] { BeginSnapshot(); });
    }
    // The pages are read one after the other and are not consistent with each
    // other, so records after the end that the first page reported are read
    // again.
    if (!snapshot_end_) snapshot_end_ = page.end;
    for (const KeyedRecord& record : page.records) {
      snapshot_keys_.insert(record.key);
      handlers_.on_record(record);
    }
    if (page.has_more && !page.records.empty()) {
      return ReadPage(page.records.back().key);
    }
    next_offset_ = *snapshot_end_;
    as_of_ = std::max(as_of_, snapshot_started_);
    has_snapshot_ = true;
    last_read_failed_ = false;
    handlers_.on_snapshot(snapshot_keys_);
    handlers_.on_caught_up();
    FinishAwaited();
    Poll();
  }

  // How long a read waits for a record, and when it began on both clocks.
  struct PollStart {
    Milliseconds wait{0};
    BootTime boot{};
    Time steady{};
  };

  // After a failure a read does not wait for a record: it checks whether the
  // store answers again, which an idle stream would show only after the whole
  // wait.
  void Poll() {
    const PollStart start{
        last_read_failed_ ? Milliseconds(0) : settings_.long_poll_wait,
        BootClock::now(), std::chrono::steady_clock::now()};
    store_.Read(settings_.partition, next_offset_, start.wait,
                start.wait + settings_.response_timeout,
                [self = shared_from_this(), start](const ReadResult& result) {
                  if (!self->stopped_) self->OnPolled(result, start);
                });
  }

  void OnPolled(const ReadResult& result, const PollStart& start) {
    if (result.outcome == ReadOutcome::kTrimmed) return BeginSnapshot();
    if (result.outcome == ReadOutcome::kFailed) {
      handlers_.on_failure(result.error);
      waits_to_retry_ = true;
      return RunAfter(NextRetryDelay(), [this] {
        waits_to_retry_ = false;
        Poll();
      });
    }
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(
        std::chrono::steady_clock::now() - start.steady);
    UpdateLatency(elapsed, result.records.empty(), start.wait);
    HandleRecords(result, start.boot);
    if (elapsed >= settings_.min_read_interval) return Poll();
    RunAfter(settings_.min_read_interval - elapsed, [this] { Poll(); });
  }

  // A read that returned a record may have waited for it, so its duration is
  // only an upper bound of the latency.
  void UpdateLatency(Duration elapsed, bool waited, Milliseconds wait) {
    if (waited) {
      latency_ = std::max(elapsed - wait, Duration::zero());
    } else {
      latency_ = std::min(latency_, elapsed);
    }
  }

  // Reads may overlap, so records before `next_offset_` are skipped.
  void HandleRecords(const ReadResult& result, BootTime started) {
    for (const KeyedRecord& record : result.records) {
      if (record.offset < next_offset_) continue;
      next_offset_ = record.offset + 1;
      handlers_.on_record(record);
    }
    last_read_failed_ = false;
    if (next_offset_ >= result.end) {
      as_of_ = std::max(as_of_, started);
      handlers_.on_caught_up();
    }
    FinishAwaited();
  }

  // Returns the delay before the next read, after a read has failed.
  Milliseconds NextRetryDelay() {
    constexpr double kJitter = 0.25;
    if (!last_read_failed_) retry_delay_ = settings_.initial_retry_delay;
    last_read_failed_ = true;
    const Milliseconds longest =
        std::max(settings_.initial_retry_delay, settings_.max_retry_delay);
    const Milliseconds delay = std::min(retry_delay_, longest);
    retry_delay_ = std::min(retry_delay_ * 2, longest);
    std::uniform_real_distribution<double> factor(1 - kJitter, 1 + kJitter);
    return Milliseconds(static_cast<int64_t>(
        std::lround(static_cast<double>(delay.count()) * factor(random_))));
  }

  void RunAfter(Milliseconds delay, std::function<void()> action) {
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this(), action = std::move(action)](
                          const boost::system::error_code& code) {
      if (!code && !self->stopped_) action();
    });
  }

  RecordStore& store_;
  RecordTailSettings settings_;
  const Handlers handlers_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer catch_up_timer_;
  boost::asio::steady_timer delivery_timer_;
  int64_t expected_end_ = 0;
  bool delivery_check_scheduled_ = false;
  std::vector<Waiter> waiting_;
  std::vector<std::shared_ptr<AwaitedEnd>> awaited_;
  // Reads for waiters that are under way, and the start of the last one.
  int catch_ups_ = 0;
  Time last_catch_up_{};
  bool stopped_ = false;
  bool has_snapshot_ = false;
  std::mt19937 random_;
  // False also before the first read.
  bool last_read_failed_ = false;
  // A long poll has failed, and the next one has not begun.
  bool waits_to_retry_ = false;
  // Delay after the next failure in a row, before jitter.
  Milliseconds retry_delay_{0};
  int64_t next_offset_ = 0;
  BootTime as_of_{};
  Duration latency_{};
  // Of the snapshot that is being read, or of the last one.
  std::set<std::string> snapshot_keys_;
  std::optional<int64_t> snapshot_end_;
  BootTime snapshot_started_{};
};

RecordTail::RecordTail(boost::asio::io_context& io, RecordStore& store,
                       RecordTailSettings settings, Handlers handlers)
    : impl_(std::make_shared<Impl>(io, store, std::move(settings),
                                   std::move(handlers))) {}
RecordTail::~RecordTail() { impl_->Stop(); }
void RecordTail::Start() { impl_->Start(); }
void RecordTail::Stop() { impl_->Stop(); }
void RecordTail::CatchUp(Milliseconds timeout, std::function<void(bool)> done) {
  impl_->CatchUp(timeout, std::move(done));
}
void RecordTail::Expect(int64_t end) { impl_->Expect(end); }
void RecordTail::AwaitExpected(Milliseconds timeout,
                               std::function<void(bool)> done) {
  impl_->AwaitExpected(timeout, std::move(done));
}
void RecordTail::RetryIfLost(Milliseconds timeout) {
  impl_->RetryIfLost(timeout);
}
bool RecordTail::has_snapshot() const { return impl_->has_snapshot(); }
int64_t RecordTail::next_offset() const { return impl_->next_offset(); }
BootTime RecordTail::as_of() const { return impl_->as_of(); }
Duration RecordTail::latency() const { return impl_->latency(); }
void RecordTail::set_min_read_interval(Milliseconds interval) {
  impl_->set_min_read_interval(interval);
}
void RecordTail::set_max_retry_delay(Milliseconds longest) {
  impl_->set_max_retry_delay(longest);
}

}  // namespace thornplank
