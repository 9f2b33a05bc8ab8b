// Interface through which other parts check a change of the settings.
#ifndef THORNPLANK_SETTINGS_SETTINGS_REVIEW_H_
#define THORNPLANK_SETTINGS_SETTINGS_REVIEW_H_

#include <string>
#include <vector>

namespace thornplank {

class SettingsTree;

// A check that needs more than the tree itself, such as whether the workers can
// satisfy all guarantees together. It runs before a change is appended and
// never while the records are applied, because every entry must reach the same
// verdict on a record.
class SettingsReview {
 public:
  virtual ~SettingsReview() = default;

  // Returns readable reasons to refuse `proposed`, which is `current` with the
  // change applied; no reasons accept it. Must not block. Called from any
  // thread, without locks held.
  virtual std::vector<std::string> Review(
      const SettingsTree& current, const SettingsTree& proposed) const = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_REVIEW_H_
