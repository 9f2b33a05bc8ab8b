// Maintains the settings of an entry: follows the stream "settings", appends
// changes and snapshots to it, and notifies the other parts of each change.
//
// A change is validated, reviewed and appended; its callback runs once this
// entry has read the record back and applied it. If the reply to an append is
// lost, a withdrawal is appended under the id of the change, and the first of
// the two records in the stream takes effect.
#ifndef THORNPLANK_ADMIN_SETTINGS_MANAGER_H_
#define THORNPLANK_ADMIN_SETTINGS_MANAGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "platform/stream_follower.h"
#include "platform/stream_writer.h"
#include "settings/settings_history.h"
#include "settings/settings_review.h"
#include "settings/settings_snapshot_schedule.h"
#include "settings/settings_tree.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct SettingsManagerOptions {
  // Name of this entry, with which the ids of its records begin.
  std::string instance;
  std::string stream = "settings";
  StreamFollowerSettings follower;
  StreamWriterSettings writer;
  SettingsSnapshotLimits snapshots;
  // How long the append of a change is retried before the change is withdrawn.
  Milliseconds append_timeout{3000};
  // Time after append_timeout until the caller is told that the outcome is
  // unknown.
  Milliseconds verdict_timeout{2000};
  // How long the append of a withdrawal is retried in the background.
  Milliseconds withdraw_timeout{60000};
  // How long a change waits that expects a version not applied here yet.
  Milliseconds defer_timeout{2000};
  // The log service counts as unavailable when no read has succeeded for this
  // long; must be above follower.wait.
  Milliseconds log_unavailable_after{3500};
  // Time after the start at which an entry that is not ready asks its peers for
  // snapshots.
  Milliseconds peer_fetch_delay{1000};
  Milliseconds peer_fetch_interval{1000};
  // Interval at which the oldest kept offset of the stream is read.
  Milliseconds first_offset_interval{5000};
  Milliseconds tick_interval{50};
};

enum class WriteOutcome {
  kApplied,
  // Another change was applied first; `version` is the present version.
  kLostRace,
  kInvalid,
  // The change is not applied and will not be.
  kNotRun,
  // The change may have been applied or may still be; a later read shows it.
  kUnknown,
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kNotRun;
  // Version of the path; -1 if unknown.
  int64_t version = -1;
  std::vector<std::string> reasons;
  // Set for kNotRun and kUnknown.
  Milliseconds retry_after{0};
};

class SettingsManager {
 public:
  using WriteCallback = std::function<void(const WriteResult&)>;
  using ChangeHandler = std::function<void(const SettingsTree&)>;
  // Takes the snapshots of all peers that answered in time; the newest is used.
  using SnapshotsCallback = std::function<void(std::vector<Json>)>;
  using SnapshotFetcher = std::function<void(SnapshotsCallback)>;

  SettingsManager(boost::asio::io_context& io, LogClient& log,
                  SettingsManagerOptions options);
  ~SettingsManager();

  // AddReview, AddChangeHandler and SetSnapshotFetcher must be called before
  // Start. `review` runs before a change is appended and must outlive this
  // object.
  void AddReview(const SettingsReview* review);
  // Handlers run one at a time and see the revisions in order: after each batch
  // of applied records that changed the tree, and once when the settings become
  // ready; never before that.
  void AddChangeHandler(ChangeHandler handler);
  // `fetch` is called when the log does not provide a complete state.
  void SetSnapshotFetcher(SnapshotFetcher fetch);

  void Start();
  // Completes pending writes and waits for a running handler; afterwards
  // neither handlers nor the log are used. Must not be called with a lock held
  // that a handler takes.
  void Stop();

  // `callback` runs once, on any thread, possibly before Write returns; after
  // kApplied the change is in force on this entry. Of `change`, the members
  // kind, path, expected_version, value and author are used.
  void Write(SettingsChange change, WriteCallback callback);
  // Gives up records that no entry can read any more and appends the state of
  // this entry as the new base; an entry without any state does so only with
  // `accept_empty`. kInvalid if no records are missing here. `author` is the
  // name of the requesting token.
  void Recover(const std::string& author, bool accept_empty,
               WriteCallback callback);

  // The settings in force on this entry; an empty tree until ready(), never
  // null.
  std::shared_ptr<const SettingsTree> tree() const;
  // Newest first.
  std::vector<HistoryEntry> history(const std::string& path) const;
  // All records of the stream before this offset are applied and in force here.
  int64_t next_offset() const;
  // False until the whole stream or a peer's snapshot is applied, and while
  // records are missing. The built-in defaults alone never count as ready.
  bool ready() const;
  // The state for a peer that asks for it; nullopt unless ready().
  std::optional<Json> Snapshot() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_SETTINGS_MANAGER_H_
