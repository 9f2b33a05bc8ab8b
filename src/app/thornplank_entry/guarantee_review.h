// Refuses settings whose guarantees don't fit onto the workers together.
#ifndef THORNPLANK_APP_THORNPLANK_ENTRY_GUARANTEE_REVIEW_H_
#define THORNPLANK_APP_THORNPLANK_ENTRY_GUARANTEE_REVIEW_H_

#include <functional>
#include <string>
#include <vector>

#include "scheduling/job_types.h"
#include "settings/settings_review.h"

namespace thornplank {

class GuaranteeReview : public SettingsReview {
 public:
  // `workers` returns the workers that are known. While there are none, no
  // change is refused.
  explicit GuaranteeReview(std::function<std::vector<WorkerInfo>()> workers);

  std::vector<std::string> Review(const SettingsTree& current,
                                  const SettingsTree& proposed) const override;

 private:
  const std::function<std::vector<WorkerInfo>()> workers_;
};

}  // namespace thornplank

#endif  // THORNPLANK_APP_THORNPLANK_ENTRY_GUARANTEE_REVIEW_H_
