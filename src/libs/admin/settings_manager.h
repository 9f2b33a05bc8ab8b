// Carries the settings tree: follows the stream "settings", appends changes
// and snapshots to it, and tells the other parts of each change.
//
// A change is validated and reviewed, appended, and answered once the own
// follower has folded it. Where the reply to an append is lost, the record's
// id decides: what was folded under it, or its withdrawal under the same id.
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
  // Name of this entry; the beginning of its record ids.
  std::string instance;
  std::string stream = "settings";
  StreamFollowerSettings follower;
  StreamWriterSettings writer;
  SettingsSnapshotLimits snapshots;
  // How long a change is sent again before it is withdrawn.
  Milliseconds append_timeout{3000};
  // From the end of the append until the caller is told that the outcome is
  // not known.
  Milliseconds decide_timeout{2000};
  // How long a withdrawal goes on in the background.
  Milliseconds withdraw_timeout{60000};
  // A change to a version newer than what is folded here waits this long.
  Milliseconds behind_timeout{2000};
  // The log counts as down when no read succeeded for so long; above
  // follower.wait.
  Milliseconds log_silent_after{3500};
  // Not ready for so long after the start: peers are asked.
  Milliseconds ask_peers_after{1000};
  Milliseconds ask_peers_interval{1000};
  Milliseconds first_offset_interval{5000};
  Milliseconds tick{50};
};

enum class WriteOutcome {
  kApplied,
  // Another change came first; `version` is what stands now.
  kLostRace,
  kInvalid,
  // It did not happen and will not.
  kNotRun,
  // It may have happened or still happen; reading the path tells later.
  kUnknown,
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kNotRun;
  // Of the path; -1 when not known.
  int64_t version = -1;
  std::vector<std::string> reasons;
  // Set for kNotRun and kUnknown.
  Milliseconds retry_after{0};
};

class SettingsManager {
 public:
  using WriteCallback = std::function<void(const WriteResult&)>;
  using ChangeHandler = std::function<void(const SettingsTree&)>;
  // The snapshots of all peers that answered in time; the newest is taken.
  using SnapshotsCallback = std::function<void(std::vector<Json>)>;
  using SnapshotFetcher = std::function<void(SnapshotsCallback)>;

  SettingsManager(boost::asio::io_context& io, LogClient& log,
                  SettingsManagerOptions options);
  ~SettingsManager();

  // These three before Start.
  // Reviews run before a change is appended; `review` must outlive this.
  void AddReview(const SettingsReview* review);
  // Called in order, one at a time, after each folded batch that changed
  // something, and once when the settings become ready; never before that.
  void AddChangeHandler(ChangeHandler handler);
  // Asked when the log gives no complete state.
  void SetSnapshotFetcher(SnapshotFetcher fetch);

  void Start();
  // Answers what is pending and waits for a handler that is running; after it
  // neither handlers nor the log are used. Not while the caller holds a lock
  // that a handler takes.
  void Stop();

  // `callback` runs once, on any thread, perhaps before Write returns; after
  // kApplied the change is in force on this entry. `expected_version`, `path`,
  // `kind`, `value` and `by` are used.
  void Write(SettingsChange change, WriteCallback callback);
  // Declares records that are lost to everyone void and appends the state of
  // this entry as the new base; an entry without any state does so only with
  // `accept_empty`. kInvalid when no records are missing here.
  void Recover(const std::string& by, bool accept_empty,
               WriteCallback callback);

  // What is in force on this entry; an empty tree until ready, never null.
  std::shared_ptr<const SettingsTree> tree() const;
  // Newest first.
  std::vector<HistoryEntry> history(const std::string& path) const;
  // All records of the stream before it are folded and in force here.
  int64_t next_offset() const;
  // False until the whole stream or a peer's snapshot is folded, and while
  // records are missing. Never true on defaults alone.
  bool ready() const;
  // State for a peer; nullopt unless ready.
  std::optional<Json> Snapshot() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_ADMIN_SETTINGS_MANAGER_H_
