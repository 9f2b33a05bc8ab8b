// Whether a worker can be trusted with work, by what became of work there.
#ifndef THORNPLANK_WORKLOAD_WORKER_TRUST_H_
#define THORNPLANK_WORKLOAD_WORKER_TRUST_H_

#include <optional>
#include <string>

#include "base/time.h"

namespace thornplank {

class WorkerTrust {
 public:
  // A run of the job failed there: that may speak against the worker as well as
  // against the job, so that only failures of distinct jobs add up.
  void OnRunFailed(const std::string& job, Time now);
  // A run that began before the last failure proves nothing: a worker that
  // begins to fail what it starts still ends well what it had started.
  void OnRunDone(Time began);
  // It let a run stand still.
  void OnRunStalled(Time now);
  // It left a call without an answer.
  void OnSilence(Time now) { last_silence_ = now; }
  // Another life of the worker begins, of which no failure is known.
  void OnRestart();

  // It is given nothing.
  bool Quarantined(Time now) const { return now < quarantined_until_; }
  // Something failed there since the last run that was done.
  bool suspect() const { return failures_ > 0; }
  // Left a call without an answer a moment ago, though it may answer now.
  bool WasSilentLately(Time now) const;

 private:
  // Runs that failed here since the last that was done, by distinct jobs.
  int failures_ = 0;
  std::string last_failed_job_;
  Time last_failure_{};
  Time quarantined_until_{};
  std::optional<Time> last_silence_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_TRUST_H_
