// Evaluation of other entries' answers.
#include "reachability/store_reachability.h"

namespace thornplank {
namespace {

// Other entries are polled four times a second, so a proof that has not been
// renewed for this long is outdated.
constexpr Milliseconds kProofValidity{1000};
// If this many entries do not answer, this entry is cut off: three entries in
// different failure domains are unlikely to be down at the same time.
constexpr size_t kMinSilent = 3;

}  // namespace

void StoreReachability::OnReadFailed(Time now) {
  if (!first_failure_) first_failure_ = now;
}

void StoreReachability::OnReadSucceeded() { *this = StoreReachability(); }

void StoreReachability::OnAnswer(Duration age, Time sent, Time now) {
  if (!first_failure_) return;
  answered_ = true;
  // A read that began before the first failure here proves nothing: the store
  // may have failed since, and the other entry may not have noticed yet.
  if (sent - age >= *first_failure_) last_proof_ = now;
}

void StoreReachability::OnNoAnswer(const std::string& peer) {
  if (first_failure_) silent_.insert(peer);
}

StoreStatus StoreReachability::status(Time now) const {
  if (!first_failure_) return StoreStatus::kReachable;
  if (last_proof_ && now - *last_proof_ < kProofValidity) {
    return StoreStatus::kReachableByOthers;
  }
  if (!answered_ && silent_.size() >= kMinSilent) return StoreStatus::kIsolated;
  return StoreStatus::kUnknown;
}

bool StoreReachability::ReachableElsewhere(Time now) const {
  const StoreStatus current = status(now);
  return current == StoreStatus::kReachableByOthers ||
         current == StoreStatus::kIsolated;
}

std::string_view ToText(StoreStatus status) {
  switch (status) {
    case StoreStatus::kReachable:
      return "reached";
    case StoreStatus::kUnknown:
      return "unknown";
    case StoreStatus::kReachableByOthers:
      return "serves others";
    case StoreStatus::kIsolated:
      return "cut off";
  }
  return "unknown";
}

}  // namespace thornplank
