// What a worker says of itself, and what it says of the runs it holds.
#ifndef THORNPLANK_WORKLOAD_WORKER_REPORT_H_
#define THORNPLANK_WORKLOAD_WORKER_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_ledger.h"
#include "workload/resources.h"
#include "workload/task_ref.h"

namespace thornplank {

// When the life of a worker began, as it says itself.
struct IncarnationStart {
  std::optional<WallTime> time = std::nullopt;
  // Why it cannot be told; "" where it can.
  std::string error = "";
};

// An entry of the directory of workers: one life of one worker.
struct WorkerRegistration {
  // A worker that has restarted may have the id of the life before.
  std::string id;
  IncarnationStart incarnation_start;
  std::string address;
  std::string service;
  std::string failure_domain;
  std::string rack;
  // Everything that a step may require, the rack included.
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // Where draining: at least this long until it leaves.
  Milliseconds drain_remaining{0};
};

// One run that is on a worker.
struct RunReport {
  TaskRef task;
  int run = 0;
  std::string checkpoint;
  // Of its work, 0 to 100.
  int percent = 0;
  // Of a serving task the tail of its answers in milliseconds, of any other the
  // thousandths of a core that it uses; over the last half second.
  int64_t load = 0;
};

// One run that has ended on a worker.
struct RunEndReport {
  // Counts the ends of one life of a worker from 1.
  int64_t number = 0;
  TaskRef task;
  int run = 0;
  RunEnd end = RunEnd::kLost;
  std::string checkpoint;
  // When it was first seen at work, by this process's clock; filled in by the
  // tracker.
  Time began{};
  // Of the time since then, what a checkpoint keeps; filled in there as well.
  Duration saved_work{};
  // From then until its worker fell silent; filled in there for a run that
  // ended with its worker.
  Duration survived{};
  // Which of the lives that were seen under the worker's id; filled in there.
  int incarnation = 0;
};

struct WorkerStatusReport {
  // Begins anew with each life.
  Milliseconds clock{0};
  IncarnationStart incarnation_start;
  std::vector<RunReport> running;
  std::vector<RunEndReport> ended;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_REPORT_H_
