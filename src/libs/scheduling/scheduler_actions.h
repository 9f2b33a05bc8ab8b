// What the job scheduler asks its carrier to do.
#ifndef THORNPLANK_SCHEDULING_SCHEDULER_ACTIONS_H_
#define THORNPLANK_SCHEDULING_SCHEDULER_ACTIONS_H_

#include <string>
#include <variant>
#include <vector>

#include "scheduling/job_types.h"

namespace thornplank {

// Grant every member its lease, throttled. `gang_id` is new for each attempt.
// A lost reply is repeated with the same lease ids.
struct GrantGang {
  std::string job;
  std::string gang_id;
  std::vector<GangMember> members;
  // Why this job now and why these workers, for the log.
  std::string reason;
};

// All members confirmed: release the throttle of every member.
struct LiftThrottle {
  std::string job;
  std::string gang_id;
};

// Save the state of every member; report through
// JobScheduler::WorkerReported (state kCheckpointed) or CheckpointDone.
struct CheckpointGang {
  std::string job;
  std::string gang_id;
  std::string reason;
};

// Stop every member that may still hold a lease, and release the lease.
// Repeat until each worker reports it gone or its lease has lapsed; a repeat
// of this action for the same gang changes nothing.
struct StopGang {
  std::string job;
  std::string gang_id;
  std::string reason;
};

// Stop one lease that belongs to no gang of ours: of an older attempt, or
// unknown at takeover.
struct StopLease {
  std::string worker;
  std::string lease_id;
  std::string reason;
};

// The carrier appends it to the job stream.
struct PhaseChanged {
  std::string job;
  JobPhase phase = JobPhase::kWaiting;
  std::string reason;
  // JobStatus::saved_progress at this moment.
  Duration saved_progress = Duration::zero();
};

// A guarantee or an event that cannot be served whole now. An empty `text`
// takes an earlier report of the same account or event back.
struct ReportShortfall {
  enum class Subject { kAccount, kEvent };
  Subject subject = Subject::kAccount;
  std::string name;
  std::string text;
};

// A worker was taken out of placement for failing what others run, is being
// probed with one gang, or was taken back.
struct WorkerQuarantineChanged {
  enum class Verdict { kQuarantined, kProbed, kReleased };
  std::string worker;
  Verdict verdict = Verdict::kQuarantined;
  std::string reason;
};

using SchedulerAction =
    std::variant<GrantGang, LiftThrottle, CheckpointGang, StopGang, StopLease,
                 PhaseChanged, ReportShortfall, WorkerQuarantineChanged>;
using SchedulerActions = std::vector<SchedulerAction>;

}  // namespace thornplank

#endif  // THORNPLANK_SCHEDULING_SCHEDULER_ACTIONS_H_
