// The fold of the stream "settings": records in order of offset in, the tree
// of settings out.
//
// Decision code: no I/O. Its verdicts depend only on the records, so that
// every entry comes to the same ones. Where the beginning of the stream is
// lost to retention, the fold keeps what it has, takes no change, and waits
// for a snapshot that closes the gap.
#ifndef THORNPLANK_SETTINGS_SETTINGS_REPLICA_H_
#define THORNPLANK_SETTINGS_SETTINGS_REPLICA_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "settings/settings_change.h"
#include "settings/settings_history.h"
#include "settings/settings_tree.h"

namespace thornplank {

// One record as it was read.
struct SettingsRecord {
  int64_t offset = 0;
  std::string id;
  Json data;
};

// What became of a change, a withdrawal or a record that makes no sense.
struct RecordOutcome {
  int64_t offset = 0;
  std::string id;
  SettingsChange change;
  ChangeResult result;
  // The record could not be read as anything; `change` is empty.
  bool malformed = false;
};

enum class SnapshotVerdict {
  kAdopted,
  // Covers no more than what is folded; changes nothing.
  kStale,
  // Ends before the records that can still be read begin.
  kLeavesGap,
  kMalformed,
};

class SettingsReplica {
 public:
  // Folds one record; offsets rise from call to call, and one that is already
  // covered is ignored. While there is a gap, records are kept for later, and
  // a usable snapshot returns the outcomes of all of them at once.
  std::vector<RecordOutcome> Apply(SettingsRecord record);

  // Records from `from` to before `first_kept` are lost to retention.
  void HandleGap(int64_t from, int64_t first_kept);

  // Takes over a snapshot, from the stream or a peer, when it covers more
  // than what is folded and closes the gap.
  SnapshotVerdict Adopt(const Json& snapshot,
                        std::vector<RecordOutcome>* outcomes);

  // What Adopt takes: the whole state, naming the offset that it covers.
  // Requires complete().
  Json Snapshot() const;

  // What an operator appends when the records of the gap are lost to
  // everyone: the state of this entry, said to cover the gap. Requires
  // !complete().
  Json RecoverySnapshot() const;
  // Whether Adopt could read it.
  static bool Readable(const Json& snapshot);

  // False while there is a gap.
  bool complete() const { return !resume_at_; }
  // All records before it are folded; a snapshot of it "covers" this.
  int64_t next_offset() const { return next_offset_; }
  const SettingsTree& tree() const { return tree_; }
  const SettingsHistory& history() const { return history_; }
  // The verdict on the change of that record id, while it is remembered.
  std::optional<ChangeResult> Decision(const std::string& id) const;

 private:
  struct Decided {
    std::string id;
    ChangeVerdict verdict;
    int64_t version;
  };

  // What a snapshot holds.
  struct State {
    int64_t covers = 0;
    SettingsTree tree;
    SettingsHistory history;
    std::deque<Decided> decided;
  };

  static std::optional<State> ParseSnapshot(const Json& snapshot);
  Json SnapshotCovering(int64_t covers) const;
  void ApplyNext(const SettingsRecord& record,
                 std::vector<RecordOutcome>* outcomes);
  void Remember(const std::string& id, const ChangeResult& result);
  Json DecidedToJson() const;
  static std::optional<std::deque<Decided>> ParseDecided(const Json& json);

  SettingsTree tree_;
  SettingsHistory history_;
  // The last decided ids, oldest first; the same on every entry, because a
  // snapshot carries all of them.
  std::deque<Decided> decided_;
  int64_t next_offset_ = 0;
  // Set while there is a gap: the first record that can still be read.
  // Invariant: *resume_at_ > next_offset_.
  std::optional<int64_t> resume_at_;
  // Records read since the gap. Empty unless resume_at_ is set.
  std::vector<SettingsRecord> waiting_;
};

// Data of the record that withdraws the change appended under the same id.
// Whichever of the two comes first decides: a repeated id is ignored.
Json WithdrawalData(const std::string& by);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_REPLICA_H_
