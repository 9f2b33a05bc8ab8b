// The tables of jobs and epochs that result from applying the records of the
// job stream in log order.
//
// Decision code without I/O. The state is complete if it is based on all
// records since offset 0, or on a snapshot and all records since that snapshot.
// It is incomplete if log retention removed records before they were read. It
// then buffers further records until it has a complete snapshot that covers the
// gap.
//
// A record whose id was applied before is ignored. The ids of a limited number
// of records are remembered, far more than lie between an append and its
// repetition. The tables themselves ignore repeats of records that their
// writers had applied before writing, so that snapshots need not contain the
// ids.
#ifndef THORNPLANK_STATE_JOB_STREAM_STATE_H_
#define THORNPLANK_STATE_JOB_STREAM_STATE_H_

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

// The change made by one record.
struct JobStreamChange {
  enum class Kind {
    // No change: the record is a repeat, of unknown type, out of date, or was
    // buffered.
    kNone,
    kSubmitted,
    kCancelled,
    kPlaced,
    kPhase,
    kEpoch,
    kResigned,
    // Both tables were replaced by a snapshot; anything may have changed.
    kRestored,
  };
  Kind kind = Kind::kNone;
  // Job id, for kSubmitted, kCancelled, kPlaced and kPhase.
  std::string job;
};

class JobStreamState {
 public:
  explicit JobStreamState(JobRetention retention);

  // Records must come in the order of their offsets. A record with an offset
  // below next_offset() is ignored as a repeat.
  JobStreamChange Apply(const LogRecord& record);
  // To be called when the records before `first_kept` are gone from the log and
  // were not all read. The state is incomplete after that.
  void SkipLostRecords(int64_t first_kept);
  // Installs a snapshot from a peer. A snapshot that covers less than what is
  // already applied changes nothing. Returns whether the tables were replaced;
  // reading then continues at next_offset().
  bool Restore(const std::vector<SnapshotPartRecord>& parts);

  // A snapshot of the tables; empty while the state is incomplete.
  std::vector<SnapshotPartRecord> MakeSnapshot(const std::string& snapshot_id,
                                               size_t jobs_per_part) const;

  bool complete() const { return complete_; }
  // The offset of the next record to apply.
  int64_t next_offset() const { return next_offset_; }
  // The offset up to which the newest complete snapshot in the stream covers
  // it; 0 if there was none. Retention must keep the records from this offset
  // on.
  int64_t newest_snapshot_end() const { return newest_snapshot_end_; }
  const JobTable& jobs() const { return jobs_; }
  const EpochTable& epochs() const { return epochs_; }

 private:
  // Returns false if the id is already remembered.
  bool RememberId(const std::string& id);
  JobStreamChange ApplyTyped(const LogRecord& record,
                             const JobStreamRecord& typed);
  JobStreamChange AddSnapshotPart(const SnapshotPartRecord& part);
  bool InstallSnapshot(const std::vector<SnapshotPartRecord>& parts);

  JobRetention retention_;
  JobTable jobs_;
  EpochTable epochs_;
  JobSnapshotCollector collector_;
  // The ids of the latest records, oldest first; `ids_` contains the same ids.
  std::deque<std::string> id_order_;
  std::unordered_set<std::string> ids_;
  // Invariant: if complete_, the tables contain exactly the effect of all
  // records below next_offset_.
  bool complete_ = true;
  int64_t next_offset_ = 0;
  int64_t newest_snapshot_end_ = 0;
  // If not complete_: all records from pending_from_ up to next_offset_.
  std::vector<LogRecord> pending_records_;
  int64_t pending_from_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_STREAM_STATE_H_
