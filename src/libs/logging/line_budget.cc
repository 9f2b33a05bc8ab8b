// Counts lines and bytes by event in windows of one second.
#include "logging/line_budget.h"

namespace thornplank {
namespace {

constexpr std::chrono::seconds kWindow{1};

}  // namespace

bool LineBudget::IsWindowOver(const Usage& usage, Time now) const {
  return now - usage.window_start >= kWindow;
}

void LineBudget::StartWindowIfDue(Usage* usage, Time now) const {
  if (!IsWindowOver(*usage, now)) return;
  usage->window_start = now;
  usage->lines = 0;
  usage->bytes = 0;
}

bool LineBudget::Admits(int event, Time now) {
  Usage& usage = usages_[event];
  StartWindowIfDue(&usage, now);
  if (usage.lines < settings_.lines && usage.bytes < settings_.bytes) {
    return true;
  }
  if (usage.suppressed == 0) ++unreported_events_;
  ++usage.suppressed;
  ++suppressed_total_;
  return false;
}

void LineBudget::Charge(int event, size_t bytes) {
  Usage& usage = usages_[event];
  ++usage.lines;
  usage.bytes += bytes;
}

std::vector<SuppressedLines> LineBudget::TakeSuppressed(Time now) {
  std::vector<SuppressedLines> report;
  if (unreported_events_ == 0) return report;
  for (auto& [event, usage] : usages_) {
    if (usage.suppressed == 0 || !IsWindowOver(usage, now)) continue;
    report.push_back({event, usage.suppressed});
    usage.suppressed = 0;
    --unreported_events_;
  }
  return report;
}

std::vector<SuppressedLines> LineBudget::TakeAllSuppressed() {
  return TakeSuppressed(Time::max());
}

}  // namespace thornplank
