// All jobs by id, as they result from applying the job stream.
//
// Decision code without I/O. Each record method takes the next record in log
// order and returns whether it changed anything. Repeats need no list of record
// ids to be recognized: a job id is accepted once, a final phase never changes,
// and a coordinator's record is accepted only if its revision is higher than
// the last.
#ifndef THORNPLANK_STATE_JOB_TABLE_H_
#define THORNPLANK_STATE_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "state/job_records.h"

namespace thornplank {

struct JobEntry {
  JobRequest request;
  JobPhase phase = JobPhase::kWaiting;
  std::string reason;
  // Gang of the current attempt; empty, with no members, if there is none.
  std::string gang_id;
  std::vector<GangMember> members;
  int attempts = 0;
  // Sequence number of the last accepted record of a coordinator. Since records
  // of older epochs are ignored, only one coordinator at a time assigns
  // revisions.
  int64_t revision = 0;
  // Run time that completed checkpoints have saved; never decreases.
  Milliseconds progress{0};
  // Times by the clock of the log service.
  WallTime submitted_at;
  std::optional<WallTime> running_at;
  std::optional<WallTime> ended_at;
};

// How long final jobs are kept. All entries must use the same limits; otherwise
// they show different jobs.
struct JobRetention {
  size_t max_final_jobs = 10000;
  Milliseconds max_final_age{24 * 3600 * 1000};
  // Number of ids of dropped jobs that are still refused as repeats.
  size_t max_refused_ids = 20000;
};

class JobTable {
 public:
  explicit JobTable(JobRetention retention) : retention_(retention) {}

  // Adds a job; `offset` becomes its submitted_order.
  bool Submit(const SubmittedRecord& record, int64_t offset, WallTime time);
  // Makes the job final. If the id is unknown, a later submission of it is
  // refused.
  bool Cancel(const CancelledRecord& record, WallTime time);
  // For Place and ChangePhase the caller must check that the record's epoch is
  // in force.
  bool Place(const PlacedRecord& record, WallTime time);
  bool ChangePhase(const PhaseRecord& record, WallTime time);

  const JobEntry* Find(const std::string& id) const;
  // Whether a submission of `id` would be refused as a repeat.
  bool IsKnown(const std::string& id) const;
  const std::map<std::string, JobEntry>& jobs() const { return jobs_; }
  size_t final_job_count() const { return final_order_.size(); }

  // For snapshots: ids of final jobs in the order in which they ended, and
  // refused ids that are not in jobs(), oldest first.
  const std::deque<std::string>& final_order() const { return final_order_; }
  const std::deque<std::string>& refused_ids() const { return refused_order_; }
  // Adds an entry of a snapshot. Final jobs must be added in the order in which
  // they ended.
  void Restore(JobEntry entry);
  void RestoreRefusedId(const std::string& id);

 private:
  // The job if it is not final and `revision` is higher than its last one, else
  // nullptr.
  JobEntry* FindOpen(const std::string& id, int64_t revision);
  void EndJob(JobEntry* entry, JobPhase phase, const std::string& reason,
              WallTime time);
  // Drops the final jobs that exceed the limits. `now` is the time of a record,
  // so that all entries drop the same jobs.
  void DropOldJobs(WallTime now);
  void RefuseId(const std::string& id);

  JobRetention retention_;
  std::map<std::string, JobEntry> jobs_;
  // Ids of exactly the final jobs in jobs_, in the order in which they ended.
  std::deque<std::string> final_order_;
  // Ids that are refused although they are not in jobs_, oldest first;
  // `refused_ids_` contains the same ids.
  std::deque<std::string> refused_order_;
  std::set<std::string> refused_ids_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_TABLE_H_
