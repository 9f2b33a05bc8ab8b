// The board: the state of all jobs as every entry derives it from the records
// of one shared partition.
//
// The partition holds, by key: the submission, the cancellation, the state and
// the reason of failure of each job; cancellations of jobs without a
// submission; the leader; the entries; the roster of replicas; and the progress
// of steps, the health of workers and the workers on which no leases are
// renewed, which only a leader reads. Repeated records and records that come in
// another order give the same result: a job that was cancelled before its end
// was published stays cancelled, and a published end is final.
#ifndef THORNPLANK_COORDINATION_JOB_BOARD_H_
#define THORNPLANK_COORDINATION_JOB_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "coordination/early_cancellations.h"
#include "coordination/record_store.h"
#include "coordination/replica_roster.h"
#include "workload/job_definition.h"
#include "workload/job_ledger.h"
#include "workload/task_ref.h"

namespace thornplank {

// A longer reason of a failed job is shortened: its parts, such as names of
// workers, come from others.
inline constexpr size_t kMaxFailureBytes = 2048;

struct BoardJob {
  // Null if a state or a cancellation was read before the submission.
  std::shared_ptr<const JobDefinition> spec;
  // Of the submission as it was first read.
  int64_t submission_offset = 0;
  bool cancelled = false;
  // It was cancelled before its submission was stored: it was never accepted,
  // and no task of it may start. Implies `cancelled`.
  bool cancelled_early = false;
  JobState published_state = JobState::kQueued;
  // When `published_state` was published.
  WallTime published_at{};
  // Reason of a failed job; "" for any other.
  std::string failure;

  JobState state() const {
    if (IsTerminal(published_state)) return published_state;
    return cancelled ? JobState::kCancelled : published_state;
  }
};

// The entry that sends orders to the workers.
struct LeaderRecord {
  // "instance/incarnation"; empty before the first leader.
  std::string holder;
  int64_t epoch = 0;
  // The holder has released leadership.
  bool released = false;
};

// An entry and where it answers the other entries.
struct EntryRecord {
  // "ip:port".
  std::string address;
  // When the record was written.
  WallTime written{};
  // Preference for leadership and for a replica: 0 is first, 1 is last.
  double rank = 0;
  std::string failure_domain;
};

// The effect of a record on the board.
struct BoardChange {
  enum class Kind {
    kNone,
    kSubmitted,
    kCancelled,
    kState,
    kDropped,
    kLeader,
    kEntry,
    kRoster,
    kRenewalStops
  };
  Kind kind = Kind::kNone;
  // Id of the job; "" for the kinds that concern no job.
  std::string job;
};

class JobBoard {
 public:
  // Records that can't be read are ignored.
  BoardChange Apply(const KeyedRecord& record);
  // The board was read again from its start; keys that are not in `keys` no
  // longer exist.
  void OnSnapshot(const std::set<std::string>& keys);

  // Null if no submission with this id was read.
  const BoardJob* Find(const std::string& job) const;
  const EarlyCancellations& early_cancellations() const {
    return early_cancellations_;
  }
  // Tombstones of the early cancellations that have expired, but for those of
  // jobs that are shown as unfinished.
  std::vector<KeyedRecord> TombstonesOfEarlyCancellations(WallTime now) const;
  const std::unordered_map<std::string, BoardJob>& jobs() const {
    return jobs_;
  }
  const LeaderRecord& leader() const { return leader_; }
  // By name of the instance.
  const std::map<std::string, EntryRecord>& entries() const { return entries_; }
  // nullopt before the first roster.
  const std::optional<ReplicaRoster>& roster() const { return roster_; }
  // The newest record of each block of progress, by key. Kept as it was read:
  // only a new leader decodes it.
  const std::unordered_map<std::string, KeyedRecord>& progress() const {
    return progress_;
  }
  // The newest record of each checkpoint that has a record of its own, by key.
  const std::unordered_map<std::string, KeyedRecord>& checkpoints() const {
    return checkpoints_;
  }
  // The newest record of the workers that are not healthy, as it was read;
  // nullopt if there is none.
  const std::optional<KeyedRecord>& health() const { return health_; }
  // The newest record of the workers on which a leader renews no leases, as it
  // was read; nullopt if there is none.
  const std::optional<KeyedRecord>& renewal_stops() const {
    return renewal_stops_;
  }
  // The newest record of the workers that have announced their departure, as it
  // was read; nullopt if there is none.
  const std::optional<KeyedRecord>& departures() const { return departures_; }
  // Number of accepted jobs of the queue of which no task has started.
  int64_t WaitingJobs(const std::string& queue) const;

