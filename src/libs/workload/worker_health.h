// Decides from the outcome of runs on a worker which tasks it may be given.
//
// A single failure may be chance, and most workers with one are healthy: such a
// worker is on probation, where one task at a time tests it. Several failures,
// or one on probation, exclude it for a while. A run that was placed after the
// failed ones and has succeeded shows that they were chance or that the fault
// is over. WorkerTrust decides instead while there is no fleet to compare with.
// Not thread-safe.
#ifndef THORNPLANK_WORKLOAD_WORKER_HEALTH_H_
#define THORNPLANK_WORKLOAD_WORKER_HEALTH_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "workload/decaying_count.h"
#include "workload/worker_trust.h"

namespace thornplank {

enum class HealthVerdict {
  // May take any task.
  kHealthy,
  // Gets one single task at a time, as a test.
  kProbation,
  // Gets no tasks for a while.
  kExcluded,
};

std::string_view ToText(HealthVerdict verdict);

// The run whose outcome is evidence on its worker.
struct RunEvidence {
  std::string job;
  // When it was first known to run; Time{} if it never was.
  Time began{};
  // When this leader placed it; Time{} if a previous one did.
  Time placed{};
};

// What a new leader needs to know of a worker that is not healthy.
struct HealthState {
  HealthVerdict verdict = HealthVerdict::kHealthy;
  // End of an exclusion.
  Time excluded_until{};
  // Exclusions that were not followed by a success.
  int exclusions = 0;
};

inline bool operator==(const HealthState& a, const HealthState& b) {
  return a.verdict == b.verdict && a.excluded_until == b.excluded_until &&
         a.exclusions == b.exclusions;
}

class WorkerHealth {
 public:
  WorkerHealth();

  // Whether workers are compared with the fleet; otherwise the rules of
  // WorkerTrust apply.
  void set_compared(bool compared) { compared_ = compared; }
  bool compared() const { return compared_; }
  // See FleetHealth::FailuresToExclude().
  void set_failures_to_exclude(int failures) {
    failures_to_exclude_ = failures;
  }

  // Whether so few workers are excluded that this one may be as well; otherwise
  // it is put on probation at most, or used last.
  void set_may_be_excluded(bool may) {
    may_be_excluded_ = may;
    trust_.set_may_be_quarantined(may);
  }

  void OnRunFailed(const RunEvidence& run, Time now);
  // A run made no progress there.
  void OnRunStalled(const RunEvidence& run, Time now);
  // Returns whether the success shows that a single failure was chance.
  bool OnRunDone(const RunEvidence& run, Time now);
  // It did not answer a call.
  void OnSilence(Time now) { trust_.OnSilence(now); }
  // Another incarnation begins, of which no failure is known.
  void OnRestart();
  // The job fails everywhere: its failures here are no evidence.
  void Exonerate(const std::string& job, Time now);
  // Continues what a previous leader has decided.
  void Restore(const HealthState& state, Time now);

  HealthVerdict verdict(Time now) const;
  bool IsExcluded(Time now) const;
  // Whether it is used last.
  bool IsSuspect(Time now) const;
  // Whether it failed to answer a call recently, though it may answer now.
  bool WasSilentRecently(Time now) const {
    return trust_.WasSilentRecently(now);
  }
  // While on probation: since when. Runs placed from then on are tests.
  Time probation_since() const { return probation_since_; }
  Time excluded_until() const { return excluded_until_; }
  // When it last failed or stalled, or was due for a test.
  Time last_evidence() const;
  // Whether a run of the job has failed here since the last success.
  bool HasFailureOf(const std::string& job) const;
  HealthState state(Time now) const;

  // Recent runs by outcome, for the log.
  double done(Time now) const { return done_.At(now); }
  double failed(Time now) const { return failed_.At(now); }
  double stalled(Time now) const { return stalled_.At(now); }

 private:
  // A failure or a stall that no success has refuted since.
  struct Incident {
    std::string job;
    // When the run was placed.
    Time placed{};
    Time seen{};
    bool stalled = false;
  };

  void Record(const RunEvidence& run, bool stalled, Time now);
  void Exclude(Time now);
  void DropOld(Time now);
  bool IsTooOld(const Incident& incident, Time now) const;
  Incident* FindIncidentOf(const std::string& job);

  bool compared_ = false;
  int failures_to_exclude_ = 2;
  bool may_be_excluded_ = true;
  // Decides while workers are not compared; knows silence in any case.
  WorkerTrust trust_;
  // One for each job, and one for each failed test.
  std::vector<Incident> incidents_;
  Time probation_since_{};
  Time excluded_until_{};
  // The next exclusion lasts the shortest time doubled as often.
  int exclusions_ = 0;
  DecayingCount done_;
  DecayingCount failed_;
  DecayingCount stalled_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_HEALTH_H_
