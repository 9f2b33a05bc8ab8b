// Decides whether a call of a caller reaches a job, by the accounts and queues
// of both.
#ifndef THORNPLANK_COORDINATION_JOB_ACCESS_H_
#define THORNPLANK_COORDINATION_JOB_ACCESS_H_

#include <string>
#include <vector>

#include "workload/job_definition.h"

namespace thornplank {

// On whose behalf a call is made.
struct CallerIdentity {
  // The accounts that hold the key of the call, by name. A job that the call
  // submits belongs to the first. Empty for a call to a public queue, of which
  // no key is read.
  std::vector<std::string> accounts;
  // The queue to which the call was sent.
  std::string queue;

  // "" for a call to a public queue.
  std::string account() const {
    return accounts.empty() ? std::string() : accounts.front();
  }
};

// Whether the call may read, cancel and submit again this job:
// - a job with an account, with any key of that account, at any queue; without
//   a key only at its own queue, which then has become public;
// - a job without an account, which was submitted to a public queue, always.
bool MayAccess(const CallerIdentity& caller, const JobDefinition& job);

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_JOB_ACCESS_H_
