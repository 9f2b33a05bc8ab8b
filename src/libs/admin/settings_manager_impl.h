// The inside of SettingsManager: one fold under one mutex, and a strand on
// which changes are told in order.
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
#include "settings/settings_replica.h"

namespace thornplank {

class SettingsManager::Impl
    : public std::enable_shared_from_this<SettingsManager::Impl> {
 public:
  Impl(boost::asio::io_context& io, LogClient& log,
       SettingsManagerOptions options);

  void AddReview(const SettingsReview* review) { reviews_.push_back(review); }
  void HandleChange(ChangeHandler handler) {
    handlers_.push_back(std::move(handler));
  }
  void SetSnapshotFetcher(SnapshotFetcher fetch) { fetch_ = std::move(fetch); }

  void Start();
  void Stop();

  // `attempt` counts from 0; a change whose review is stale goes round again.
  void Submit(SettingsChange change, WriteCallback callback, int attempt);
  void Recover(const std::string& by, bool accept_empty,
               WriteCallback callback);

  std::shared_ptr<const SettingsTree> tree() const;
  std::vector<HistoryEntry> history(const std::string& path) const;
  int64_t next_offset() const;
  bool ready() const;
  std::optional<Json> Snapshot() const;

 private:
  // A change to a version that is not folded here yet.
  struct Deferred {
    SettingsChange change;
    WriteCallback callback;
    Time give_up;
  };
  // What callers see; changed on the strand only.
  struct Visible {
    std::shared_ptr<const SettingsTree> tree =
        std::make_shared<const SettingsTree>();
    int64_t offset = 0;
    bool ready = false;
  };

  // From the follower.
  void OnRecord(const LogRecord& record);
  void OnGap(int64_t from, int64_t first_kept);

  // Needs mutex_.
  void RequestPublish();
  // On the strand: makes what is folded visible, tells the handlers, then the
  // writers.
  void Publish();
  void LogOutcomes(const std::vector<RecordOutcome>& outcomes) const;

  // Runs on the strand, every options_.tick.
  void Tick();
  void ScheduleTick();
  void ResubmitDeferred(Time now);
  void AskPeers(Time now);
  void OnPeerSnapshots(const std::vector<Json>& snapshots);
  void ReadFirstOffset(Time now);
  void AppendSnapshotWhenDue(Time now);

  // On the verdict of an append.
  void OnOutcome(AppendOutcome outcome, const ChangeResult& result,
                 SettingsChange change, const WriteCallback& callback,
                 int attempt);
  // The reason why nothing can be written now, or "".
  std::string Unwritable() const;
  // Reasons of the reviews against `proposed`.
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

  // Set before Start, then only read.
  std::vector<const SettingsReview*> reviews_;
  std::vector<ChangeHandler> handlers_;
  SnapshotFetcher fetch_;
  Time started_;

  // Used on the strand only.
  int64_t announced_revision_ = -1;
  Time next_ask_;
  bool asking_ = false;
  Time next_first_offset_read_;
  Time next_snapshot_;

  // Held through each Tick and Publish, so that Stop can wait for the one that
  // is running; the strand keeps them apart from each other. Taken first.
  std::mutex active_mutex_;

  // Taken before ChangeWriter's mutex; no callback runs under it.
  mutable std::mutex mutex_;
  bool stopped_ = false;
  SettingsReplica replica_;
  SettingsSnapshotSchedule schedule_;
  // Folded, not yet told of.
  std::vector<RecordOutcome> outcomes_;
  bool publish_requested_ = false;
  // A peer's snapshot was taken over, which makes up for the log's end.
  bool from_peer_ = false;
  std::vector<Deferred> deferred_;
  Visible visible_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_SETTINGS_MANAGER_IMPL_H_
