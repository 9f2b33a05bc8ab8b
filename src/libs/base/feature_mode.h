// Whether an optional decision of the scheduler is used.
#ifndef THORNPLANK_BASE_FEATURE_MODE_H_
#define THORNPLANK_BASE_FEATURE_MODE_H_

namespace thornplank {

enum class FeatureMode {
  // Used where the configuration in force and what is observed call for it;
  // each feature states its condition.
  kAuto,
  kOn,
  kOff,
};

}  // namespace thornplank

#endif  // THORNPLANK_BASE_FEATURE_MODE_H_
