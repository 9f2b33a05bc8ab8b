// Compares the state of a feature with the last one.
#include "workload/feature_state.h"

#include <utility>

namespace thornplank {

std::optional<FeatureChange> FeatureState::Update(
    const FeatureCondition& condition) {
  const bool automatic = mode_ == FeatureMode::kAuto;
  const bool active = automatic ? condition.holds : mode_ == FeatureMode::kOn;
  if (active == active_) return std::nullopt;
  active_ = active;
  std::string reason = automatic ? condition.reason : "set in the settings";
  return FeatureChange{feature_, active, std::move(reason)};
}

}  // namespace thornplank
