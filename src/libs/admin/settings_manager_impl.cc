// Following the stream, publishing the applied state, fetching snapshots from
// peers and appending them to the log.
#include "admin/settings_manager_impl.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "logging/events/settings_events.h"
#include "platform/log_client.h"

namespace thornplank {
namespace {

bool IsSnapshot(const Json& data) {
  return StringField(data, "type") == "snapshot";
}

std::string SnapshotVerdictName(SnapshotVerdict verdict) {
  switch (verdict) {
    case SnapshotVerdict::kAdopted:
      return "adopted";
    case SnapshotVerdict::kStale:
      return "stale";
    case SnapshotVerdict::kLeavesGap:
      return "leaves-gap";
    case SnapshotVerdict::kMalformed:
      return "malformed";
  }
  return "";
}

void RunAll(const ChangeWriter::DueCallbacks& callbacks) {
  for (const auto& callback : callbacks) callback();
}

}  // namespace

SettingsManager::Impl::Impl(boost::asio::io_context& io, LogClient& log,
                            SettingsManagerOptions options)
    : io_(io),
      log_(log),
      options_(std::move(options)),
      strand_(boost::asio::make_strand(io)),
      timer_(strand_),
      writer_(std::make_shared<ChangeWriter>(io, log, options_)),
      schedule_(options_.snapshots) {}

void SettingsManager::Impl::Start() {
  started_ = std::chrono::steady_clock::now();
  next_peer_fetch_ = started_ + options_.peer_fetch_delay;
  next_first_offset_read_ = started_;
  next_snapshot_ = started_;
  const auto weak = weak_from_this();
  follower_ = std::make_unique<StreamFollower>(
      io_, log_, options_.stream, options_.follower,
      [weak](const LogRecord& record) {
        if (const auto self = weak.lock()) self->OnRecord(record);
      },
      [weak](int64_t from, int64_t first_kept) {
        if (const auto self = weak.lock()) self->OnGap(from, first_kept);
      });
  follower_->Start(0);
  boost::asio::post(strand_,
                    [self = shared_from_this()] { self->ScheduleTick(); });
}

void SettingsManager::Impl::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::exchange(stopped_, true)) return;
  }
  // From here on Tick and Publish return at once. Waits for one that is
  // running, unless it is the caller.
  if (!strand_.running_in_this_thread()) {
    const std::lock_guard<std::mutex> wait(active_mutex_);
  }
  if (follower_) follower_->Stop();
  writer_->Stop();
  RunAll(writer_->TakeExpired(Time::max()));
  ResubmitDeferred(Time::max());
  boost::asio::post(strand_,
                    [self = shared_from_this()] { self->timer_.cancel(); });
}

void SettingsManager::Impl::OnRecord(const LogRecord& record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool is_snapshot = IsSnapshot(record.data);
  std::optional<int64_t> covers;
  if (is_snapshot && SettingsState::IsReadable(record.data)) {
    covers = IntField(record.data, "covers");
  }
  if (is_snapshot && !covers) {
    LogEvent(events::kSettingsSnapshotUnusable,
             {{"offset", record.offset}, {"verdict", "malformed"}});
  }
  schedule_.OnRecord(record.offset, record.time, covers);
  const bool was_complete = state_.complete();
  for (RecordOutcome& outcome :
       state_.Apply({record.offset, record.id, record.data})) {
    outcomes_.push_back(std::move(outcome));
  }
  if (!was_complete && state_.complete()) {
    LogEvent(events::kSettingsSnapshotAdopted,
             {{"covers", *covers}, {"source", "stream"}});
  }
  RequestPublish();
}

void SettingsManager::Impl::OnGap(int64_t from, int64_t first_kept) {
  const std::lock_guard<std::mutex> lock(mutex_);
  schedule_.OnFirstOffset(first_kept);
  state_.HandleGap(from, first_kept);
  if (!state_.complete()) {
    LogEvent(events::kSettingsGap,
             {{"from", state_.next_offset()}, {"first_kept", first_kept}});
  }
  RequestPublish();
}

void SettingsManager::Impl::RequestPublish() {
  if (stopped_ || std::exchange(publish_requested_, true)) return;
  boost::asio::post(strand_, [self = shared_from_this()] { self->Publish(); });
}

void SettingsManager::Impl::Publish() {
  const std::lock_guard<std::mutex> active(active_mutex_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
  }
  // Read before mutex_ is locked, because the follower holds its own locks when
  // it calls OnRecord and OnGap.
  const bool caught_up = follower_->caught_up();
  const int64_t follower_offset = follower_->next_offset();
  std::vector<RecordOutcome> outcomes;
  ChangeWriter::DueCallbacks decided;
  Published next;
  bool was_ready = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    publish_requested_ = false;
    outcomes.swap(outcomes_);
    was_ready = published_.ready;
    const bool reached_log_end =
        caught_up && state_.next_offset() >= follower_offset;
    next.ready = state_.complete() &&
                 (was_ready || synced_with_peer_ || reached_log_end);
    next.next_offset = state_.next_offset();
    next.tree = published_.tree;
    if (next.tree->revision() != state_.tree().revision()) {
      next.tree = std::make_shared<const SettingsTree>(state_.tree());
    }
    if (!next.ready) published_.ready = false;
    decided = writer_->TakeDecided(state_);
  }
  LogOutcomes(outcomes);
  if (next.ready) {
    if (announced_revision_ != next.tree->revision()) {
      announced_revision_ = next.tree->revision();
      for (const ChangeHandler& handler : handlers_) handler(*next.tree);
    }
    if (!was_ready) {
      LogEvent(events::kSettingsReady, {{"offset", next.next_offset},
                                        {"revision", next.tree->revision()}});
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    published_ = std::move(next);
  }
  RunAll(decided);
}

