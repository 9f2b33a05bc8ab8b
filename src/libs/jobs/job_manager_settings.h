// Settings of the carrier of jobs.
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

// Leases and calls at workers.
//
// The longest that a survivor of a gang runs after a member was lost, with
// these defaults: the loss shows in `calls_before_lost` failed calls, the
// first of which starts at most a renewal interval with its jitter after the
// last answer: 4.4 s + 2 x 2 s = 8.4 s, and not before `lost_after`. The
// survivor then meets the stop within a call in flight and the stop itself,
// 2 x 2 s: 12.4 s in all. A survivor that cannot be reached either runs on
// until its lease lapses: at most 8.4 s + 15 s = 23.4 s. A task that fails or
// a lease that is gone at a worker that answers shows in the next report:
// 4.4 s + 2 s, and 4 s for the stop. See docs/design/jobs.md.
struct LeaseSettings {
  Duration term = std::chrono::seconds(15);
  Duration renewal_interval = std::chrono::seconds(4);
  // Share of the interval by which each renewal is moved at random, so that
  // workers are not renewed all at once.
  double renewal_jitter = 0.1;
  // A worker without leases is asked for its report this often.
  Duration idle_probe_interval = std::chrono::seconds(20);
  // While a checkpoint is under way its worker is asked again after a quarter
  // of the time that it has taken so far, and not before this.
  Duration min_checkpoint_probe = std::chrono::milliseconds(50);
  Duration call_timeout = std::chrono::seconds(2);
  Duration retry_delay = std::chrono::milliseconds(200);
  // A worker is lost after this many failed calls in a row and this long
  // without an answer.
  int calls_before_lost = 2;
  Duration lost_after = std::chrono::seconds(5);
  // Added to the term when waiting for the leases of a lost worker to lapse:
  // its clock may run slower than ours.
  Duration lapse_margin = std::chrono::seconds(1);
  // Tries of a grant whose answer is lost before the member counts as refused
  // and its lease is stopped.
  int grant_attempts = 2;
};

struct JobManagerSettings {
  // This entry's instance name, and an id that is new at each start.
  std::string name;
  std::string incarnation;
  std::string stream = "jobs";
  LeaseSettings leases;
  ElectionSettings election;
  JobRetention retention;
  SchedulerOptions scheduler;
  StreamFollowerSettings follower;
  StreamWriterSettings writer;
  uint64_t seed = 1;
  // How often due work is looked for when nothing happens.
  Milliseconds tick_interval{50};
  // Without an answer of the log for this long it counts as down.
  Milliseconds log_down_after{5000};
  // From POST /v1/jobs to the answer at the latest.
  Milliseconds submit_timeout{5000};
  // Retry-After of what is refused while the log is down.
  std::chrono::seconds retry_after{5};
  // How long a coordinator's records wait for the log to come back.
  Duration append_patience = std::chrono::hours(2);
  // A takeover waits this long for workers that do not answer.
  Milliseconds takeover_timeout{3000};
  // Ticks further apart than this mean that the process was paused.
  Milliseconds pause_threshold{1000};
  // A snapshot is appended after this many records, after this long, or when
  // retention has come within a quarter of the kept records.
  int64_t snapshot_records = 5000;
  Duration snapshot_interval = std::chrono::minutes(10);
  Milliseconds retention_check_interval{5000};
  size_t snapshot_jobs_per_part = 100;
  // Bytes of one POST body field list; larger bodies are refused by the server.
  size_t max_listed_jobs = 1000;
};

}  // namespace thornplank

#endif  // THORNPLANK_JOBS_JOB_MANAGER_SETTINGS_H_
