// What proves that the store serves others.
#include "outlook/store_outlook.h"

namespace thornplank {
namespace {

// Others are asked four times a second; a proof that was not renewed since is
// out of date.
constexpr Milliseconds kProofLasts{1000};
// Of three entries in failure domains of their own hardly all are away at once.
constexpr size_t kTellingSilence = 3;

}  // namespace

void StoreOutlook::OnReadFailed(Time now) {
  if (!lost_) lost_ = now;
}

void StoreOutlook::OnReadSucceeded() { *this = StoreOutlook(); }

void StoreOutlook::OnAnswer(Duration age, Time sent, Time now) {
  if (!lost_) return;
  heard_ = true;
  // A read that began before the loss shows nothing: the other entry may not
  // have noticed yet that the store is away.
  if (sent - age >= *lost_) proved_ = now;
}

void StoreOutlook::OnSilence(const std::string& peer) {
  if (lost_) silent_.insert(peer);
}

StoreBelief StoreOutlook::belief(Time now) const {
  if (!lost_) return StoreBelief::kReached;
  if (proved_ && now - *proved_ < kProofLasts) {
    return StoreBelief::kServesOthers;
  }
  if (!heard_ && silent_.size() >= kTellingSilence) return StoreBelief::kCutOff;
  return StoreBelief::kUnknown;
}

bool StoreOutlook::ReachableElsewhere(Time now) const {
  const StoreBelief current = belief(now);
  return current == StoreBelief::kServesOthers ||
         current == StoreBelief::kCutOff;
}

std::string_view ToText(StoreBelief belief) {
  switch (belief) {
    case StoreBelief::kReached:
      return "reached";
    case StoreBelief::kUnknown:
      return "unknown";
    case StoreBelief::kServesOthers:
      return "serves others";
    case StoreBelief::kCutOff:
      return "cut off";
  }
  return "unknown";
}

}  // namespace thornplank
