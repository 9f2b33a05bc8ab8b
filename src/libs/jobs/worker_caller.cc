// Maps each kind of worker call to a function of WorkerClient.
#include "jobs/worker_caller.h"

#include <utility>

namespace thornplank {

void SendWorkerCall(WorkerClient& workers, const WorkerCall& call,
                    Duration term, Duration timeout,
                    WorkerClient::Callback callback) {
  switch (call.kind) {
    case WorkerCall::Kind::kFence:
      workers.Renew(call.address, call.token, {}, term, timeout,
                    std::move(callback));
      return;
    case WorkerCall::Kind::kGrant:
      workers.Grant(call.address, call.token, call.leases, timeout,
                    std::move(callback));
      return;
    case WorkerCall::Kind::kRenew:
      workers.Renew(call.address, call.token, call.lease_ids, term, timeout,
                    std::move(callback));
      return;
    case WorkerCall::Kind::kLiftThrottle:
      workers.Throttle(call.address, call.token, call.lease_ids, false, timeout,
                       std::move(callback));
      return;
    case WorkerCall::Kind::kCheckpoint:
      workers.Checkpoint(call.address, call.token, call.lease_ids, timeout,
                         std::move(callback));
      return;
    case WorkerCall::Kind::kStop:
      workers.Stop(call.address, call.token, call.lease_ids, timeout,
                   std::move(callback));
      return;
  }
}

}  // namespace thornplank
