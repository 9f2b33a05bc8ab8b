// Timing of claims to the coordinator epoch.
#include "state/coordinator_election.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace thornplank {

CoordinatorElection::CoordinatorElection(std::string name,
                                         std::string incarnation,
                                         ElectionSettings settings)
    : name_(std::move(name)),
      incarnation_(std::move(incarnation)),
      settings_(settings) {}

void CoordinatorElection::SetEpoch(const CoordinatorEpoch& epoch, Time now) {
  if (epoch.number != epoch_.number) {
    epoch_began_at_ = now;
    claimed_at_.reset();
    vacant_since_.reset();
  }
  epoch_ = epoch;
  UpdateVacancy(now);
}

void CoordinatorElection::SetLiveEntries(const std::set<std::string>& names,
                                         Time now) {
  live_ = names;
  UpdateVacancy(now);
}

std::optional<int64_t> CoordinatorElection::ClaimIfDue(Time now) {
  UpdateVacancy(now);
  const std::optional<Time> due = NextWake();
  if (!due || now < *due) return std::nullopt;
  claimed_at_ = now;
  return epoch_.number + 1;
}

std::optional<Time> CoordinatorElection::NextWake() const {
  if (!vacant_since_) return std::nullopt;
  Time due =
      *vacant_since_ + settings_.vacancy_delay + Rank() * settings_.rank_delay;
  if (claimed_at_) due = std::max(due, *claimed_at_ + settings_.claim_interval);
  if (epoch_began_at_ && !epoch_.resigned) {
    due = std::max(due, *epoch_began_at_ + settings_.min_tenure);
  }
  return due;
}

bool CoordinatorElection::IsVacant() const {
  if (epoch_.number == 0 || epoch_.resigned) return true;
  if (epoch_.holder == name_) return epoch_.incarnation != incarnation_;
  return live_.count(epoch_.holder) == 0;
}

void CoordinatorElection::UpdateVacancy(Time now) {
  if (!IsVacant()) {
    vacant_since_.reset();
    return;
  }
  if (!vacant_since_) vacant_since_ = now;
}

int CoordinatorElection::Rank() const {
  const auto weight = [this](const std::string& name) {
    return XXH3_64bits_withSeed(name.data(), name.size(),
                                static_cast<XXH64_hash_t>(epoch_.number + 1));
  };
  const uint64_t own = weight(name_);
  return static_cast<int>(
      std::count_if(live_.begin(), live_.end(), [&](const std::string& name) {
        return name != name_ && weight(name) > own;
      }));
}

}  // namespace thornplank
