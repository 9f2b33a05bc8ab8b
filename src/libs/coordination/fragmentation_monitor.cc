// The intervals of measurements and log lines.
#include "coordination/fragmentation_monitor.h"

#include <cmath>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

// Measuring looks at each worker once for each of up to 32 shapes, which is too
// much for every planning round.
constexpr std::chrono::seconds kMeasureInterval{1};
constexpr std::chrono::seconds kLogInterval{10};

double RoundToThousandths(double value) {
  constexpr double kThousand = 1000;
  return std::round(value * kThousand) / kThousand;
}

}  // namespace

void FragmentationMonitor::OnJob(const JobDefinition& job, Time now) {
  for (const StepSpec& step : job.steps) {
    fragmentation_.OnAsked(job.policy.service, ShapeOf(step), now);
  }
}

bool FragmentationMonitor::IsDue(Time now) const {
  return now - measured_at_ >= kMeasureInterval;
}

void FragmentationMonitor::Measure(
    const std::map<std::string, WorkerTracker>& workers,
    const std::set<std::string>& waiting_services, Time now) {
  measured_at_ = now;
  services_ = fragmentation_.Evaluate(workers, now);
  for (const ServiceFragmentation& measured : services_) {
    if (waiting_services.count(measured.service) == 0) continue;
    const auto [logged_at, is_first] =
        logged_at_.try_emplace(measured.service, now);
    if (!is_first && now - logged_at->second < kLogInterval) continue;
    logged_at->second = now;
    LogEvent(events::kFragmentation,
             {{"service", measured.service},
              {"idle_accelerators", measured.idle_accelerators},
              {"unusable_share", RoundToThousandths(measured.unusable_share)},
              {"shapes", measured.shapes}});
  }
}

}  // namespace thornplank
