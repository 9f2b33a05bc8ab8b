// Implementation of SettingsManager: the state of the settings, guarded by a
// mutex, and a strand on which its changes are published in order.
#ifndef THORNPLANK_ADMIN_SETTINGS_MANAGER_IMPL_H_
#define THORNPLANK_ADMIN_SETTINGS_MANAGER_IMPL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "admin/change_writer.h"
#include "admin/settings_manager.h"
#include "settings/settings_state.h"

namespace thornplank {

class SettingsManager::Impl
    : public std::enable_shared_from_this<SettingsManager::Impl> {
 public:
  Impl(boost::asio::io_context& io, LogClient& log,
       SettingsManagerOptions options);

  void AddReview(const SettingsReview* review) { reviews_.push_back(review); }
  void AddChangeHandler(ChangeHandler handler) {
    handlers_.push_back(std::move(handler));
  }
  void SetSnapshotFetcher(SnapshotFetcher fetch) { fetch_ = std::move(fetch); }

  void Start();
  void Stop();

  // `attempt` counts from 0; a change whose review is stale is submitted again.
  void Submit(SettingsChange change, WriteCallback callback, int attempt);
  void Recover(const std::string& author, bool accept_empty,
               WriteCallback callback);

  std::shared_ptr<const SettingsTree> tree() const;
  std::vector<HistoryEntry> history(const std::string& path) const;
  int64_t next_offset() const;
  bool ready() const;
  std::optional<Json> Snapshot() const;

 private:
  // A change that expects a version that is not applied here yet.
  struct Deferred {
    SettingsChange change;
    WriteCallback callback;
    // When the change is given up as a lost race.
    Time deadline;
  };
  // The state that callers see; changed on the strand only.
  struct Published {
    std::shared_ptr<const SettingsTree> tree =
        std::make_shared<const SettingsTree>();
    int64_t next_offset = 0;
    bool ready = false;
  };

  // Called by the follower, with its locks held.
  void OnRecord(const LogRecord& record);
  void OnGap(int64_t from, int64_t first_kept);

  // Requires that mutex_ is held.
  void RequestPublish();
  // Runs on the strand: calls the handlers, makes the applied state visible to
  // callers, and completes the writes that are decided.
  void Publish();
  void LogOutcomes(const std::vector<RecordOutcome>& outcomes) const;

  // Runs on the strand, every options_.tick_interval.
  void Tick();
  void ScheduleTick();
  void ResubmitDeferred(Time now);
  void FetchPeerSnapshots(Time now);
  void OnPeerSnapshots(const std::vector<Json>& snapshots);
  void ReadFirstOffset(Time now);
  void AppendSnapshotWhenDue(Time now);

  // Completes a write after its append, or submits the change again.
  void HandleAppendOutcome(AppendOutcome outcome, const ChangeResult& result,
                           SettingsChange change, const WriteCallback& callback,
                           int attempt);
  // Why nothing can be written now; "" if it can.
  std::string ReasonNotWritable() const;
  // The reasons of all reviews to refuse `proposed`.
  std::vector<std::string> Review(const SettingsTree& current,
                                  const SettingsTree& proposed) const;
  void Defer(SettingsChange change, WriteCallback callback);

  boost::asio::io_context& io_;
  LogClient& log_;
  const SettingsManagerOptions options_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::steady_timer timer_;
  const std::shared_ptr<ChangeWriter> writer_;
  std::unique_ptr<StreamFollower> follower_;

  // Set before Start and only read afterwards.
  std::vector<const SettingsReview*> reviews_;
  std::vector<ChangeHandler> handlers_;
  SnapshotFetcher fetch_;
  Time started_;

  // The members up to next_snapshot_ are used on the strand only.
  // Revision of the last call of the handlers; -1 before the first.
  int64_t announced_revision_ = -1;
  Time next_peer_fetch_;
  // A call of fetch_ has not been answered yet.
  bool is_fetching_ = false;
  Time next_first_offset_read_;
  Time next_snapshot_;

  // Held during each Tick and Publish, so that Stop can wait for a running one;
  // the strand already keeps them from running at the same time. Locked before
  // mutex_.
  std::mutex active_mutex_;

  // Locked before ChangeWriter's mutex; no callback runs while it is held.
  mutable std::mutex mutex_;
  bool stopped_ = false;
  SettingsState state_;
  SettingsSnapshotSchedule schedule_;
  // Outcomes of applied records that are not published yet.
  std::vector<RecordOutcome> outcomes_;
  bool publish_requested_ = false;
  // The state is as new as that of a ready peer, so that the entry becomes
  // ready without having read the log to its end.
  bool synced_with_peer_ = false;
  std::vector<Deferred> deferred_;
  Published published_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_SETTINGS_MANAGER_IMPL_H_
