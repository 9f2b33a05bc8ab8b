// Sends one WorkerCall through the client of the workers.
#ifndef THORNPLANK_JOBS_WORKER_CALLER_H_
#define THORNPLANK_JOBS_WORKER_CALLER_H_

#include "jobs/worker_call.h"
#include "platform/worker_client.h"

namespace thornplank {

// `term` is that of renewals.
void SendWorkerCall(WorkerClient& workers, const WorkerCall& call,
                    Duration term, Duration timeout,
                    WorkerClient::Callback callback);

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_WORKER_CALLER_H_
