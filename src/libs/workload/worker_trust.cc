// Counts consecutive failures and remembers silence.
#include "workload/worker_trust.h"

#include <algorithm>

namespace thornplank {
namespace {

// Consecutive failures of this many jobs quarantine a worker: on healthy
// workers 5% of runs fail, so two in a row happen by chance once in 400.
constexpr int kQuarantineFailures = 2;
// Longer than most periods of failure; afterwards a single failure quarantines
// the worker again.
constexpr std::chrono::seconds kQuarantine{6};
// A worker that alternates between answering and not does so within two or
// three seconds.
constexpr std::chrono::seconds kSilenceMemory{6};

}  // namespace

void WorkerTrust::OnRunFailed(const std::string& job, Time now) {
  last_failure_ = now;
  if (job == last_failed_job_) return;
  last_failed_job_ = job;
  ++failures_;
  if (failures_ >= kQuarantineFailures) Quarantine(now);
}

void WorkerTrust::OnRunDone(Time began) {
  if (began < last_failure_) return;
  failures_ = 0;
  last_failed_job_.clear();
}

void WorkerTrust::OnRunStalled(Time now) {
  failures_ = std::max(failures_ + 1, kQuarantineFailures);
  last_failure_ = now;
  Quarantine(now);
}

void WorkerTrust::Quarantine(Time now) {
  if (may_be_quarantined_) quarantined_until_ = now + kQuarantine;
}

void WorkerTrust::OnRestart() {
  failures_ = 0;
  last_failed_job_.clear();
  quarantined_until_ = Time{};
}

bool WorkerTrust::WasSilentRecently(Time now) const {
  return last_silence_ && now - *last_silence_ < kSilenceMemory;
}

}  // namespace thornplank
