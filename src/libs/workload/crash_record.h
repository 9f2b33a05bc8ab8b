// Records which workers were lost while they ran a task, and decides whether
// the task may be started again.
//
// A task may crash every worker that starts it. A crash ends all runs on the
// worker, and the crash alone does not tell which of them caused it. The time
// does: a worker that survived the start of a run for a while did not crash
// because of that start.
//
// A worker that falls silent may have crashed, or it is cut off and works on.
// Two proved crashes end a job: the run is known to have begun and cannot have
// ended before. A worker that is known to have ended after its leases may have
// crashed under the run, or later behind a cut: that proves nothing by itself,
// and only a longer series of such losses ends a job. Any other loss counts
// until the worker is seen alive or its end is known; as long as too many are
// unaccounted for, the task waits. A worker that shows neither for long is
// gone: the task waits for it no more. A run that was seen alive after its
// start has not crashed its worker by that: if the worker falls silent later,
// that counts nothing.
#ifndef THORNPLANK_WORKLOAD_CRASH_RECORD_H_
#define THORNPLANK_WORKLOAD_CRASH_RECORD_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/job_definition.h"

namespace thornplank {

// A worker that is alive this long after it accepted an order has survived the
// start of the run.
inline constexpr Milliseconds kStartPhase{200};

// What is known of a run whose worker's incarnation ended.
struct LostRun {
  std::string worker;
  std::string address = "";
  int number = 0;
  // When the worker's incarnation started, as it reports itself.
  std::optional<WallTime> incarnation_start = std::nullopt;
  // True if the worker is known to have crashed; false if it was only silent
  // for long.
  bool crashed = false;
  // True if the worker had accepted the order.
  bool began = false;
  // From the start of the run until the worker fell silent.
  Duration survived{};
  // Whether the crash is known to have come before the run's lease could end
  // and before the run could complete.
  bool within_lease = false;
  // Whether the worker has reported it kStartPhase after its start or later.
  bool survived_start = false;
};

// Clocks of workers and entries may differ by this much.
inline constexpr std::chrono::seconds kMaxClockDifference{5};

// Whether an incarnation that started at that time certainly had started when
// the job was accepted, so that no run of the job was on an earlier one.
inline bool PredatesJob(WallTime incarnation_start, WallTime job_accepted) {
  return incarnation_start + kMaxClockDifference < job_accepted;
}

// An incarnation of a worker that was lost while it ran the task.
struct WorkerLoss {
  std::string worker;
  // Nullopt if it is not known.
  std::optional<WallTime> incarnation_start = std::nullopt;
  // Proved to have crashed under the task.
  bool crashed = false;
  // Whether the run is known to have begun there.
  bool began = false;
  // Known to have ended since it fell silent, without having left as announced.
  // The run may have ended before, or never have begun.
  bool ended = false;
  // Number of the run that was lost; 0 in records of earlier releases.
  int run = 0;
  // Where the worker was, as long as it may be needed to account for it; empty
  // if that is not known.
  std::string address = "";
  // Neither it nor a later incarnation was seen for long. It may still be.
  bool gone = false;

  bool is_accounted_for() const { return crashed || ended; }
  // Whether the task waits no longer to hear of it.
  bool is_settled() const { return is_accounted_for() || gone; }

  // Whether the incarnation of `id` that started at `start` is certainly this
  // one. Where no start times are reported, ids alone tell.
  bool IsOfIncarnation(const std::string& id,
                       const std::optional<WallTime>& start,
                       WallTime job_accepted) const;
};

inline bool operator==(const WorkerLoss& a, const WorkerLoss& b) {
  return a.worker == b.worker && a.incarnation_start == b.incarnation_start &&
         a.crashed == b.crashed && a.began == b.began && a.ended == b.ended &&
         a.run == b.run && a.address == b.address && a.gone == b.gone;
}

// Whether a task may be started again.
enum class CrashVerdict {
  kMayStart,
  // Too many workers are unaccounted for: it must not start before one of them
  // is seen again.
  kMustWait,
  // It must not be started again.
  kGivenUp,
};

struct CrashRecord {
  // The oldest first.
  std::vector<WorkerLoss> losses;
  // Consecutive proved crashes of workers that had just accepted the order.
  int start_crashes = 0;
  // Runs that had begun and ended at their start with a worker that had
  // announced its departure: they may have crashed it, and are no losses.
  int unclear_starts = 0;

  bool empty() const { return losses.empty(); }
  // A long-running task loses many workers over time, so a worker that ran it
  // for a while before it was lost resets the record.
  void OnWorkerLost(const LostRun& run, const StepSpec& step);
  // A run of the task ended at its start with a worker that left.
  void OnWorkerLeftAtStart() { ++unclear_starts; }
  // A run of the task ended while its worker lived on.
  void OnRunEnded() { start_crashes = 0; }
  // That incarnation is alive, so it did not crash. Returns whether the record
  // has changed.
  bool OnWorkerAlive(const std::string& worker,
                     const std::optional<WallTime>& incarnation_start,
                     WallTime job_accepted);
  // The worker has reported how that run ended, so that the run was not lost
  // with it. Returns whether the record has changed.
  bool OnRunEndReported(const std::string& worker, int run);
  size_t proved_crashes() const;
  // Losses of workers that are known to be over.
  size_t accounted_losses() const;
  size_t settled_losses() const;
  // Those of them under runs that are known to have begun.
  size_t accounted_losses_of_runs() const;
  // That incarnation is over and has not left as announced. Returns whether the
  // record has changed.
  bool OnWorkerEnded(const std::string& worker,
                     const std::optional<WallTime>& incarnation_start);
  // The worker is not listed and not heard of any more. Returns whether the
  // record has changed.
  bool OnWorkerGone(const std::string& worker);
  // An incarnation that started at that time is alive: those that started
  // before are over. A run whose incarnation is not known was on one of them,
  // or never began, if this one does not report how it ended. Returns whether
  // the record has changed.
  bool OnIncarnationSeen(const std::string& worker, WallTime start,
                         WallTime job_accepted);
  // A worker with that id is alive at the address: others that were lost there
  // are over. Returns whether the record has changed.
  bool OnWorkerAt(const std::string& address, const std::string& worker);
  bool HasUnaccounted(const std::string& worker) const;
  bool HasUnsettled(const std::string& worker) const;
  CrashVerdict verdict() const;
  bool ShouldGiveUp() const { return verdict() == CrashVerdict::kGivenUp; }
  bool MustWait() const { return verdict() == CrashVerdict::kMustWait; }
  // Text for callers and operators.
  std::string ToText() const;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_CRASH_RECORD_H_
