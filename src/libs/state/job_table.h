// Every job by id: the fold of the job stream without its epochs.
//
// Decision code. Each call takes one record in log order and says whether it
// changed anything. Repeats change nothing by their meaning, not by a list of
// remembered record ids: a job id is taken once, a final phase stays, and a
// coordinator's record counts only with a higher revision than the last one.
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
  // Empty, with no members, unless an attempt is under way.
  std::string gang_id;
  std::vector<GangMember> members;
  int attempts = 0;
  // Number of the coordinator's last record that counted. Since the records
  // of older epochs are ignored, one coordinator at a time numbers them.
  int64_t revision = 0;
  // Run time that completed checkpoints have saved; never becomes less.
  Milliseconds progress{0};
  // Times by the clock of the log service.
  WallTime submitted_at;
  std::optional<WallTime> running_at;
  std::optional<WallTime> ended_at;
};

// How long final jobs are kept. The same bounds must hold on every entry,
// else their folds differ in what they still show.
struct JobRetention {
  size_t max_final_jobs = 10000;
  Milliseconds max_final_age{24 * 3600 * 1000};
  // Ids of dropped jobs that are refused as repeats after that.
  size_t max_forgotten_ids = 20000;
};

class JobTable {
 public:
  explicit JobTable(JobRetention retention) : retention_(retention) {}

  // Takes a job in; `offset` becomes its submitted_order.
  bool Submit(const SubmittedRecord& record, int64_t offset, WallTime time);
  // The job is final from here on. An unknown id is remembered, so that a
  // later submission of it is refused.
  bool Cancel(const CancelledRecord& record, WallTime time);
  // The caller has checked that the record's epoch is in force.
  bool Place(const PlacedRecord& record, WallTime time);
  bool ChangePhase(const PhaseRecord& record, WallTime time);

  const JobEntry* Find(const std::string& id) const;
  // Whether a submission of `id` would be a repeat.
  bool IsKnown(const std::string& id) const;
  const std::map<std::string, JobEntry>& jobs() const { return jobs_; }
  size_t final_job_count() const { return final_order_.size(); }

  // For snapshots: final jobs in the order in which they ended, and dropped
  // ids from the oldest on.
  const std::deque<std::string>& final_order() const { return final_order_; }
  const std::deque<std::string>& forgotten() const { return forgotten_order_; }
  // Adds an entry of a snapshot; final ones in the order of their end.
  void Restore(JobEntry entry);
  void RestoreForgotten(const std::string& id);

 private:
  JobEntry* FindOpen(const std::string& id, int64_t revision);
  void End(JobEntry* entry, JobPhase phase, const std::string& reason,
           WallTime time);
  // Drops final jobs beyond the bounds; `now` is the time of a record.
  void DropOld(WallTime now);
  void Forget(const std::string& id);

  JobRetention retention_;
  std::map<std::string, JobEntry> jobs_;
  // Exactly the final jobs of jobs_, oldest end first.
  std::deque<std::string> final_order_;
  // Ids that are refused though not in jobs_, oldest first; the set holds the
  // same ids.
  std::deque<std::string> forgotten_order_;
  std::set<std::string> forgotten_;
};

}  // namespace thornplank

#endif  // THORNPLANK_STATE_JOB_TABLE_H_
