// Silence of the leader, as far as it was observed.
#include "coordination/leader_election.h"

#include <cmath>
#include <utility>

namespace thornplank {
namespace {

constexpr char kLifeSeparator = '/';

}  // namespace

LeaderElection::LeaderElection(LeaderElectionSettings settings,
                               std::string holder, double rank)
    : settings_(settings),
      holder_(std::move(holder)),
      delay_(static_cast<int64_t>(
          std::lround(rank * static_cast<double>(settings.spread.count())))) {}

void LeaderElection::OnContact(Duration latency, Time now) {
  latency_ = latency;
  if (!has_contact_ || now - contact_ > settings_.contact_gap) {
    quiet_since_ = now;
  }
  has_contact_ = true;
  contact_ = now;
}

void LeaderElection::OnLeaderRecord(const LeaderRecord&, Time now) {
  quiet_since_ = now;
}

bool LeaderElection::IsFormerSelf(const LeaderRecord& leader) const {
  if (leader.released || leader.holder == holder_) return false;
  const size_t name_end = holder_.find(kLifeSeparator);
  if (name_end == std::string::npos) return false;
  return leader.holder.compare(0, name_end + 1, holder_, 0, name_end + 1) == 0;
}

bool LeaderElection::ShouldClaim(const LeaderRecord& leader, Time now) const {
  if (!has_contact_ || now - contact_ > settings_.contact_gap) return false;
  if (IsFormerSelf(leader)) return true;
  const bool vacant = leader.holder.empty() || leader.released;
  const Duration silence =
      vacant ? Duration::zero()
             : settings_.silence + latency_ * settings_.silence_per_latency;
  return now - quiet_since_ >= silence + delay_;
}

}  // namespace thornplank
