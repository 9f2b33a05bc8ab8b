// The state of the settings, replicated on every entry: applies the records of
// the stream "settings" in order of offset and holds the resulting tree and
// history.
//
// Decision code: no I/O. The verdicts depend only on the records, so that every
// entry reaches the same ones. When retention has removed records that were not
// applied yet (a gap), it stays as it is, applies nothing and waits for a
// snapshot that covers the gap.
#ifndef THORNPLANK_SETTINGS_SETTINGS_STATE_H_
#define THORNPLANK_SETTINGS_SETTINGS_STATE_H_

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

// A record as it was read from the stream.
struct SettingsRecord {
  int64_t offset = 0;
  std::string id;
  Json data;
};

// The outcome of applying a change, a withdrawal or a malformed record. There
// is none for snapshots and for records with an id that was decided before.
struct RecordOutcome {
  int64_t offset = 0;
  std::string id;
  SettingsChange change;
  ChangeResult result;
  // The record is neither a change nor a withdrawal; `change` is empty.
  bool malformed = false;
};

enum class SnapshotVerdict {
  kAdopted,
  // Covers no more than the records that are applied; nothing changes.
  kStale,
  // Does not reach up to the first record that can still be read.
  kLeavesGap,
  kMalformed,
};

class SettingsState {
 public:
  // Applies one record. Offsets must rise from call to call; a record that is
  // already covered is ignored. While there is a gap, records are kept for
  // later; the snapshot that closes the gap returns the outcomes of all of
  // them.
  std::vector<RecordOutcome> Apply(SettingsRecord record);

  // Retention has removed the records from `from` to before `first_kept`.
  void HandleGap(int64_t from, int64_t first_kept);

  // Replaces the state by a snapshot, from the stream or a peer, if it covers
  // more than the applied records and closes the gap. Its "covers" is the
  // offset of the first record that it does not contain. Adds the outcomes of
  // the records that were kept since the gap to `*outcomes`.
  SnapshotVerdict AdoptSnapshot(const Json& snapshot,
                                std::vector<RecordOutcome>* outcomes);

  // The whole state in the form that AdoptSnapshot reads; its "covers" is
  // next_offset(). Requires complete().
  Json Snapshot() const;

  // The snapshot that an operator has appended when no entry can read the
  // records of the gap any more: the state of this entry, declared to cover the
  // gap. Requires !complete().
  Json RecoverySnapshot() const;
  // Whether AdoptSnapshot could read the snapshot.
  static bool IsReadable(const Json& snapshot);

  // False while there is a gap.
  bool complete() const { return !gap_end_; }
  // All records before this offset are applied.
  int64_t next_offset() const { return next_offset_; }
  const SettingsTree& tree() const { return tree_; }
  const SettingsHistory& history() const { return history_; }
  // The decision on the record with this id; nullopt if there is none or if it
  // is no longer remembered.
  std::optional<ChangeResult> FindDecision(const std::string& id) const;

 private:
  // The decision on a record, by which a repeated id is recognised.
  struct Decision {
    std::string id;
    ChangeVerdict verdict;
    int64_t version;
  };

  struct SnapshotContents {
    // The snapshot covers all records before this offset.
    int64_t covers = 0;
    SettingsTree tree;
    SettingsHistory history;
    std::deque<Decision> decisions;
  };

  static std::optional<SnapshotContents> ParseSnapshot(const Json& snapshot);
  Json SnapshotCovering(int64_t covers) const;
  void ApplyNext(const SettingsRecord& record,
                 std::vector<RecordOutcome>* outcomes);
  void RememberDecision(const std::string& id, const ChangeResult& result);
  Json DecisionsToJson() const;
  static std::optional<std::deque<Decision>> ParseDecisions(const Json& json);

  SettingsTree tree_;
  SettingsHistory history_;
  // The latest decisions, oldest first; the same on every entry, because a
  // snapshot contains all of them.
  std::deque<Decision> decisions_;
  int64_t next_offset_ = 0;
  // Set while there is a gap: the offset of the first record that can still be
  // read. Invariant: *gap_end_ > next_offset_.
  std::optional<int64_t> gap_end_;
  // Records read after the gap, not applied yet. Empty unless gap_end_ is set.
  std::vector<SettingsRecord> records_after_gap_;
};

// Data of the record that withdraws the change appended under the same id. The
// first of the two in the stream takes effect, because a repeated id is
// ignored.
Json WithdrawalData(const std::string& author);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_STATE_H_
