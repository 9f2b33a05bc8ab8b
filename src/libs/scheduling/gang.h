// A gang: one attempt to run a job, with its members, their leases and the way
// it ends. All members run at the same time, or none does.
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
  // The lease was granted but the worker has not confirmed it; the worker may
  // or may not hold it.
  kPending,
  kConfirmed,
  kCheckpointed,
  kFinished,
  kFailed,
  // The worker holds no lease for the member.
  kGone,
};
inline constexpr int kMemberStates = 6;

// How a gang ends: what happens to its job once its last lease is gone.
enum class GangEnd { kRequeue, kCancel, kFail, kFinish };

struct MemberRecord {
  GangMember member;
  WorkerIndex worker = kNoWorker;
  MemberState state = MemberState::kPending;
  Time confirmed_at;
  // Run time since the start of the gang that the checkpoint has saved. Set in
  // state kCheckpointed if the worker reports it.
  std::optional<Duration> saved_progress;
  // Set while the worker is lost: when the lease lapses without renewal.
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
  // Number of members in `state`.
  int count(MemberState state) const {
    return counts_[static_cast<int>(state)];
  }
  void SetState(int member, MemberState state, Time now);
  void SetSavedProgress(int member, std::optional<Duration> progress) {
    members_[member].saved_progress = progress;
  }
  // The smallest saved progress over the members that were checkpointed, or
  // nullopt if one of them did not report it. Finished members do not count:
  // they have nothing left to resume.
  std::optional<Duration> MinSavedProgress() const;
  void SetLapseTime(int member, std::optional<Time> lapses_at) {
    members_[member].lapses_at = lapses_at;
  }

  // kStarting, kRunning, kCheckpointing or kStopping.
  // Invariant: kRunning only while every member is confirmed or finished.
  JobPhase phase = JobPhase::kStarting;
  GangEnd end = GangEnd::kRequeue;
  std::string end_reason;
  Time granted_at;
  // When the throttle was lifted, that is, when the gang began to run.
  std::optional<Time> started_at;
  Time checkpoint_requested_at;
  // kStarting: the gang is stopped if a member is not confirmed by then.
  // kCheckpointing: the gang is stopped then even if the checkpoint is not
  // done.
  Time deadline;
  // Whether all members had saved their state when the gang was stopped.
  bool checkpointed = false;

 private:
  std::string id_;
  std::string job_;
  std::string account_;
  std::vector<MemberRecord> members_;
  int accelerators_ = 0;
  // Number of members by MemberState. Invariant: sums to members_.size().
  std::array<int, kMemberStates> counts_{};
};

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_GANG_H_
