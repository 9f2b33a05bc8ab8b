// Token arithmetic of the retry budget.
#include "routing/retry_budget.h"

#include <algorithm>

namespace thornplank {
namespace {

// Enough to retry an isolated failure of an account with few requests.
constexpr double kInitialTokens = 3.0;
constexpr double kCapacity = 20.0;

}  // namespace

RetryBudget::RetryBudget(double percent)
    : percent_(percent), tokens_(percent > 0 ? kInitialTokens : 0.0) {}

void RetryBudget::RecordFreshRequest() {
  tokens_ = std::min(kCapacity, tokens_ + percent_ / 100.0);
}

void RetryBudget::ConsumeToken() { tokens_ = std::max(0.0, tokens_ - 1.0); }

}  // namespace thornplank
