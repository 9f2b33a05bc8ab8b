// Compares what is wanted with what is stored.
#include "coordination/renewal_stops.h"

#include <utility>

namespace thornplank {

std::optional<std::vector<RenewalStop>> RenewalStops::TakeDue(
    std::vector<RenewalStop> wanted) {
  if (write_pending_) return std::nullopt;
  if (wanted.size() > kMaxRenewalStops) wanted.resize(kMaxRenewalStops);
  std::set<std::string> workers;
  for (const RenewalStop& stop : wanted) {
    workers.insert(stop.worker);
  }
  if (workers == stored_) return std::nullopt;
  written_ = std::move(workers);
  write_pending_ = true;
  return wanted;
}

void RenewalStops::OnStored() {
  if (!std::exchange(write_pending_, false)) return;
  stored_ = std::exchange(written_, {});
}

std::set<std::string> RenewalStops::workers() const {
  std::set<std::string> all = stored_;
  all.insert(written_.begin(), written_.end());
  return all;
}

}  // namespace thornplank
