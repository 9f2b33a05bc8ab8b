// Restarts, cuts and losses of executors.
#include "executor_faults.h"

#include <utility>

namespace thornplank {
namespace {

// Separate the random sequences of the restarts and shrinking, of the cuts and
// of the losses.
constexpr uint32_t kRestartSeedOffset = 1000003;
constexpr uint32_t kCutOffSeedOffset = 2000003;
constexpr uint32_t kLossSeedOffset = 5000003;
// From the crash of an executor until it is back; the slow ones outlast leases.
constexpr int kRestartMs = 300;
constexpr int kSlowRestartMs = 8000;
constexpr Milliseconds kCutOffTime{2800};
// On average one of this many executors is cut off at a time.
constexpr int kExecutorsPerCutOff = 3;
// At most one of this many executors is lost by itself.
constexpr int kExecutorsPerLoss = 4;
// That many are lost at once where twice as many remain.
constexpr int kLostAtOnce = 6;

}  // namespace

ExecutorFaults::ExecutorFaults(HostedCluster* cluster, uint32_t seed,
                               std::function<void(const std::string&)> record)
    : cluster_(cluster),
      record_(std::move(record)),
      executors_(cluster->settings().executors),
      crash_random_(seed + kRestartSeedOffset),
      cut_off_random_(seed + kCutOffSeedOffset),
      loss_random_(seed + kLossSeedOffset) {}

void ExecutorFaults::Prepare() {
  for (int i = 0; i < executors_; ++i) {
    cluster_->ControlExecutor(i, {{"keeps_id", i % 2 == 0}});
  }
}

int ExecutorFaults::DrawShrinking() {
  const uint32_t draw = crash_random_();
  if (draw % 2 == 0) return -1;
  return static_cast<int>(draw / 2 % static_cast<uint32_t>(executors_));
}

void ExecutorFaults::Restart() {
  const uint32_t draw = crash_random_();
  if (draw % 2 == 0) return;
  const int restart_ms = draw % 5 == 0 ? kSlowRestartMs : kRestartMs;
  const uint32_t share = draw % 3 + 1;
  record_("a share of the executors restarts, within " +
          std::to_string(restart_ms) + " ms");
  for (int i = 0; i < executors_; ++i) {
    if (crash_random_() % share != 0) continue;
    cluster_->ControlExecutor(i,
                              {{"restart_ms", restart_ms}, {"restart", true}});
  }
}

void ExecutorFaults::ChangeCutOffs() {
  if (std::chrono::steady_clock::now() < cut_off_since_ + kCutOffTime) return;
  EndCutOffs();
  cut_off_since_ = std::chrono::steady_clock::now();
  std::string names;
  for (int i = 0; i < executors_; ++i) {
    const uint32_t draw = cut_off_random_();
    if (draw % kExecutorsPerCutOff != 0) continue;
    const bool writes_entries = draw / kExecutorsPerCutOff % 2 == 0;
    cluster_->ControlExecutor(
        i, {{writes_entries ? "unreachable" : "silent", true}});
    names += " " + std::to_string(i) + (writes_entries ? "*" : "");
  }
  record_("executors cut off (* writes its entry):" + names);
}

// From the last one on, so that the others stay as they are.
void ExecutorFaults::Lose() {
  const uint32_t draw = loss_random_();
  if (draw % 3 != 0) return;
  const bool together =
      draw / 3 % 3 == 0 && left() >= 3 * kLostAtOnce && lost_ < kLostAtOnce;
  const bool one = lost_ < executors_ / kExecutorsPerLoss;
  const int count = together ? kLostAtOnce : one ? 1 : 0;
  if (count == 0) return;
  record_(std::to_string(count) + " executors lost for good");
  for (int i = 0; i < count; ++i) {
    cluster_->ControlExecutor(executors_ - 1 - lost_++, {{"gone", true}});
  }
}

void ExecutorFaults::End() {
  EndCutOffs();
  for (int i = 0; i < executors_; ++i) {
    cluster_->ControlExecutor(i, {{"restart_ms", kRestartMs}});
  }
}

void ExecutorFaults::EndCutOffs() {
  for (int i = 0; i < executors_; ++i) {
    cluster_->ControlExecutor(i, {{"unreachable", false}, {"silent", false}});
  }
}

}  // namespace thornplank
