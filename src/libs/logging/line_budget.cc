// Counts by event in windows of a second.
#include "logging/line_budget.h"

namespace thornplank {
namespace {

constexpr std::chrono::seconds kWindow{1};

}  // namespace

bool LineBudget::IsOver(const Use& use, Time now) const {
  return now - use.since >= kWindow;
}

void LineBudget::Renew(Use* use, Time now) const {
  if (!IsOver(*use, now)) return;
  use->since = now;
  use->lines = 0;
  use->bytes = 0;
}

bool LineBudget::Admits(int event, Time now) {
  Use& use = uses_[event];
  Renew(&use, now);
  if (use.lines < settings_.lines && use.bytes < settings_.bytes) return true;
  if (use.left_out == 0) ++untold_;
  ++use.left_out;
  ++left_out_total_;
  return false;
}

void LineBudget::Charge(int event, size_t bytes) {
  Use& use = uses_[event];
  ++use.lines;
  use.bytes += bytes;
}

std::vector<LinesLeftOut> LineBudget::TakeLeftOut(Time now) {
  std::vector<LinesLeftOut> told;
  if (untold_ == 0) return told;
  for (auto& [event, use] : uses_) {
    if (use.left_out == 0 || !IsOver(use, now)) continue;
    told.push_back({event, use.left_out});
    use.left_out = 0;
    --untold_;
  }
  return told;
}

std::vector<LinesLeftOut> LineBudget::TakeAllLeftOut() {
  return TakeLeftOut(Time::max());
}

}  // namespace thornplank
