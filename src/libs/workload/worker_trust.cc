// Failures in a row, and silence.
#include "workload/worker_trust.h"

#include <algorithm>

namespace thornplank {
namespace {

// Failures of as many jobs in a row take a worker out: among sound workers 5%
// of runs fail, so two in a row by chance are 1 in 400.
constexpr int kFailuresToQuarantine = 2;
// Longer than most spells of failure; after it one failure takes the worker out
// again.
constexpr std::chrono::seconds kQuarantine{6};
// One that goes down and up by turns does so within two or three seconds.
constexpr std::chrono::seconds kSilenceRemembered{6};

}  // namespace

void WorkerTrust::OnRunFailed(const std::string& job, Time now) {
  last_failure_ = now;
  if (job == last_failed_job_) return;
  last_failed_job_ = job;
  ++failures_;
  if (failures_ >= kFailuresToQuarantine) {
    quarantined_until_ = now + kQuarantine;
  }
}

void WorkerTrust::OnRunDone(Time began) {
  if (began < last_failure_) return;
  failures_ = 0;
  last_failed_job_.clear();
}

void WorkerTrust::OnRunStalled(Time now) {
  failures_ = std::max(failures_ + 1, kFailuresToQuarantine);
  last_failure_ = now;
  quarantined_until_ = now + kQuarantine;
}

void WorkerTrust::OnRestart() {
  failures_ = 0;
  last_failed_job_.clear();
  quarantined_until_ = Time{};
}

bool WorkerTrust::WasSilentLately(Time now) const {
  return last_silence_ && now - *last_silence_ < kSilenceRemembered;
}

}  // namespace thornplank
