// One attempt to run a job: its members, their leases, and what ends it.
#ifndef THORNPLANK_SCHEDULING_GANG_H_
#define THORNPLANK_SCHEDULING_GANG_H_

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/cluster_model.h"
#include "scheduling/job_types.h"

namespace thornplank {

enum class MemberState {
  // Granted by us, not confirmed by the worker; may be held there.
  kPending,
  kConfirmed,
  kCheckpointed,
  kFinished,
  kFailed,
  // No lease is held.
  kGone,
};
inline constexpr int kMemberStates = 6;

// What becomes of the job once the last lease of the gang is gone.
enum class JobDisposition { kRequeue, kCancel, kFail, kFinish };

struct MemberRecord {
  GangMember member;
  WorkerIndex worker = kNoWorker;
  MemberState state = MemberState::kPending;
  Time confirmed_at;
  // Progress since the start of the gang, as saved; set with kCheckpointed
  // when the worker reports it.
  std::optional<Duration> saved_progress;
  // Set while the worker is lost: the lease is gone from then on.
  std::optional<Time> lapses_at;
};

class Gang {
 public:
  Gang(std::string id, std::string job, std::string account,
       std::vector<MemberRecord> members);

  const std::string& id() const { return id_; }
  const std::string& job() const { return job_; }
  const std::string& account() const { return account_; }
  const std::vector<MemberRecord>& members() const { return members_; }
  int size() const { return static_cast<int>(members_.size()); }
  int accelerators() const { return accelerators_; }
  // Members in `state`.
  int count(MemberState state) const {
    return counts_[static_cast<int>(state)];
  }
  void SetState(int member, MemberState state, Time now);
  void SetSavedProgress(int member, std::optional<Duration> progress) {
    members_[member].saved_progress = progress;
  }
  // The least over the members that saved their state; nullopt when one of
  // them did not report it. A finished member has nothing to go on with.
  std::optional<Duration> MinSavedProgress() const;
  void SetLapseTime(int member, std::optional<Time> lapses_at) {
    members_[member].lapses_at = lapses_at;
  }

  // kStarting, kRunning, kCheckpointing or kStopping.
  // Invariant: kRunning only while every member is confirmed or finished.
  JobPhase phase = JobPhase::kStarting;
  JobDisposition disposition = JobDisposition::kRequeue;
  std::string end_reason;
  Time granted_at;
  // When the throttle was lifted.
  std::optional<Time> started_at;
  Time checkpoint_asked_at;
  // kStarting: stopped when not whole by then. kCheckpointing: stopped then.
  Time deadline;
  // The state of all members was saved before the stop.
  bool checkpointed = false;

 private:
  std::string id_;
  std::string job_;
  std::string account_;
  std::vector<MemberRecord> members_;
  int accelerators_ = 0;
  // Invariant: sums to members_.size().
  std::array<int, kMemberStates> counts_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GANG_H_
