// Writing of changes: validation, review, append and verdict; and the functions
// of SettingsManager that forward to its implementation.
#include "admin/settings_manager.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "admin/settings_manager_impl.h"
#include "logging/events/settings_events.h"

namespace thornplank {
namespace {

constexpr Milliseconds kRetryAfter{2000};
// Attempts at a change whose review or check other changes made outdated.
constexpr int kMaxAttempts = 4;

WriteResult MakeResult(WriteOutcome outcome, int64_t version,
                       std::vector<std::string> reasons) {
  WriteResult result;
  result.outcome = outcome;
  result.version = version;
  result.reasons = std::move(reasons);
  const bool can_retry =
      outcome == WriteOutcome::kNotRun || outcome == WriteOutcome::kUnknown;
  if (can_retry) result.retry_after = kRetryAfter;
  return result;
}

}  // namespace

std::string SettingsManager::Impl::ReasonNotWritable() const {
  const std::optional<Time> last_read =
      follower_ ? follower_->last_success() : std::nullopt;
  const Time now = std::chrono::steady_clock::now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return "this entry is stopping";
  }
  if (!ready()) return "the settings of this entry are not complete yet";
  if (!last_read || now - *last_read > options_.log_unavailable_after) {
    return "the log service does not answer";
  }
  return "";
}

std::vector<std::string> SettingsManager::Impl::Review(
    const SettingsTree& current, const SettingsTree& proposed) const {
  std::vector<std::string> reasons;
  for (const SettingsReview* review : reviews_) {
    for (std::string& reason : review->Review(current, proposed)) {
      reasons.push_back(std::move(reason));
    }
  }
  return reasons;
}

void SettingsManager::Impl::Submit(SettingsChange change,
                                   WriteCallback callback, int attempt) {
  const std::string not_writable = ReasonNotWritable();
  if (!not_writable.empty()) {
    callback(MakeResult(WriteOutcome::kNotRun, -1, {not_writable}));
    return;
  }
  const std::shared_ptr<const SettingsTree> current = tree();
  if (change.expected_version > current->version(change.path)) {
    Defer(std::move(change), std::move(callback));
    return;
  }
  change.time = std::chrono::system_clock::now();
  change.reviewed_revision = current->revision();
  SettingsTree proposed = *current;
  ChangeResult result = proposed.Apply(change);
  if (result.verdict == ChangeVerdict::kLostRace) {
    callback(MakeResult(WriteOutcome::kLostRace, result.version, {}));
    return;
  }
  if (result.verdict == ChangeVerdict::kApplied) {
    result.reasons = Review(*current, proposed);
  }
  if (!result.reasons.empty()) {
    callback(MakeResult(WriteOutcome::kInvalid, current->version(change.path),
                        std::move(result.reasons)));
    return;
  }
  writer_->Append(
      change, [self = shared_from_this(), change, callback, attempt](
                  AppendOutcome outcome, const ChangeResult& verdict) {
        self->HandleAppendOutcome(outcome, verdict, change, callback, attempt);
      });
}

void SettingsManager::Impl::HandleAppendOutcome(AppendOutcome outcome,
                                                const ChangeResult& result,
                                                SettingsChange change,
                                                const WriteCallback& callback,
                                                int attempt) {
  if (outcome == AppendOutcome::kNotAppended) {
    callback(MakeResult(WriteOutcome::kNotRun, -1,
                        {"the log service took no record"}));
    return;
  }
  if (outcome == AppendOutcome::kUndecided) {
    callback(
        MakeResult(WriteOutcome::kUnknown, -1,
                   {"the log service did not say whether the change came"}));
    return;
  }
  switch (result.verdict) {
    case ChangeVerdict::kApplied:
      callback(MakeResult(WriteOutcome::kApplied, result.version, {}));
      return;
    case ChangeVerdict::kLostRace:
      callback(MakeResult(WriteOutcome::kLostRace, result.version, {}));
      return;
    case ChangeVerdict::kWithdrawn:
      callback(MakeResult(WriteOutcome::kNotRun, -1,
                          {"the log service was too slow; withdrawn"}));
      return;
    case ChangeVerdict::kStaleReview:
    case ChangeVerdict::kInvalid:
      break;
  }
  // Another change was applied first. Checked against the new tree, this one is
  // either applied or refused with reasons.
  if (attempt + 1 < kMaxAttempts) {
    Submit(std::move(change), callback, attempt + 1);
    return;
  }
  callback(MakeResult(WriteOutcome::kNotRun, -1,
                      {"other changes came first each time"}));
}

