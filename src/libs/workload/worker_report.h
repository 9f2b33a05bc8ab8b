// Workers as the directory lists them, and their reports on the runs they hold.
#ifndef THORNPLANK_WORKLOAD_WORKER_REPORT_H_
#define THORNPLANK_WORKLOAD_WORKER_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/crash_record.h"
#include "workload/job_ledger.h"
#include "workload/resources.h"
#include "workload/task_ref.h"

namespace thornplank {

// When the incarnation of a worker started, as it reports itself.
struct IncarnationStart {
  std::optional<WallTime> time = std::nullopt;
  // Why the time cannot be read; empty if it can or was not reported.
  std::string error = "";
};

// An entry of the directory of workers: one incarnation of one worker.
struct WorkerRegistration {
  // A restarted worker may have the id of its previous incarnation.
  std::string id;
  IncarnationStart incarnation_start;
  std::string address;
  std::string service;
  std::string failure_domain;
  std::string rack;
  // All labels that a step may require, including the rack.
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // While draining: the minimum time until it leaves.
  Milliseconds drain_remaining{0};
  // The worker's steady clock when it wrote the entry; nullopt if the entry
  // does not say.
  std::optional<Milliseconds> written = std::nullopt;
};

// A run that is on a worker.
struct RunReport {
  TaskRef task;
  int run = 0;
  std::string checkpoint;
  // Completed share of its work, 0 to 100.
  int percent = 0;
  // For a serving task its tail latency in milliseconds, for any other the
  // thousandths of a core that it uses; over the last half second.
  int64_t load = 0;
};

enum class RunKind { kSingle, kGangMember, kLongRunning };

// A run that has ended on a worker.
struct RunEndReport {
  // Sequence number of the end within one incarnation of the worker, from 1.
  int64_t number = 0;
  TaskRef task;
  int run = 0;
  RunEnd end = RunEnd::kLost;
  std::string checkpoint;
  // When it was first known to run, by this process's clock. Set by the
  // tracker.
  Time began{};
  // When this leader placed it; Time{} if another one did. Set by the tracker.
  Time placed{};
  // The start time of the incarnation that it ended with. Set by the tracker
  // for a run that ended with its worker.
  std::optional<WallTime> incarnation_start = std::nullopt;
  // The address of the worker. Set by the tracker for a run that ended with its
  // worker.
  std::string address = "";
  // The part of the time since `began` whose work a checkpoint preserves. Set
  // by the tracker.
  Duration saved_work{};
  // The time from `began` until its worker fell silent. Set by the tracker for
  // a run that ended with its worker.
  Duration survived{};
  // Whether the end of the incarnation was seen while the run's lease certainly
  // lasted, and before the run can have completed. Set by the tracker for a run
  // that ended with its worker.
  bool within_lease = false;
  // Number of the worker's incarnation, counted by the tracker and set by it.
  int incarnation = 0;
  // Set by the tracker; nullopt for a run that it did not expect there.
  std::optional<RunKind> kind = std::nullopt;
};

// What the end says of a run that was lost with `worker`.
LostRun ToLostRun(const std::string& worker, const RunEndReport& end);

struct WorkerStatusReport {
  // The worker's steady clock; restarts with each incarnation.
  Milliseconds clock{0};
  IncarnationStart incarnation_start;
  // All runs that are on it.
  std::vector<RunReport> running;
  // Ends that it may not forget yet, by number.
  std::vector<RunEndReport> ended;
  // Whether `ended` holds all of them. If not, a run that is in neither list
  // may have ended behind the last one listed, so its absence proves nothing.
  bool ends_complete = true;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_REPORT_H_
