// Settings of JobManager.
#ifndef THORNPLANK_JOBS_JOB_MANAGER_SETTINGS_H_
#define THORNPLANK_JOBS_JOB_MANAGER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"
#include "platform/stream_follower.h"
#include "platform/stream_writer.h"
#include "scheduling/job_scheduler.h"
#include "state/coordinator_election.h"
#include "state/job_table.h"

namespace thornplank {

// Leases at workers and calls to them.
//
// How long the remaining members of a gang run after one member was lost, at
// most, with these defaults:
// - A worker counts as lost after `failures_before_lost` failed calls, but not
//   before `lost_after`. The first of these calls starts at most one renewal
//   interval with its jitter after the last answer: 4.4 s + 2 x 2 s = 8.4 s.
// - The other workers get the stop after at most one call in flight and the
//   call of the stop itself, 2 x 2 s: 12.4 s in all.
// - A remaining member whose worker is unreachable too runs until its lease
//   lapses: 8.4 s + 15 s = 23.4 s.
// - A failed task, or a lease that is gone at a worker that answers, is seen in
//   the next report: 4.4 s + 2 s, and 4 s for the stop.
// See docs/design/jobs.md.
struct LeaseSettings {
  Duration term = std::chrono::seconds(15);
  Duration renewal_interval = std::chrono::seconds(4);
  // The largest fraction of the interval by which a renewal is shifted at
  // random, so that not all workers are called at the same time.
  double renewal_jitter = 0.1;
  // A worker without leases is asked for its report this often.
  Duration idle_probe_interval = std::chrono::seconds(20);
  // While a checkpoint is in progress, its worker is asked again after a
  // quarter of the time that the checkpoint has taken so far, but not earlier
  // than this.
  Duration min_checkpoint_probe_interval = std::chrono::milliseconds(50);
  Duration call_timeout = std::chrono::seconds(2);
  Duration retry_delay = std::chrono::milliseconds(200);
  // A worker counts as lost once at least this many calls in a row have failed
  // and it has not answered for at least `lost_after`.
  int failures_before_lost = 2;
  Duration lost_after = std::chrono::seconds(5);
  // Added to the term when waiting for the leases of a lost worker to lapse,
  // because its clock may run slower than the clock of this entry.
  Duration lapse_margin = std::chrono::seconds(1);
  // How often a grant is sent if its answer is lost each time, before the
  // member counts as refused and its lease is stopped.
  int grant_attempts = 2;
};

struct JobManagerSettings {
  // This entry's instance name.
  std::string name;
  // An id that is new each time the process starts.
  std::string incarnation;
  // The name of the job stream.
  std::string stream = "jobs";
  LeaseSettings leases;
  ElectionSettings election;
  JobRetention retention;
  SchedulerOptions scheduler;
  StreamFollowerSettings follower;
  StreamWriterSettings writer;
  uint64_t seed = 1;
  // Interval of the check for due work when no event triggers it.
  Milliseconds tick_interval{50};
  // The log counts as down if no read has succeeded for this long.
  Milliseconds log_down_after{5000};
  // How long a submission or cancellation may wait to be appended.
  Milliseconds submit_timeout{5000};
  // Value of the Retry-After header of refused requests.
  std::chrono::seconds retry_after{5};
  // How long a coordinator's records and held urgent jobs wait for the log to
  // become available again.
  Duration append_timeout = std::chrono::hours(2);
  // How long a takeover waits for workers that do not answer.
  Milliseconds takeover_timeout{3000};
  // If two ticks are at least this far apart, the process was paused.
  Milliseconds pause_threshold{1000};
  // A snapshot is appended after this many records, after this time, or when
  // less than a quarter of the records kept by retention lie before the end of
  // what the newest snapshot covers.
  int64_t snapshot_records = 5000;
  Duration snapshot_interval = std::chrono::minutes(10);
  Milliseconds retention_check_interval{5000};
  size_t snapshot_jobs_per_part = 100;
  // The most jobs that GET /v1/jobs returns.
  size_t max_listed_jobs = 1000;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_MANAGER_SETTINGS_H_
