// By the time at which each life began, and by when it was asked.
#include "workload/worker_life.h"

namespace thornplank {

WorkerLife::Verdict WorkerLife::Judge(const std::optional<WallTime>& born,
                                      Time sent) const {
  if (!born || !born_ || *born == *born_) return Verdict::kSame;
  const bool later = *born > *born_ || sent >= heard_;
  return later ? Verdict::kNext : Verdict::kFormer;
}

void WorkerLife::Note(const std::optional<WallTime>& born, Time now) {
  if (!born || born == born_) return;
  born_ = born;
  heard_ = now;
}

}  // namespace thornplank
