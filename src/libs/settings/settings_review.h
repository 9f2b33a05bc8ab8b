// The interface by which other parts add checks to a change of the settings.
#ifndef THORNPLANK_SETTINGS_SETTINGS_REVIEW_H_
#define THORNPLANK_SETTINGS_SETTINGS_REVIEW_H_

#include <string>
#include <vector>

namespace thornplank {

class SettingsTree;

// Checks that need more than the tree itself, such as whether all guarantees
// fit onto the workers together. Runs before a change is appended and never
// in the fold, whose verdicts must be the same on every entry.
class SettingsReview {
 public:
  virtual ~SettingsReview() = default;

  // Readable reasons against `proposed`, the tree with the change applied to
  // `current`; empty accepts it. Must not block; called without locks held,
  // from any thread.
  virtual std::vector<std::string> Review(
      const SettingsTree& current, const SettingsTree& proposed) const = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_REVIEW_H_
