// Whether an optional decision of the scheduler is active, and the changes of
// that for the log.
#ifndef THORNPLANK_WORKLOAD_FEATURE_STATE_H_
#define THORNPLANK_WORKLOAD_FEATURE_STATE_H_

#include <optional>
#include <string>
#include <utility>

#include "base/feature_mode.h"

namespace thornplank {

// A feature became active or inactive.
struct FeatureChange {
  // The key of its switch in the settings.
  std::string feature;
  bool active = false;
  std::string reason;
};

// The condition under which a feature with the mode `auto` is active.
struct FeatureCondition {
  bool holds = false;
  // Why it holds, or why not.
  std::string reason;
};

class FeatureState {
 public:
  FeatureState(std::string feature, FeatureMode mode)
      : feature_(std::move(feature)), mode_(mode) {}

  // Evaluates the mode and the condition. Returns the change, if there is one;
  // a feature is inactive before the first call.
  std::optional<FeatureChange> Update(const FeatureCondition& condition);
  bool active() const { return active_; }

 private:
  std::string feature_;
  FeatureMode mode_;
  bool active_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_FEATURE_STATE_H_
