// The HTTP interface for jobs: checks the caller and the body, calls JobAccess
// and writes the response. See docs/PROTOCOLS.md section 2.
#ifndef THORNPLANK_JOBS_JOB_ROUTES_H_
#define THORNPLANK_JOBS_JOB_ROUTES_H_

#include <cstddef>
#include <memory>
#include <string>

#include "api/api_router.h"
#include "jobs/job_access.h"

namespace thornplank {

// Adds the routes under /v1/jobs. The handlers share ownership of `access`.
void AddJobRoutes(const std::shared_ptr<JobAccess>& access,
                  size_t max_listed_jobs, ApiRouter* router);

// The representation of a job in responses.
Json JobToJson(const JobEntry& entry);

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_ROUTES_H_
