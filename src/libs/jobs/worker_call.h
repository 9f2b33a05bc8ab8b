// A call to one worker, and the events that GangExecutor derives from its
// result.
#ifndef THORNPLANK_JOBS_WORKER_CALL_H_
#define THORNPLANK_JOBS_WORKER_CALL_H_

#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "platform/worker_client.h"
#include "scheduling/job_scheduler.h"

namespace thornplank {

struct WorkerCall {
  enum class Kind {
    // A renewal without leases: sets the newest token at the worker, which then
    // refuses older tokens, and returns the worker's report.
    kFence,
    kGrant,
    kRenew,
    kLiftThrottle,
    kCheckpoint,
    kStop,
  };
  Kind kind = Kind::kFence;
  std::string worker;
  std::string address;
  FencingToken token;
  // Only for kGrant: the members of one gang at this worker.
  std::vector<LeaseRequest> leases;
  // Empty for kFence.
  std::vector<std::string> lease_ids;
  Time sent_at;
};

// The grant or the stop of one gang member has succeeded or failed.
struct MemberOutcomeEvent {
  std::string job;
  std::string gang_id;
  std::string lease_id;
  MemberOutcome outcome = MemberOutcome::kConfirmed;
  std::string reason;
};
// A worker answered a call, which was sent at `asked_at`.
struct WorkerReportEvent {
  WorkerReport report;
  Time asked_at;
};
// A worker counts as lost.
struct WorkerLostEvent {
  std::string worker;
  Time leases_lapse_at;
};
// A lost worker has answered again.
struct WorkerRecoveredEvent {
  std::string worker;
};
// The worker has seen a newer token than the one of the call.
struct TokenRefusedEvent {
  std::string worker;
};

using WorkerEvent =
    std::variant<MemberOutcomeEvent, WorkerReportEvent, WorkerLostEvent,
                 WorkerRecoveredEvent, TokenRefusedEvent>;
using WorkerEvents = std::vector<WorkerEvent>;

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_WORKER_CALL_H_
