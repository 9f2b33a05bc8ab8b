// Silence of the leader, as far as it was observed.
#include "coordination/leader_election.h"

#include <cmath>

namespace thornplank {

LeaderElection::LeaderElection(LeaderElectionSettings settings, double rank)
    : settings_(settings),
      delay_(static_cast<int64_t>(
          std::lround(rank * static_cast<double>(settings.spread.count())))) {}

void LeaderElection::OnContact(Time now) {
  if (!has_contact_ || now - contact_ > settings_.contact_gap) {
    quiet_since_ = now;
  }
  has_contact_ = true;
  contact_ = now;
}

void LeaderElection::OnLeaderRecord(const LeaderRecord&, Time now) {
  quiet_since_ = now;
}

bool LeaderElection::ShouldClaim(const LeaderRecord& leader, Time now) const {
  if (!has_contact_ || now - contact_ > settings_.contact_gap) return false;
  const bool vacant = leader.holder.empty() || leader.released;
  const Duration silence =
      vacant ? Duration::zero() : Duration(settings_.silence);
  return now - quiet_since_ >= silence + delay_;
}

}  // namespace thornplank
