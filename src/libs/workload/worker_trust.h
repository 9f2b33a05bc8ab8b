// Decides from the outcome of runs on a worker whether it can be trusted with
// new ones.
#ifndef THORNPLANK_WORKLOAD_WORKER_TRUST_H_
#define THORNPLANK_WORKLOAD_WORKER_TRUST_H_

#include <optional>
#include <string>

#include "base/time.h"

namespace thornplank {

class WorkerTrust {
 public:
  // Whether so few workers are in quarantine that this one may be as well.
  void set_may_be_quarantined(bool may) { may_be_quarantined_ = may; }

  // A run of the job failed there. The worker or the job may be the cause, so
  // only failures of distinct jobs are counted.
  void OnRunFailed(const std::string& job, Time now);
  // A run succeeded. One that began before the last failure shows nothing: a
  // worker that starts to fail new runs may still complete earlier ones.
  void OnRunDone(Time began);
  // A run made no progress there.
  void OnRunStalled(Time now);
  // It did not answer a call.
  void OnSilence(Time now) { last_silence_ = now; }
  // Another incarnation begins, of which no failure is known.
  void OnRestart();

  // Whether it gets no new runs.
  bool IsQuarantined(Time now) const { return now < quarantined_until_; }
  // Whether a run has failed there since the last one that succeeded.
  bool suspect() const { return failures_ > 0; }
  // Whether it failed to answer a call recently, though it may answer now.
  bool WasSilentRecently(Time now) const;

 private:
  void Quarantine(Time now);

  // Failed runs since the last successful one, by distinct jobs.
  int failures_ = 0;
  std::string last_failed_job_;
  Time last_failure_{};
  Time quarantined_until_{};
  bool may_be_quarantined_ = true;
  std::optional<Time> last_silence_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_WORKER_TRUST_H_
