// Compares what is wanted with what is stored.
#include "coordination/departure_schedule.h"

#include <utility>

namespace thornplank {
namespace {

// Less than the notice of a worker, so that the record is there in time.
// Workers that leave together announce it within a few of these.
constexpr Milliseconds kMinWriteInterval{250};

}  // namespace

void DepartureSchedule::Begin(std::vector<DepartingWorker> stored) {
  stored_ = std::move(stored);
  pending_.reset();
  last_written_ = Time{};
}

std::optional<std::vector<DepartingWorker>> DepartureSchedule::TakeDue(
    std::vector<DepartingWorker> wanted, Time now) {
  if (pending_ || now - last_written_ < kMinWriteInterval) return std::nullopt;
  if (wanted.size() > kMaxDepartures) wanted.resize(kMaxDepartures);
  if (wanted == stored_) return std::nullopt;
  last_written_ = now;
  pending_ = std::move(wanted);
  return pending_;
}

void DepartureSchedule::OnStored() {
  if (!pending_) return;
  stored_ = *std::exchange(pending_, std::nullopt);
}

}  // namespace thornplank
