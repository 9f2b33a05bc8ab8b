// Groups of starts, each with the workers that it waits for.
#include "coordination/start_gate.h"

#include <map>
#include <utility>

namespace thornplank {

std::vector<StartGate::Group> StartGate::GroupsOf(
    std::vector<PendingStart> starts) {
  std::vector<Group> groups;
  // Position in `groups` of each gang.
  std::map<StepRef, size_t> gangs;
  for (PendingStart& start : starts) {
    const bool begins_group =
        !start.gang || gangs.emplace(start.task.step, groups.size()).second;
    if (begins_group) groups.emplace_back();
    Group& group =
        start.gang ? groups[gangs.at(start.task.step)] : groups.back();
    group.push_back(std::move(start));
  }
  return groups;
}

void StartGate::Hold(Group group, std::set<std::string> unanswered,
                     Time deadline) {
  held_.push_back({std::move(group), std::move(unanswered), deadline});
}

std::vector<StartGate::Group> StartGate::OnAnswer(const std::string& worker) {
  std::vector<Group> ready;
  for (auto it = held_.begin(); it != held_.end();) {
    const auto group = it++;
    group->unanswered.erase(worker);
    if (!group->unanswered.empty()) continue;
    ready.push_back(std::move(group->starts));
    held_.erase(group);
  }
  return ready;
}

std::vector<StartGate::Refusal> StartGate::OnFailure(
    const std::string& worker) {
  std::vector<Refusal> refusals;
  for (auto it = held_.begin(); it != held_.end();) {
    const auto group = it++;
    if (group->unanswered.count(worker) == 0) continue;
    refusals.push_back({std::move(group->starts), {worker}});
    held_.erase(group);
  }
  return refusals;
}

std::vector<StartGate::Refusal> StartGate::TakeExpired(Time now) {
  std::vector<Refusal> refusals;
  for (auto it = held_.begin(); it != held_.end();) {
    const auto group = it++;
    if (now < group->deadline) continue;
    refusals.push_back(
        {std::move(group->starts), std::move(group->unanswered)});
    held_.erase(group);
  }
  return refusals;
}

}  // namespace thornplank
