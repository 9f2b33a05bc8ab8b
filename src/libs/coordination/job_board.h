// What every entry knows of jobs: the fold of the shared stream.
//
// The stream holds, by key: a submission, a cancellation, a state for each job,
// why it failed, the leader, and the entries; and the progress of steps, which
// only a leader reads. Whatever the order in which records come, the fold gives
// the same answer: a job that was cancelled before its end was published stays
// cancelled, and a published end stays.
#ifndef THORNPLANK_COORDINATION_JOB_BOARD_H_
#define THORNPLANK_COORDINATION_JOB_BOARD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "coordination/record_store.h"
#include "workload/job_definition.h"
#include "workload/job_ledger.h"
#include "workload/task_ref.h"

namespace thornplank {

struct BoardJob {
  // Null when a state or a cancellation came before the submission.
  std::shared_ptr<const JobDefinition> spec;
  bool cancelled = false;
  JobState published_state = JobState::kQueued;
  // When its end was published.
  WallTime published_at{};
  // Where it has failed: why.
  std::string failure;

  JobState state() const {
    if (IsTerminal(published_state)) return published_state;
    return cancelled ? JobState::kCancelled : published_state;
  }
};

// Who orders the workers.
struct LeaderRecord {
  // Instance and life; empty before the first.
  std::string holder;
  int64_t epoch = 0;
  // It has given the lead back.
  bool released = false;
};

// Where an entry answers the others.
struct EntryRecord {
  // "ip:port".
  std::string address;
  WallTime written{};
};

// What a record was about.
struct BoardChange {
  enum class Kind {
    kNone,
    kSubmitted,
    kCancelled,
    kState,
    kDropped,
    kLeader,
    kEntry
  };
  Kind kind = Kind::kNone;
  std::string job;
};

class JobBoard {
 public:
  BoardChange Apply(const KeyedRecord& record);

  const BoardJob* Find(const std::string& job) const;
  const std::unordered_map<std::string, BoardJob>& jobs() const {
    return jobs_;
  }
  const LeaderRecord& leader() const { return leader_; }
  // By the instance's name.
  const std::map<std::string, EntryRecord>& entries() const { return entries_; }
  // Jobs of the queue that were accepted and of which nothing has started.
  int64_t WaitingJobs(const std::string& queue) const;

  // Records to be stored.
  static KeyedRecord Submission(const JobDefinition& job);
  static KeyedRecord Cancellation(const std::string& job);
  static KeyedRecord State(const std::string& job, JobState state,
                           WallTime when);
  // Why a job has failed; stored beside its state.
  static KeyedRecord Failure(const std::string& job, const std::string& reason);
  static KeyedRecord Leader(const LeaderRecord& leader);
  // No value drops it.
  static KeyedRecord Entry(const std::string& instance,
                           const std::optional<EntryRecord>& entry);
  // How far some tasks of a step are; no value drops it. Other entries than the
  // leader pass over it.
  static KeyedRecord Progress(const ProgressBlockRef& block,
                              std::optional<std::string> value);
  // The block of progress that the key names; nullopt for any other key.
  static std::optional<ProgressBlockRef> ParseProgressKey(
      const std::string& key);
  // Of all keys just those of progress come after it.
  static std::string ProgressKeyPrefix();
  // Records that drop all keys of a job but those of its progress.
  static std::vector<KeyedRecord> Tombstones(const std::string& id,
                                             const BoardJob& job);

 private:
  BoardChange ApplySubmission(const std::string& id, const KeyedRecord& record);
  BoardChange ApplyState(const std::string& id, const KeyedRecord& record);
  BoardChange ApplyLeader(const KeyedRecord& record);
  BoardChange ApplyEntry(const std::string& instance,
                         const KeyedRecord& record);

  std::unordered_map<std::string, BoardJob> jobs_;
  LeaderRecord leader_;
  std::map<std::string, EntryRecord> entries_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_JOB_BOARD_H_
