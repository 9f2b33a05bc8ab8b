// Snapshots of the state of the job stream, split into parts that fit into
// records.
//
// Decision code without I/O. A snapshot is a pure function of the stream up to
// the offset that it covers, so it is valid whichever entry wrote it.
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

// A snapshot of both tables, which contain the records with offsets below
// `covers`. `snapshot_id` must never be used again. Each part holds at most
// `jobs_per_part` jobs.
std::vector<SnapshotPartRecord> MakeJobSnapshot(const std::string& snapshot_id,
                                                int64_t covers,
                                                const JobTable& jobs,
                                                const EpochTable& epochs,
                                                size_t jobs_per_part);

// Fills two empty tables from all parts, which must be in order. Returns false
// if a part is malformed; the tables must not be used then.
bool RestoreJobSnapshot(const std::vector<SnapshotPartRecord>& parts,
                        JobTable* jobs, EpochTable* epochs);

// Collects the parts of snapshots while the stream is read.
class JobSnapshotCollector {
 public:
  // Returns all parts in order if `part` completes its snapshot. Repeated parts
  // are ignored. The first part of a newer snapshot drops an incomplete older
  // one.
  std::optional<std::vector<SnapshotPartRecord>> Add(SnapshotPartRecord part);
  void Clear() { parts_.clear(); }

 private:
  std::string snapshot_id_;
  // SnapshotPartRecord::covers of the newest snapshot seen.
  int64_t covers_ = -1;
  // Parts received so far, by index.
  std::map<int, SnapshotPartRecord> parts_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_SNAPSHOT_H_
