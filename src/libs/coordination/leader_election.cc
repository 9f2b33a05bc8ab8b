// Observation of how long the leader has been silent.
#include "coordination/leader_election.h"

#include <algorithm>
#include <utility>

namespace thornplank {
namespace {

constexpr char kIncarnationSeparator = '/';

}  // namespace

LeaderElection::LeaderElection(LeaderElectionSettings settings,
                               std::string holder)
    : settings_(settings), holder_(std::move(holder)) {}

Duration LeaderElection::SuccessionDelay() const {
  const Duration step = settings_.succession_delay +
                        store_latency_ * settings_.succession_per_latency;
  return step * place_;
}

void LeaderElection::OnBoardCaughtUp(Duration latency, Time now) {
  const Duration elapsed = has_read_ ? now - last_read_ : Duration::zero();
  store_latency_ =
      std::max(latency, store_latency_ - elapsed / settings_.latency_memory);
  if (!has_read_ || now - last_read_ > settings_.max_read_gap) {
    silent_since_ = now;
  }
  has_read_ = true;
  last_read_ = now;
}

void LeaderElection::OnLeaderRecord(const LeaderRecord&, Time now) {
  silent_since_ = now;
}

bool LeaderElection::IsPreviousIncarnation(const LeaderRecord& leader) const {
  if (leader.released || leader.holder == holder_) return false;
  const size_t name_end = holder_.find(kIncarnationSeparator);
  if (name_end == std::string::npos) return false;
  return leader.holder.compare(0, name_end + 1, holder_, 0, name_end + 1) == 0;
}

bool LeaderElection::ShouldClaim(const LeaderRecord& leader, Time now) const {
  if (!has_read_ || now - last_read_ > settings_.max_read_gap) return false;
  if (IsPreviousIncarnation(leader)) return true;
  const bool vacant = leader.holder.empty() || leader.released;
  const Duration silence =
      vacant ? Duration::zero()
             : settings_.max_silence +
                   store_latency_ * settings_.silence_per_latency;
  return now - silent_since_ >= silence + SuccessionDelay();
}

}  // namespace thornplank
