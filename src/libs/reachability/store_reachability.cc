// What proves that the store serves others.
#include "reachability/store_reachability.h"

namespace thornplank {
namespace {

// Others are asked four times a second; a proof that was not renewed since is
// out of date.
constexpr Milliseconds kProofLasts{1000};
// Of three entries in failure domains of their own hardly all are away at once.
constexpr size_t kTellingSilence = 3;

}  // namespace

void StoreReachability::OnReadFailed(Time now) {
  if (!lost_) lost_ = now;
}

void StoreReachability::OnReadSucceeded() { *this = StoreReachability(); }

void StoreReachability::OnAnswer(Duration age, Time sent, Time now) {
  if (!lost_) return;
  heard_ = true;
  // A read that began before the loss shows nothing: the other entry may not
  // have noticed yet that the store is away.
  if (sent - age >= *lost_) proved_ = now;
}

void StoreReachability::OnSilence(const std::string& peer) {
  if (lost_) silent_.insert(peer);
}

StoreStatus StoreReachability::belief(Time now) const {
  if (!lost_) return StoreStatus::kReached;
  if (proved_ && now - *proved_ < kProofLasts) {
    return StoreStatus::kServesOthers;
  }
  if (!heard_ && silent_.size() >= kTellingSilence) return StoreStatus::kCutOff;
  return StoreStatus::kUnknown;
}

bool StoreReachability::ReachableElsewhere(Time now) const {
  const StoreStatus current = belief(now);
  return current == StoreStatus::kServesOthers ||
         current == StoreStatus::kCutOff;
}

std::string_view ToText(StoreStatus belief) {
  switch (belief) {
    case StoreStatus::kReached:
      return "reached";
    case StoreStatus::kUnknown:
      return "unknown";
    case StoreStatus::kServesOthers:
      return "serves others";
    case StoreStatus::kCutOff:
      return "cut off";
  }
  return "unknown";
}

}  // namespace thornplank
