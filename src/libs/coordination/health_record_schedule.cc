// Compares the verdicts with those that are stored.
#include "coordination/health_record_schedule.h"

#include <utility>

namespace thornplank {
namespace {

constexpr std::chrono::seconds kMinInterval{1};

}  // namespace

void HealthRecordSchedule::Begin(std::vector<HealthEntry> stored) {
  stored_ = WorstFirst(std::move(stored));
  written_ = stored_;
  last_written_ = Time{};
}

std::optional<std::string> HealthRecordSchedule::TakeDue(
    std::vector<HealthEntry> entries, Time now, WallTime wall_now) {
  entries = WorstFirst(std::move(entries));
  if (entries == stored_ || now - last_written_ < kMinInterval) {
    return std::nullopt;
  }
  last_written_ = now;
  written_ = std::move(entries);
  return EncodeHealth(written_, now, wall_now);
}

void HealthRecordSchedule::OnStored() { stored_ = written_; }

}  // namespace thornplank
