// Following of the stream, publication of what is folded, peers and
// snapshots.
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

void RunAll(const ChangeWriter::Calls& calls) {
  for (const auto& call : calls) call();
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
  next_ask_ = started_ + options_.ask_peers_after;
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
  // Tick and Publish do nothing from here on; the one that is running ends
  // first, unless it is what calls.
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
  if (is_snapshot && SettingsReplica::Readable(record.data)) {
    covers = IntField(record.data, "covers");
  }
  if (is_snapshot && !covers) {
    LogEvent(events::kSettingsSnapshotUnusable,
             {{"offset", record.offset}, {"verdict", "malformed"}});
  }
  schedule_.OnRecord(record.offset, record.time, covers);
  const bool was_complete = replica_.complete();
  for (RecordOutcome& outcome :
       replica_.Apply({record.offset, record.id, record.data})) {
    outcomes_.push_back(std::move(outcome));
  }
  if (!was_complete && replica_.complete()) {
    LogEvent(events::kSettingsSnapshotAdopted,
             {{"covers", *covers}, {"source", "stream"}});
  }
  RequestPublish();
}

void SettingsManager::Impl::OnGap(int64_t from, int64_t first_kept) {
  const std::lock_guard<std::mutex> lock(mutex_);
  schedule_.OnFirstOffset(first_kept);
  replica_.HandleGap(from, first_kept);
  if (!replica_.complete()) {
    LogEvent(events::kSettingsGap,
             {{"from", replica_.next_offset()}, {"first_kept", first_kept}});
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
  // Asked for before the lock: the follower calls in with locks of its own.
  const bool caught_up = follower_->caught_up();
  const int64_t handed_on = follower_->next_offset();
  std::vector<RecordOutcome> outcomes;
  ChangeWriter::Calls decided;
  Visible next;
  bool was_ready = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    publish_requested_ = false;
    outcomes.swap(outcomes_);
    was_ready = visible_.ready;
    const bool log_is_read = caught_up && replica_.next_offset() >= handed_on;
    next.ready =
        replica_.complete() && (was_ready || from_peer_ || log_is_read);
    next.offset = replica_.next_offset();
    next.tree = visible_.tree;
    if (next.tree->revision() != replica_.tree().revision()) {
      next.tree = std::make_shared<const SettingsTree>(replica_.tree());
    }
    if (!next.ready) visible_.ready = false;
    decided = writer_->TakeDecided(replica_);
  }
  LogOutcomes(outcomes);
  if (next.ready) {
    if (announced_revision_ != next.tree->revision()) {
      announced_revision_ = next.tree->revision();
      for (const ChangeHandler& handler : handlers_) handler(*next.tree);
    }
    if (!was_ready) {
      LogEvent(events::kSettingsReady,
               {{"offset", next.offset}, {"revision", next.tree->revision()}});
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    visible_ = std::move(next);
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
                {"by", outcome.change.by},
                {"offset", outcome.offset}});
      continue;
    }
    LogEvent(events::kSettingsChangeRefused,
             {{"path", outcome.change.path},
              {"verdict", ChangeVerdictName(outcome.result.verdict)},
              {"reasons", outcome.result.reasons},
              {"by", outcome.change.by},
              {"offset", outcome.offset}});
  }
}

void SettingsManager::Impl::ScheduleTick() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
  }
  timer_.expires_after(options_.tick);
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
    if (!visible_.ready) RequestPublish();
  }
  const Time now = std::chrono::steady_clock::now();
  RunAll(writer_->TakeExpired(now));
  ResubmitDeferred(now);
  AskPeers(now);
  ReadFirstOffset(now);
  AppendSnapshotWhenDue(now);
}

void SettingsManager::Impl::AskPeers(Time now) {
  if (!fetch_ || ready() || asking_ || now < next_ask_) return;
  asking_ = true;
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
  asking_ = false;
  next_ask_ = std::chrono::steady_clock::now() + options_.ask_peers_interval;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const Json& snapshot : snapshots) {
    const SnapshotVerdict verdict = replica_.Adopt(snapshot, &outcomes_);
    if (verdict == SnapshotVerdict::kAdopted) {
      from_peer_ = true;
      LogEvent(events::kSettingsSnapshotAdopted,
               {{"covers", snapshot["covers"]}, {"source", "peer"}});
      continue;
    }
    // A ready peer at the same offset proves that nothing more is known.
    const bool same_offset =
        replica_.complete() &&
        IntField(snapshot, "covers") == replica_.next_offset();
    if (same_offset) from_peer_ = true;
    if (verdict == SnapshotVerdict::kStale) continue;
    LogEvent(events::kSettingsSnapshotUnusable,
             {{"source", "peer"}, {"verdict", SnapshotVerdictName(verdict)}});
  }
  RequestPublish();
}

void SettingsManager::Impl::ReadFirstOffset(Time now) {
  if (now < next_first_offset_read_ || !ready()) return;
  next_first_offset_read_ = now + options_.first_offset_interval;
  // Read at the end of the stream: only its bounds are wanted.
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
    if (!visible_.ready || !replica_.complete()) return;
    if (!schedule_.IsDue(std::chrono::system_clock::now())) return;
    snapshot = replica_.Snapshot();
  }
  // The next one waits until this one must have been read back.
  next_snapshot_ = now + options_.append_timeout + options_.follower.wait;
  LogEvent(events::kSettingsSnapshotAppended,
           {{"covers", snapshot["covers"]},
            {"bytes", static_cast<int64_t>(snapshot.dump().size())}});
  writer_->AppendSnapshot(std::move(snapshot),
                          [](AppendState, int64_t, const Error&) {});
}

std::shared_ptr<const SettingsTree> SettingsManager::Impl::tree() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return visible_.tree;
}

std::vector<HistoryEntry> SettingsManager::Impl::history(
    const std::string& path) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return replica_.history().entries(path);
}

int64_t SettingsManager::Impl::next_offset() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return visible_.offset;
}

bool SettingsManager::Impl::ready() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return visible_.ready;
}

std::optional<Json> SettingsManager::Impl::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!visible_.ready || !replica_.complete()) return std::nullopt;
  return replica_.Snapshot();
}

}  // namespace thornplank