  // The functions below build records to be stored.
  static KeyedRecord Submission(const JobDefinition& job);
  static KeyedRecord Cancellation(const std::string& job);
  static KeyedRecord State(const std::string& job, JobState state,
                           WallTime when);
  // The reason of a failed job, stored in addition to its state; at most
  // kMaxFailureBytes of it.
  static KeyedRecord Failure(const std::string& job, const std::string& reason);
  static KeyedRecord Leader(const LeaderRecord& leader);
  // A tombstone if `entry` is nullopt.
  static KeyedRecord Entry(const std::string& instance,
                           const std::optional<EntryRecord>& entry);
  static KeyedRecord Roster(const ReplicaRoster& roster);
  // Sorts before the key of the roster and after all other keys, so that the
  // roster can be read alone.
  static std::string RosterKeyPrefix();
  // The roster in this record; nullopt if it is another record.
  static std::optional<ReplicaRoster> ParseRoster(const KeyedRecord& record);
  // The progress of some tasks of a step; a tombstone if `value` is nullopt.
  static KeyedRecord Progress(const ProgressBlockRef& block,
                              std::optional<std::string> value);
  // The checkpoint of a task, or of a gang, whose block of progress would be
  // too large with it; a tombstone if `value` is nullopt.
  static KeyedRecord Checkpoint(const TaskRef& task,
                                std::optional<std::string> value);
  // The workers that are not healthy.
  static KeyedRecord Health(std::string value);
  // The workers on which a leader renews no leases; a tombstone if `value` is
  // nullopt.
  static KeyedRecord RenewalStops(std::optional<std::string> value);
  // The workers that have announced their departure; a tombstone if `value` is
  // nullopt.
  static KeyedRecord Departures(std::optional<std::string> value);
  // The block of progress that the key names; nullopt if it is another key.
  static std::optional<ProgressBlockRef> ParseProgressKey(
      const std::string& key);
  // The task whose checkpoint the key names; nullopt if it is another key.
  static std::optional<TaskRef> ParseCheckpointKey(const std::string& key);
  // Tombstones for all keys of a job except those of its progress.
  static std::vector<KeyedRecord> Tombstones(const std::string& id,
                                             const BoardJob& job);

 private:
  BoardChange ApplySubmission(const std::string& id, const KeyedRecord& record);
  BoardChange ApplyEarlyCancellation(const KeyedRecord& record);
  // `cancellation` binds the job.
  static void CancelEarly(const EarlyCancellation& cancellation, BoardJob* job);
  BoardChange ApplyState(const std::string& id, const KeyedRecord& record);
  BoardChange ApplyLeader(const KeyedRecord& record);
  BoardChange ApplyEntry(const std::string& instance,
                         const KeyedRecord& record);
  BoardChange ApplyRoster(const KeyedRecord& record);
  // Keeps the newest record of each key in `records`.
  static void ApplyNewest(
      const KeyedRecord& record,
      std::unordered_map<std::string, KeyedRecord>* records);
  void ApplyHealth(const KeyedRecord& record);
  BoardChange ApplyRenewalStops(const KeyedRecord& record);
  void ApplyDepartures(const KeyedRecord& record);

  std::unordered_map<std::string, BoardJob> jobs_;
  EarlyCancellations early_cancellations_;
  LeaderRecord leader_;
  std::map<std::string, EntryRecord> entries_;
  std::optional<ReplicaRoster> roster_;
  std::unordered_map<std::string, KeyedRecord> progress_;
  std::unordered_map<std::string, KeyedRecord> checkpoints_;
  std::optional<KeyedRecord> health_;
  std::optional<KeyedRecord> renewal_stops_;
  std::optional<KeyedRecord> departures_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_JOB_BOARD_H_
