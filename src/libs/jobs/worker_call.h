// One call to one worker, and what its answer means for the coordinator.
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
    // A renewal of no lease: raises the newest token at the worker, so that
    // nothing older is accepted any more, and brings its report.
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
  // kGrant: the members of one gang at this worker.
  std::vector<LeaseRequest> leases;
  // All kinds but kFence.
  std::vector<std::string> lease_ids;
  Time sent_at;
};

// What became known through an answer, or through its absence.
struct MemberFared {
  std::string job;
  std::string gang_id;
  std::string lease_id;
  MemberOutcome outcome = MemberOutcome::kConfirmed;
  std::string reason;
};
struct ReportArrived {
  WorkerReport report;
  Time asked_at;
};
struct WorkerWentSilent {
  std::string worker;
  Time leases_lapse_at;
};
struct WorkerCameBack {
  std::string worker;
};
// The worker has seen a newer token than ours.
struct TokenRefused {
  std::string worker;
};

using WorkerEvent = std::variant<MemberFared, ReportArrived, WorkerWentSilent,
                                 WorkerCameBack, TokenRefused>;
using WorkerEvents = std::vector<WorkerEvent>;

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_WORKER_CALL_H_
