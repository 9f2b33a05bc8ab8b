// Sends a WorkerCall through WorkerClient.
#ifndef THORNPLANK_JOBS_WORKER_CALLER_H_
#define THORNPLANK_JOBS_WORKER_CALLER_H_

#include "jobs/worker_call.h"
#include "platform/worker_client.h"

namespace thornplank {

// `term` is the lease term that renewals request. `callback` runs once, with
// the result of the call.
void SendWorkerCall(WorkerClient& workers, const WorkerCall& call,
                    Duration term, Duration timeout,
                    WorkerClient::Callback callback);

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_WORKER_CALLER_H_
