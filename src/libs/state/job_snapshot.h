// Snapshots of the folded job stream, in parts that fit the log's records.
//
// Decision code. A snapshot is a pure function of the stream up to the offset
// that it covers, so it is valid whoever wrote it.
#ifndef THORNPLANK_STATE_JOB_SNAPSHOT_H_
#define THORNPLANK_STATE_JOB_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/epoch_table.h"
#include "state/job_records.h"
#include "state/job_table.h"

namespace thornplank {

// Both tables as they stand before the record at `covers`. `snapshot_id` must
// be unique for ever. Each part holds at most `jobs_per_part` jobs.
std::vector<SnapshotPartRecord> MakeJobSnapshot(const std::string& snapshot_id,
                                                int64_t covers,
                                                const JobTable& jobs,
                                                const EpochTable& epochs,
                                                size_t jobs_per_part);

// Fills two empty tables from every part, in order of part. False when a part
// cannot be read; the tables are then not to be used.
bool RestoreJobSnapshot(const std::vector<SnapshotPartRecord>& parts,
                        JobTable* jobs, EpochTable* epochs);

// Collects the parts of snapshots as they come along in the stream.
class JobSnapshotCollector {
 public:
  // Every part, in order, once `part` made its snapshot whole. Repeats of a
  // part are ignored. Starting a newer snapshot drops older unfinished ones.
  std::optional<std::vector<SnapshotPartRecord>> Add(SnapshotPartRecord part);
  void Clear() { parts_.clear(); }

 private:
  std::string snapshot_id_;
  int64_t covers_ = -1;
  std::map<int, SnapshotPartRecord> parts_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_SNAPSHOT_H_
