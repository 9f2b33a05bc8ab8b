// Computes the limits on the use of one executor.
#include "routing/executor.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

using std::chrono::milliseconds;

// Retries allowed at one executor, as a percentage of its fresh requests.
constexpr double kUpstreamRetryPercent = 20.0;
constexpr double kDecreaseFactor = 0.75;
constexpr Duration kInitialBackoff = milliseconds(5);

}  // namespace

Executor::Executor(ExecutorInfo executor_info)
    : info(std::move(executor_info)), retry_budget(kUpstreamRetryPercent) {}

void Executor::UpdateLimits() {
  available_slots_ = health.in_rotation() && !leaving() ? allocated_slots_ : 0;
  usable_slots_ = std::min(health.SlotLimit(available_slots_),
                           static_cast<int>(adaptive_limit_));
}

void Executor::SetAllocated(int slots) {
  const bool reduced = adaptive_limit_ < allocated_slots_;
  allocated_slots_ = slots;
  adaptive_limit_ = reduced ? std::min<double>(adaptive_limit_, slots) : slots;
}

void Executor::RecordFull(Duration max_backoff, uint64_t random, Time now) {
  // Attempts in flight have been accepted, so the limit is not reduced below
  // their number.
  const double accepted = std::max(1, in_flight());
  adaptive_limit_ = std::min<double>(
      allocated_slots_, std::max(accepted, adaptive_limit_ * kDecreaseFactor));
  backoff_ = std::clamp(2 * backoff_, kInitialBackoff,
                        std::max(kInitialBackoff, max_backoff));
  // The actual pause is between half and all of the backoff, so that entries do
  // not return at the same time.
  const auto half = static_cast<uint64_t>(backoff_.count() / 2);
  backoff_until_ =
      now + Duration(static_cast<Duration::rep>(half + random % (half + 1)));
}

void Executor::RecordAnswer() {
  backoff_ = Duration::zero();
  adaptive_limit_ = std::min<double>(
      allocated_slots_, adaptive_limit_ + 1.0 / std::max(1.0, adaptive_limit_));
}

}  // namespace thornplank
