// Keeps the last leader record of another holder.
#include "coordination/predecessor.h"

#include <algorithm>
#include <utility>

namespace thornplank {

Predecessor::Predecessor(std::string own_holder,
                         Milliseconds leadership_timeout)
    : own_holder_(std::move(own_holder)),
      leadership_timeout_(leadership_timeout) {}

void Predecessor::OnLeaderRecord(const LeaderRecord& leader, Time now) {
  if (leader.holder == own_holder_ || leader.epoch < epoch_) return;
  epoch_ = leader.epoch;
  heard_ = now;
}

Time Predecessor::LastRenewal(int64_t own_epoch, Time now) const {
  const bool is_known = epoch_ != 0 && epoch_ + 1 == own_epoch;
  if (!is_known) return now + leadership_timeout_;
  return std::max(heard_ + leadership_timeout_, now);
}

}  // namespace thornplank