void SettingsManager::Impl::Defer(SettingsChange change,
                                  WriteCallback callback) {
  const Time now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  deferred_.push_back(
      {std::move(change), std::move(callback), now + options_.defer_timeout});
}

void SettingsManager::Impl::ResubmitDeferred(Time now) {
  std::vector<Deferred> ready_to_submit;
  std::vector<Deferred> expired;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Deferred> waiting;
    for (Deferred& deferred : deferred_) {
      const int64_t version = published_.tree->version(deferred.change.path);
      std::vector<Deferred>& list = deferred.change.expected_version <= version
                                        ? ready_to_submit
                                    : now >= deferred.deadline ? expired
                                                               : waiting;
      list.push_back(std::move(deferred));
    }
    deferred_ = std::move(waiting);
  }
  for (Deferred& deferred : ready_to_submit) {
    Submit(std::move(deferred.change), std::move(deferred.callback), 0);
  }
  for (const Deferred& deferred : expired) {
    const int64_t version = tree()->version(deferred.change.path);
    deferred.callback(MakeResult(WriteOutcome::kLostRace, version, {}));
  }
}

void SettingsManager::Impl::Recover(const std::string& author,
                                    bool accept_empty, WriteCallback callback) {
  Json snapshot;
  std::string refusal;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.complete()) {
      refusal = "no records are missing on this entry";
    } else if (state_.tree().revision() == 0 && !accept_empty) {
      refusal = "this entry holds no state; recover on one that does";
    } else {
      snapshot = state_.RecoverySnapshot();
    }
  }
  if (!refusal.empty()) {
    callback(MakeResult(WriteOutcome::kInvalid, -1, {refusal}));
    return;
  }
  LogEvent(events::kSettingsRecovered,
           {{"by", author}, {"covers", snapshot["covers"]}});
  writer_->AppendSnapshot(
      std::move(snapshot),
      [callback](AppendState state, int64_t, const Error& error) {
        const WriteOutcome outcome =
            state == AppendState::kAppended      ? WriteOutcome::kApplied
            : state == AppendState::kNotAppended ? WriteOutcome::kNotRun
                                                 : WriteOutcome::kUnknown;
        std::vector<std::string> reasons;
        if (outcome != WriteOutcome::kApplied) reasons = {error.ToString()};
        callback(MakeResult(outcome, -1, std::move(reasons)));
      });
}

SettingsManager::SettingsManager(boost::asio::io_context& io, LogClient& log,
                                 SettingsManagerOptions options)
    : impl_(std::make_shared<Impl>(io, log, std::move(options))) {}

SettingsManager::~SettingsManager() { impl_->Stop(); }

void SettingsManager::AddReview(const SettingsReview* review) {
  impl_->AddReview(review);
}

void SettingsManager::AddChangeHandler(ChangeHandler handler) {
  impl_->AddChangeHandler(std::move(handler));
}

void SettingsManager::SetSnapshotFetcher(SnapshotFetcher fetch) {
  impl_->SetSnapshotFetcher(std::move(fetch));
}

void SettingsManager::Start() { impl_->Start(); }

void SettingsManager::Stop() { impl_->Stop(); }

void SettingsManager::Write(SettingsChange change, WriteCallback callback) {
  impl_->Submit(std::move(change), std::move(callback), /*attempt=*/0);
}

void SettingsManager::Recover(const std::string& author, bool accept_empty,
                              WriteCallback callback) {
  impl_->Recover(author, accept_empty, std::move(callback));
}

std::shared_ptr<const SettingsTree> SettingsManager::tree() const {
  return impl_->tree();
}

std::vector<HistoryEntry> SettingsManager::history(
    const std::string& path) const {
  return impl_->history(path);
}

int64_t SettingsManager::next_offset() const { return impl_->next_offset(); }

bool SettingsManager::ready() const { return impl_->ready(); }

std::optional<Json> SettingsManager::Snapshot() const {
  return impl_->Snapshot();
}

}  // namespace thornplank
