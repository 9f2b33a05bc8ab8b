// Victims by the work that is lost with them.
#include "workload/room_reclaim.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace thornplank {

std::vector<Eviction> RoomReclaim::Choose(bool near_only, bool one_rack,
                                          bool may_spread) const {
  std::vector<Eviction> all;
  std::map<std::string, std::vector<Eviction>> racks;
  const auto& rooms = inputs_.rooms->rooms();
  for (size_t i = 0; i < rooms.size(); ++i) {
    if (!inputs_.rooms->IsEligible(step_, rooms[i])) continue;
    const std::string& rack = rooms[i].worker().rack;
    if (near_only && rack != step_.spec->data_rack) continue;
    for (Eviction& eviction : OnWorker(i)) {
      racks[rack].push_back(eviction);
      all.push_back(std::move(eviction));
    }
  }
  const auto needed = static_cast<int64_t>(step_.waiting.size());
  std::vector<Eviction> best;
  double best_cost = std::numeric_limits<double>::max();
  if (one_rack) {
    for (auto& [rack, evictions] : racks) {
      double cost = 0;
      std::vector<Eviction> chosen =
          CheapestEvictions(evictions, needed, &cost);
      if (chosen.empty() || cost >= best_cost) continue;
      best = std::move(chosen);
      best_cost = cost;
    }
    if (best.empty() && !may_spread) return {};
  }
  if (best.empty()) best = CheapestEvictions(all, needed, &best_cost);
  return best;
}

std::vector<Eviction> RoomReclaim::OnWorker(size_t worker) const {
  const WorkerRoom& room = inputs_.rooms->room(worker);
  const Resources need = ReservedFor(*step_.spec);
  const auto members = static_cast<int64_t>(step_.waiting.size());
  const int64_t bound = inputs_.rooms->BoundLeft(step_, *room.tracker);
  std::vector<std::pair<double, const TrackedRun*>> victims;
  for (const auto& [task, run] : room.tracker->runs()) {
    if (run.stop_wanted || inputs_.stopped->count(task) > 0) continue;
    if (!MayGiveWay(run)) continue;
    victims.emplace_back(Loss(run), &run);
  }
  std::sort(victims.begin(), victims.end());
  Resources available = room.room + room.coming;
  std::vector<Eviction> evictions;
  Eviction next;
  next.worker = worker;
  int64_t held = std::min(bound, need.TimesIn(available, members));
  if (held > 0) {
    evictions.push_back({worker, held, 0, {}});
  }
  for (const auto& [cost, run] : victims) {
    available += run->profile.need;
    next.cost += cost;
    next.victims.push_back(run);
    const int64_t tasks = std::min(bound, need.TimesIn(available, members));
    if (tasks <= held) continue;
    next.gain = tasks - held;
    held = tasks;
    evictions.push_back(std::move(next));
    next = Eviction();
    next.worker = worker;
  }
  return evictions;
}

bool RoomReclaim::MayGiveWay(const TrackedRun& run) const {
  if (run.profile.long_running) return false;
  if (run.profile.priority > 0) return true;
  const std::string& account = step_.job->spec.account;
  if (run.profile.account == account) return false;
  const int64_t wanted = step_.spec->need.accelerators *
                         static_cast<int64_t>(step_.waiting.size());
  return IsWithinGuarantee(account, wanted) &&
         !IsWithinGuarantee(run.profile.account, 0);
}

bool RoomReclaim::IsWithinGuarantee(const std::string& account,
                                    int64_t more) const {
  const auto guarantee = inputs_.guarantees->find(account);
  if (guarantee == inputs_.guarantees->end()) return false;
  return inputs_.rooms->UrgentUse(account) + more <= guarantee->second;
}

double RoomReclaim::Loss(const TrackedRun& run) const {
  const double seconds = std::chrono::duration<double>(
                             run.unsaved(inputs_.now) + inputs_.restart_cost)
                             .count();
  double members = 1;
  if (run.profile.gang) {
    const StepSpec* spec = inputs_.ledger->FindStepSpec(run.task.step);
    if (spec != nullptr) members = spec->count;
  }
  return seconds * members * static_cast<double>(Weight(run.profile.need));
}

}  // namespace thornplank
