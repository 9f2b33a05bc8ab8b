// The actions that the job scheduler asks its caller to carry out.
#ifndef THORNPLANK_SCHEDULING_SCHEDULER_ACTIONS_H_
#define THORNPLANK_SCHEDULING_SCHEDULER_ACTIONS_H_

#include <string>
#include <variant>
#include <vector>

#include "scheduling/job_types.h"

namespace thornplank {

// Grant a throttled lease to every member. `gang_id` is new for each attempt.
// If a reply is lost, the grant is repeated with the same lease ids.
struct GrantGang {
  std::string job;
  std::string gang_id;
  std::vector<GangMember> members;
  // Why the job was placed now and on these workers, for the log.
  std::string reason;
};

// All members are confirmed: lift the throttle of every member.
struct LiftThrottle {
  std::string job;
  std::string gang_id;
};

// Save the state of every member. Completion is reported through
// JobScheduler::WorkerReported (state kCheckpointed) or CheckpointDone.
struct CheckpointGang {
  std::string job;
  std::string gang_id;
  std::string reason;
};

// Stop every member that may still hold a lease, and release the lease. To be
// repeated to each worker until it reports the lease as gone or the lease has
// lapsed. Repeating this action for the same gang changes nothing.
struct StopGang {
  std::string job;
  std::string gang_id;
  std::string reason;
};

// Stop one lease that belongs to no current gang, such as the lease of an
// earlier attempt or one that a new coordinator does not know.
struct StopLease {
  std::string worker;
  std::string lease_id;
  std::string reason;
};

// The phase of a job changed. The caller appends this to the job stream.
struct PhaseChanged {
  std::string job;
  JobPhase phase = JobPhase::kWaiting;
  std::string reason;
  // JobStatus::saved_progress at the time of the change.
  Duration saved_progress = Duration::zero();
};

// A guarantee or an event that cannot be served completely now. An empty `text`
// withdraws the earlier report about the same account or event.
struct ReportShortfall {
  enum class Subject { kAccount, kEvent };
  Subject subject = Subject::kAccount;
  std::string name;
  std::string text;
};

// A worker was quarantined because several jobs failed on it, is being probed
// with one gang, or was released from quarantine.
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
