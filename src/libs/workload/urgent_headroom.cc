// Peak with exponential decay, floor and upper bound.
#include "workload/urgent_headroom.h"

#include <algorithm>
#include <cmath>

namespace thornplank {
namespace {

double ShareOfOne(int64_t need, int64_t all) {
  if (need <= 0) return 0;
  if (all <= 0) return 1;
  return std::min(1.0, static_cast<double>(need) / static_cast<double>(all));
}

}  // namespace

double WorkerShare(const Resources& need, const Resources& worker) {
  return std::max({ShareOfOne(need.accelerators, worker.accelerators),
                   ShareOfOne(need.cpu_millis, worker.cpu_millis),
                   ShareOfOne(need.memory_mb, worker.memory_mb)});
}

int64_t WorkersNeeded(const Resources& need, int64_t tasks,
                      const Resources& worker) {
  const int64_t each =
      std::max<int64_t>(need.TimesIn(worker, std::max<int64_t>(tasks, 1)), 1);
  return (tasks + each - 1) / each;
}

void UrgentHeadroom::Observe(const UrgentUse& use, Time now) {
  const double passed =
      std::chrono::duration<double>(now - observed_.value_or(now)).count();
  const double constant =
      std::chrono::duration<double>(settings_.decay).count();
  observed_ = now;
  current_ = use.workers;
  peak_ = std::max(current_, peak_ * std::exp(-passed / constant));
  if (use.seen) last_seen_ = now;
  const bool forgotten = now - largest_seen_ >= settings_.retention;
  if (forgotten) largest_step_ = 0;
  if (use.largest_step > 0 && use.largest_step >= largest_step_) {
    largest_step_ = use.largest_step;
    largest_seen_ = now;
  }
}

int64_t UrgentHeadroom::Workers(int64_t usable) const {
  if (!last_seen_ || *observed_ - *last_seen_ >= settings_.retention) return 0;
  const auto share_of = [usable](double share) {
    return static_cast<int64_t>(share * static_cast<double>(usable));
  };
  const auto expected = static_cast<int64_t>(std::ceil(peak_ - current_));
  const int64_t workers =
      std::max({expected, largest_step_, share_of(settings_.least_share)});
  return std::min(workers, share_of(settings_.max_share));
}

}  // namespace thornplank
