// Workers on which WorkerFleet renews no leases, since they cannot be asked.
#include <algorithm>
#include <utility>

#include "coordination/worker_fleet.h"
#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Bounds a log line.
constexpr size_t kMaxLoggedStops = 32;

Json ToRows(const std::vector<RenewalStop>& stops) {
  Json rows = Json::array();
  for (const RenewalStop& stop : stops) {
    if (rows.size() == kMaxLoggedStops) break;
    rows.push_back(Json::array({stop.worker, stop.lease_left.count()}));
  }
  return rows;
}

}  // namespace

bool WorkerFleet::WaitsForLeases(const WorkerTracker& worker, Time now) const {
  if (worker.runs().empty() || worker.can_be_asked()) return false;
  if (worker.LeasesExpired(now)) return false;
  // Before the directory is known, a worker may only seem to be missing.
  if (worker.registration().address.empty()) {
    return survey_released_at_.has_value();
  }
  return worker.silence(now) >= settings_.renewal_stop_silence;
}

std::optional<std::vector<RenewalStop>> WorkerFleet::TakeRenewalStops(
    Time now) {
  std::vector<RenewalStop> wanted;
  for (auto it = unheard_.begin(); it != unheard_.end();) {
    const auto id = it++;
    const WorkerTracker* worker = Find(*id);
    if (worker == nullptr || worker->can_be_asked()) {
      unheard_.erase(id);
      continue;
    }
    if (!WaitsForLeases(*worker, now)) continue;
    wanted.push_back({*id, worker->lease_left(now)});
  }
  // The longest waits first.
  std::stable_sort(wanted.begin(), wanted.end(),
                   [](const RenewalStop& a, const RenewalStop& b) {
                     return a.lease_left > b.lease_left;
                   });
  auto due = renewal_stops_.TakeDue(std::move(wanted));
  if (!due) return std::nullopt;
  MarkRenewalStops();
  LogEvent(events::kRenewalsStopped,
           {{"count", due->size()}, {"workers", ToRows(*due)}});
  return due;
}

void WorkerFleet::OnRenewalStopsStored() {
  const std::set<std::string> before = renewal_stops_.workers();
  renewal_stops_.OnStored();
  MarkRenewalStops();
  const Time now = std::chrono::steady_clock::now();
  for (const std::string& id : before) {
    if (renewal_stops_.Contains(id)) continue;
    WorkerTracker* worker = Find(id);
    if (worker == nullptr) continue;
    worker->set_renewals_stopped(false);
    RenewNow(id, now);
  }
}

// The pending report was sent without a renewal, and may wait for an end for
// longer than the leases last.
void WorkerFleet::RenewNow(const std::string& id, Time now) {
  const WorkerCallState& state = call_states_[id];
  if (!state.report_pending) return RequestReportIfDue(id, now);
  if (state.extra_report_pending) return;
  RequestReport(id, Milliseconds(0), ReportKind::kRenewal);
}

void WorkerFleet::MarkRenewalStops() {
  for (const std::string& id : renewal_stops_.workers()) {
    if (WorkerTracker* worker = Find(id)) worker->set_renewals_stopped(true);
  }
}

}  // namespace thornplank
