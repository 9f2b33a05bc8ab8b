// Comparison of accounts and queues.
#include "coordination/job_access.h"

#include <algorithm>

namespace thornplank {

bool MayAccess(const CallerIdentity& caller, const JobDefinition& job) {
  if (job.account.empty()) return true;
  if (caller.accounts.empty()) return caller.queue == job.policy.queue;
  return std::find(caller.accounts.begin(), caller.accounts.end(),
                   job.account) != caller.accounts.end();
}

}  // namespace thornplank
