// What a caller asks for: a job of steps, each a number of equal tasks.
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

// Bounds on one job, so that no caller can make the scheduler's tables large.
inline constexpr int kMaxSteps = 64;
inline constexpr int kMaxTasksPerStep = 4096;
inline constexpr int kMaxTasksPerJob = 8192;
inline constexpr int kMaxOccurrences = 1000;
inline constexpr size_t kMaxPayloadBytes = 4000;

struct StepSpec {
  int count = 1;
  // Of one task.
  Resources need;
  // The caller's guess; may be off by a factor of two and more.
  Milliseconds estimate{0};
  // Indices of earlier steps, all tasks of which must be done first.
  std::vector<int> depends_on;
  bool checkpointable = false;
  // All tasks run at the same time, or none.
  bool gang = false;
  bool same_rack = false;
  bool speculative = false;
  // Runs until the job is cancelled; restarted however it ends.
  bool long_running = false;
  // Its cores are not reserved: it uses what the others leave idle.
  bool is_filler = false;
  std::string required_label;
  std::string data_rack;
  std::string image;
  // 0: no bound.
  int max_per_worker = 0;
  // How many tasks of a long-running step the scheduler may take down at once.
  int max_unavailable = 0;
  // The tasks serve users of their own, and the tail of their answers must stay
  // below this; zero for tasks that don't.
  Milliseconds tail_latency_target{0};
};

// An outside service must approve the workers that run a step. What it takes,
// and how long its word holds.
struct AdviceTerms {
  // For one question, and more for each worker named in it.
  Milliseconds query_time{0};
  Milliseconds time_per_worker{0};
  Milliseconds validity{0};
};

// The queue's policy when the job was accepted.
struct QueuePolicy {
  std::string queue;
  std::string service;
  // 0 comes first and may preempt the others.
  int priority = 0;
  // Failed runs of a task after which its job has failed.
  int max_attempts = 1;
  // A job should end within stretch times its longest chain, and `slack`.
  double stretch = 1;
  Milliseconds slack{0};
  // Without it any worker of the service may run any step.
  std::optional<AdviceTerms> advice;
};

struct JobDefinition {
  std::string id;
  std::string account;
  // Passed to the tasks as it is.
  std::string payload;
  std::vector<StepSpec> steps;
  QueuePolicy policy;
  // 0: the steps run once, now. Else they run `occurrences` times, the first
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
  // From when on it may run.
  WallTime earliest_start(int occurrence) const {
    return scheduled() ? due(occurrence) : accepted;
  }
  // How long it may take from there on to be in time, going by the caller's
  // estimates.
  Milliseconds objective() const;
};

// Sixteen hexadecimal digits.
bool IsJobId(std::string_view text);

// Whether every bound holds and steps depend on earlier ones only; the reason
// is for the caller.
bool IsValidJob(const JobDefinition& job, std::string* reason);

// The stored form (CBOR).
std::string EncodeJob(const JobDefinition& job);
std::optional<JobDefinition> DecodeJob(std::string_view bytes, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_JOB_DEFINITION_H_
