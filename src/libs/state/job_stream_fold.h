// The whole fold of the job stream: jobs, epochs and snapshots, in log order.
//
// Decision code. A fold is complete when it stands on every record since
// offset 0 or on a snapshot with every record since. While it is not, because
// retention took records before they were read, records are kept aside until
// a snapshot that reaches back far enough has come along whole.
//
// A record whose id was folded before is ignored. Ids are remembered for a
// bounded number of records, far more than lie between an append and its
// repeat; the tables themselves ignore repeats of what their writers had
// folded before writing, so that a snapshot need not hold the ids.
#ifndef THORNPLANK_STATE_JOB_STREAM_FOLD_H_
#define THORNPLANK_STATE_JOB_STREAM_FOLD_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

#include "platform/log_client.h"
#include "state/epoch_table.h"
#include "state/job_snapshot.h"
#include "state/job_table.h"

namespace thornplank {

// What one record changed.
struct FoldChange {
  enum class Kind {
    // A repeat, an unknown type, out of date, or kept aside.
    kNone,
    kSubmitted,
    kCancelled,
    kPlaced,
    kPhase,
    kEpoch,
    kResigned,
    // Both tables were replaced: everything may have changed.
    kRestored,
  };
  Kind kind = Kind::kNone;
  // For kSubmitted, kCancelled, kPlaced, kPhase.
  std::string job;
};

class JobStreamFold {
 public:
  explicit JobStreamFold(JobRetention retention);

  // Records in order of offset. An offset below next_offset() is a repeat.
  FoldChange Fold(const LogRecord& record);
  // Records before `first_kept` were lost unread.
  void SkipLostRecords(int64_t first_kept);
  // Takes a snapshot from a peer. One that covers less than what is folded
  // changes nothing. True when the tables were replaced; reading then goes on
  // at next_offset().
  bool Restore(const std::vector<SnapshotPartRecord>& parts);

  // The tables as a snapshot, or empty while incomplete.
  std::vector<SnapshotPartRecord> MakeSnapshot(const std::string& snapshot_id,
                                               size_t jobs_per_part) const;

  bool complete() const { return complete_; }
  // The offset of the next record to fold.
  int64_t next_offset() const { return next_offset_; }
  // What the newest whole snapshot seen in the stream covers; 0 when none
  // was seen. Retention must not take records from here on.
  int64_t newest_snapshot_end() const { return newest_snapshot_end_; }
  const JobTable& jobs() const { return jobs_; }
  const EpochTable& epochs() const { return epochs_; }

 private:
  // False when the id was seen already.
  bool NoteId(const std::string& id);
  FoldChange Apply(const LogRecord& record, const JobStreamRecord& typed);
  FoldChange SeePart(const SnapshotPartRecord& part);
  bool Install(const std::vector<SnapshotPartRecord>& parts);

  JobRetention retention_;
  JobTable jobs_;
  EpochTable epochs_;
  JobSnapshotCollector collector_;
  // The ids of the last records, oldest first; the set holds the same ids.
  std::deque<std::string> id_order_;
  std::unordered_set<std::string> ids_;
  // Invariant: while complete_, the tables hold exactly the effect of every
  // record below next_offset_.
  bool complete_ = true;
  int64_t next_offset_ = 0;
  int64_t newest_snapshot_end_ = 0;
  // While not complete_: every record from kept_from_ to next_offset_.
  std::vector<LogRecord> kept_;
  int64_t kept_from_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_STREAM_FOLD_H_
