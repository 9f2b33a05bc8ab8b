#include "scheduling/job_types.h"

#include <array>
#include <utility>

namespace thornplank {
namespace {

constexpr std::array<std::pair<JobPhase, std::string_view>, 8> kPhaseNames = {{
    {JobPhase::kWaiting, "waiting"},
    {JobPhase::kStarting, "starting"},
    {JobPhase::kRunning, "running"},
    {JobPhase::kCheckpointing, "checkpointing"},
    {JobPhase::kStopping, "stopping"},
    {JobPhase::kFinished, "finished"},
    {JobPhase::kCancelled, "cancelled"},
    {JobPhase::kFailed, "failed"},
}};

}  // namespace

std::string Shape::ToString() const {
  std::string text =
      std::to_string(members) + "x" + std::to_string(accelerators_per_member);
  if (adjacency == Adjacency::kRack) text += " in one rack";
  return text;
}

std::string_view JobPhaseName(JobPhase phase) {
  for (const auto& [value, name] : kPhaseNames) {
    if (value == phase) return name;
  }
  return "unknown";
}

std::optional<JobPhase> JobPhaseFromName(std::string_view name) {
  for (const auto& [value, known] : kPhaseNames) {
    if (known == name) return value;
  }
  return std::nullopt;
}

bool IsFinal(JobPhase phase) {
  return phase == JobPhase::kFinished || phase == JobPhase::kCancelled ||
         phase == JobPhase::kFailed;
}

}  // namespace thornplank