void SettingsManager::Impl::LogOutcomes(
    const std::vector<RecordOutcome>& outcomes) const {
  for (const RecordOutcome& outcome : outcomes) {
    if (outcome.malformed) {
      LogEvent(events::kSettingsRecordMalformed,
               {{"offset", outcome.offset}, {"id", outcome.id}});
      continue;
    }
    if (outcome.result.verdict == ChangeVerdict::kApplied) {
      LogEvent(events::kSettingsChanged,
               {{"path", outcome.change.path},
                {"type", ChangeKindName(outcome.change.kind)},
                {"version", outcome.result.version},
                {"by", outcome.change.author},
                {"offset", outcome.offset}});
      continue;
    }
    LogEvent(events::kSettingsChangeRefused,
             {{"path", outcome.change.path},
              {"verdict", ChangeVerdictName(outcome.result.verdict)},
              {"reasons", outcome.result.reasons},
              {"by", outcome.change.author},
              {"offset", outcome.offset}});
  }
}

void SettingsManager::Impl::ScheduleTick() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
  }
  timer_.expires_after(options_.tick_interval);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (error || !self) return;
        self->Tick();
        self->ScheduleTick();
      });
}

void SettingsManager::Impl::Tick() {
  const std::lock_guard<std::mutex> active(active_mutex_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
    if (!published_.ready) RequestPublish();
  }
  const Time now = std::chrono::steady_clock::now();
  RunAll(writer_->TakeExpired(now));
  ResubmitDeferred(now);
  FetchPeerSnapshots(now);
  ReadFirstOffset(now);
  AppendSnapshotWhenDue(now);
}

void SettingsManager::Impl::FetchPeerSnapshots(Time now) {
  if (!fetch_ || ready() || is_fetching_ || now < next_peer_fetch_) return;
  is_fetching_ = true;
  fetch_([weak = weak_from_this()](std::vector<Json> snapshots) {
    const auto self = weak.lock();
    if (!self) return;
    boost::asio::post(self->strand_, [self, snapshots = std::move(snapshots)] {
      self->OnPeerSnapshots(snapshots);
    });
  });
}

void SettingsManager::Impl::OnPeerSnapshots(
    const std::vector<Json>& snapshots) {
  is_fetching_ = false;
  next_peer_fetch_ =
      std::chrono::steady_clock::now() + options_.peer_fetch_interval;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Json& snapshot : snapshots) {
    const SnapshotVerdict verdict = state_.AdoptSnapshot(snapshot, &outcomes_);
    if (verdict == SnapshotVerdict::kAdopted) {
      synced_with_peer_ = true;
      LogEvent(events::kSettingsSnapshotAdopted,
               {{"covers", snapshot["covers"]}, {"source", "peer"}});
      continue;
    }
    // A ready peer at the same offset shows that this entry has applied all
    // records that are known.
    const bool same_offset =
        state_.complete() &&
        IntField(snapshot, "covers") == state_.next_offset();
    if (same_offset) synced_with_peer_ = true;
    if (verdict == SnapshotVerdict::kStale) continue;
    LogEvent(events::kSettingsSnapshotUnusable,
             {{"source", "peer"}, {"verdict", SnapshotVerdictName(verdict)}});
  }
  RequestPublish();
}

void SettingsManager::Impl::ReadFirstOffset(Time now) {
  if (now < next_first_offset_read_ || !ready()) return;
  next_first_offset_read_ = now + options_.first_offset_interval;
  // Reads at the end of the stream, because only its first offset is needed.
  log_.Read(options_.stream, next_offset(), /*max_records=*/1, Duration::zero(),
            options_.follower.timeout,
            [weak = weak_from_this()](std::optional<LogReadResult> result,
                                      const Error&) {
              const auto self = weak.lock();
              if (!self || !result) return;
              const std::lock_guard<std::mutex> lock(self->mutex_);
              self->schedule_.OnFirstOffset(result->first_offset);
            });
}

void SettingsManager::Impl::AppendSnapshotWhenDue(Time now) {
  if (now < next_snapshot_) return;
  Json snapshot;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!published_.ready || !state_.complete()) return;
    if (!schedule_.IsDue(std::chrono::system_clock::now())) return;
    snapshot = state_.Snapshot();
  }
  // Waits with the next snapshot until this one is appended and read back, or
  // has failed.
  next_snapshot_ = now + options_.append_timeout + options_.follower.wait;
  LogEvent(events::kSettingsSnapshotAppended,
           {{"covers", snapshot["covers"]},
            {"bytes", static_cast<int64_t>(snapshot.dump().size())}});
  writer_->AppendSnapshot(std::move(snapshot),
                          [](AppendState, int64_t, const Error&) {});
}

std::shared_ptr<const SettingsTree> SettingsManager::Impl::tree() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return published_.tree;
}

std::vector<HistoryEntry> SettingsManager::Impl::history(
    const std::string& path) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.history().entries(path);
}

int64_t SettingsManager::Impl::next_offset() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return published_.next_offset;
}

bool SettingsManager::Impl::ready() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return published_.ready;
}

std::optional<Json> SettingsManager::Impl::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!published_.ready || !state_.complete()) return std::nullopt;
  return state_.Snapshot();
}

}  // namespace thornplank
