// Limits on the use of one executor.
#include "routing/executor.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

using std::chrono::milliseconds;

constexpr double kUpstreamRetryPercent = 20.0;
constexpr double kDecrease = 0.75;
constexpr Duration kFirstPause = milliseconds(5);

}  // namespace

Executor::Executor(ExecutorInfo executor_info)
    : info(std::move(executor_info)), retry_budget(kUpstreamRetryPercent) {}

void Executor::Update() {
  available_ = health.in_rotation() && !leaving() ? allocated_ : 0;
  usable_ = std::min(health.Limit(available_), static_cast<int>(limit_));
}

void Executor::SetAllocated(int slots) {
  const bool cut = limit_ < allocated_;
  allocated_ = slots;
  limit_ = cut ? std::min<double>(limit_, slots) : slots;
}

void Executor::RecordFull(Duration longest_pause, uint64_t random, Time now) {
  // What is in flight there has been accepted and need not give way.
  const double accepted = std::max(1, in_flight());
  limit_ = std::min<double>(allocated_, std::max(accepted, limit_ * kDecrease));
  pause_ =
      std::clamp(2 * pause_, kFirstPause, std::max(kFirstPause, longest_pause));
  // Between half and the whole of the pause, so that entries do not return
  // together.
  const auto half = static_cast<uint64_t>(pause_.count() / 2);
  paused_until_ =
      now + Duration(static_cast<Duration::rep>(half + random % (half + 1)));
}

void Executor::RecordAnswer() {
  pause_ = Duration::zero();
  limit_ = std::min<double>(allocated_, limit_ + 1.0 / std::max(1.0, limit_));
}

}  // namespace thornplank
