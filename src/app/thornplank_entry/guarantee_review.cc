// Delegates to CheckGuaranteesFit of the scheduler.
#include "guarantee_review.h"

#include <optional>
#include <utility>

#include "scheduling/job_scheduler.h"
#include "settings_mapping.h"

namespace thornplank {

GuaranteeReview::GuaranteeReview(
    std::function<std::vector<WorkerInfo>()> workers)
    : workers_(std::move(workers)) {}

std::vector<std::string> GuaranteeReview::Review(
    const SettingsTree& /*current*/, const SettingsTree& proposed) const {
  const std::vector<WorkerInfo> workers = workers_();
  if (workers.empty()) return {};
  const std::optional<std::string> reason =
      CheckGuaranteesFit(workers, MapGuarantees(proposed));
  if (!reason.has_value()) return {};
  return {*reason};
}

}  // namespace thornplank
