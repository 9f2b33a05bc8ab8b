// The definition of a job: steps, each of a number of equal tasks, and the
// policy of its queue.
#ifndef THORNPLANK_WORKLOAD_JOB_DEFINITION_H_
#define THORNPLANK_WORKLOAD_JOB_DEFINITION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "workload/resources.h"

namespace thornplank {

// Limits for one job, so that no caller can make the scheduler's tables large.
inline constexpr size_t kJobIdDigits = 16;
inline constexpr int kMaxSteps = 64;
inline constexpr int kMaxTasksPerStep = 4096;
inline constexpr int kMaxTasksPerJob = 8192;
inline constexpr int kMaxOccurrences = 1000;
inline constexpr size_t kMaxPayloadBytes = 4000;

struct StepSpec {
  int count = 1;
  // Resources of one task.
  Resources need;
  // The caller's estimate of a task's run time; may be wrong by a factor of two
  // or more.
  Milliseconds estimate{0};
  // Indices of earlier steps, all of whose tasks must be done first.
  std::vector<int> depends_on;
  bool checkpointable = false;
  // All tasks run at the same time, or none of them.
  bool gang = false;
  bool same_rack = false;
  bool speculative = false;
  // Runs until the job is cancelled; restarted however a run ends.
  bool long_running = false;
  // Filler tasks: no cores are reserved for them, they use what other tasks
  // leave idle.
  bool is_filler = false;
  std::string required_label;
  std::string data_rack;
  std::string image;
  // 0: no limit.
  int max_per_worker = 0;
  // Number of tasks of a long-running step that the scheduler may stop at the
  // same time.
  int max_unavailable = 0;
  // Target for the tail latency of tasks that answer requests; zero for other
  // tasks.
  Milliseconds tail_latency_target{0};
};

// Terms of an external advice service that must approve the workers for a step:
// how long its decisions take and how long they are valid.
struct AdviceTerms {
  // Time for one query, and additional time for each worker named in it.
  Milliseconds query_time{0};
  Milliseconds time_per_worker{0};
  Milliseconds validity{0};
};

// The queue's policy when the job was accepted.
struct QueuePolicy {
  std::string queue;
  std::string service;
  // 0 is the highest priority and may preempt the others.
  int priority = 0;
  // The job fails after this many failed runs of a task.
  int max_attempts = 1;
  // A job should end within `stretch` times the length of its critical path,
  // plus `slack`.
  double stretch = 1;
  Milliseconds slack{0};
  // Without it, any worker of the service may run any step.
  std::optional<AdviceTerms> advice;
};

struct JobDefinition {
  std::string id;
  std::string account;
  // Passed to the tasks unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  QueuePolicy policy;
  // 0: the steps run once, now. Otherwise they run `occurrences` times, first
  // at `first_start`, then every `interval`.
  int occurrences = 0;
  WallTime first_start{};
  Milliseconds interval{0};
  WallTime accepted{};

  bool scheduled() const { return occurrences > 0; }
  int occurrence_count() const { return scheduled() ? occurrences : 1; }
  bool long_running() const;
  WallTime due(int occurrence) const {
    return first_start + interval * occurrence;
  }
  // The earliest time at which the occurrence may start.
  WallTime earliest_start(int occurrence) const {
    return scheduled() ? due(occurrence) : accepted;
  }
  // How long an occurrence may take from earliest_start() on to be in time,
  // according to the caller's estimates.
  Milliseconds objective() const;
  // The shortest time from the start of this step until the steps that follow
  // from it are done, according to the caller's estimates.
  Milliseconds estimate_from(int step) const;
};

// True for sixteen hexadecimal digits.
bool IsJobId(std::string_view text);

// Whether all limits are respected and steps depend on earlier ones only;
// otherwise `*reason` says why not, for the caller.
bool IsValidJob(const JobDefinition& job, std::string* reason);

// The stored form (CBOR).
std::string EncodeJob(const JobDefinition& job);
std::optional<JobDefinition> DecodeJob(std::string_view bytes, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_JOB_DEFINITION_H_
