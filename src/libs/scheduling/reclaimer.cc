#include "scheduling/reclaimer.h"

#include <algorithm>

namespace thornplank {
namespace {

// Added to the work lost by stopping an urgent borrower, so that one is stopped
// only if no other borrower would do. In accelerator seconds.
constexpr double kUrgentVictimCost = 1e6;
// The cells of an event are pinned this long before the first borrower may have
// to be stopped for it.
constexpr Duration kEventPreparationTime = std::chrono::seconds(1);

// The cost of a place for an event's cells is the work that the borrowers there
// would lose.
class DisplacementPlacementCost : public NoPlacementCost {
 public:
  DisplacementPlacementCost(const ClusterModel& cluster,
                            std::vector<double> cost)
      : cluster_(cluster), cost_(std::move(cost)) {}
  double WorkerCost(WorkerIndex worker) const override {
    return cluster_.free(worker) > 0 ? 0 : cost_[worker];
  }

 private:
  const ClusterModel& cluster_;
  const std::vector<double> cost_;
};

}  // namespace

Reclaimer::Reclaimer(SchedulerState& state, GangStopper& stopper)
    : state_(state), stopper_(stopper) {}

void Reclaimer::Run(Time now) {
  const bool events = !state_.calendar.events().empty();
  if (state_.planned.empty() && !events) return;
  ReclaimForPlans(PlanFilter::kGuaranteed, ClusterSnapshot(state_, now), now);
  ReclaimForPlans(PlanFilter::kAll, ClusterSnapshot(state_, now), now);
  for (const EventReservation& event : state_.calendar.events()) {
    ReclaimForEvent(event, ClusterSnapshot(state_, now), now);
  }
}

std::map<WorkerIndex, int> Reclaimer::ClaimedAccelerators(
    PlanFilter claims) const {
  std::map<WorkerIndex, int> claimed;
  for (const auto& [id, job] : state_.planned) {
    if (claims == PlanFilter::kGuaranteed && !job->allocation) continue;
    for (const WorkerIndex worker : job->plan->workers) {
      claimed[worker] += job->spec.shape.accelerators_per_member;
    }
  }
  return claimed;
}

std::map<WorkerIndex, int> Reclaimer::AcceleratorsToReclaim(
    const std::map<WorkerIndex, int>& claimed,
    const ClusterSnapshot& snapshot) const {
  std::map<WorkerIndex, int> missing = claimed;
  for (auto& [worker, accelerators] : missing) {
    accelerators -= state_.cluster.unheld(worker);
  }
  for (const GangView& view : snapshot.gangs) {
    if (!view.stopping) continue;
    for (const MemberRecord& record : view.gang->members()) {
      const auto found = missing.find(record.worker);
      if (found == missing.end()) continue;
      if (record.state == MemberState::kGone) continue;
      found->second -= record.member.accelerators;
    }
  }
  return missing;
}

std::vector<VictimCandidate> Reclaimer::Candidates(
    const ClusterSnapshot& snapshot, bool urgent_too, Time now) const {
  std::vector<VictimCandidate> candidates;
  for (const GangView& view : snapshot.gangs) {
    if (!view.borrower || view.stopping) continue;
    if (view.urgent && !urgent_too) continue;
    VictimCandidate candidate;
    candidate.gang_id = view.gang->id();
    candidate.work_lost = state_.WorkLost(*view.gang, now);
    if (view.urgent) candidate.work_lost += kUrgentVictimCost;
    for (const MemberRecord& record : view.gang->members()) {
      if (record.state == MemberState::kGone) continue;
      candidate.holds[record.worker] += record.member.accelerators;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void Reclaimer::ReclaimForPlans(PlanFilter claims,
                                const ClusterSnapshot& snapshot, Time now) {
  const std::map<WorkerIndex, int> claimed = ClaimedAccelerators(claims);
  if (claimed.empty()) return;
  const std::map<WorkerIndex, int> missing =
      AcceleratorsToReclaim(claimed, snapshot);
  const bool any = std::any_of(missing.begin(), missing.end(),
                               [](const auto& one) { return one.second > 0; });
  if (!any) return;
  const bool guaranteed = claims == PlanFilter::kGuaranteed;
  const std::string reason = guaranteed
                                 ? "reclaimed for a guarantee"
                                 : "reclaimed for urgent or long waiting work";
  for (const std::string& id :
       SelectVictims(missing, Candidates(snapshot, guaranteed, now))) {
    stopper_.CheckpointAndStop(*state_.gangs.Find(id), reason, now);
  }
}

void Reclaimer::ReclaimForEvent(const EventReservation& event,
                                const ClusterSnapshot& snapshot, Time now) {
  if (now < EventCalendar::ReclaimTime(event, state_.LongestLeadTime())) return;
  const AcceleratorsByWorker needs =
      state_.guarantee_placement.UnusedReservedFor(event.name);
  std::map<WorkerIndex, int> claimed =
      ClaimedAccelerators(PlanFilter::kGuaranteed);
  for (auto one = claimed.begin(); one != claimed.end();) {
    one = needs[one->first] > 0 ? std::next(one) : claimed.erase(one);
  }
  for (WorkerIndex i = 0; i < state_.cluster.size(); ++i) {
    if (needs[i] > 0 && state_.cluster.capacity(i) > 0) claimed[i] += needs[i];
  }
  const std::map<WorkerIndex, int> missing =
      AcceleratorsToReclaim(claimed, snapshot);
  for (const std::string& id :
       SelectVictims(missing, Candidates(snapshot, true, now))) {
    Gang& gang = *state_.gangs.Find(id);
    // Gangs that are checkpointed faster run on until their own reclaim time.
    if (now <
        EventCalendar::ReclaimTime(event, state_.LeadTime(gang.account()))) {
      continue;
    }
    stopper_.CheckpointAndStop(gang, "cleared for event " + event.name, now);
  }
}

void Reclaimer::PrepareEvents(const ClusterSnapshot& snapshot, Time now) {
  for (const EventReservation& event : state_.calendar.events()) {
    const Duration ahead = state_.LongestLeadTime() + kEventPreparationTime;
    if (now < EventCalendar::ReclaimTime(event, ahead)) continue;
    for (const GuaranteedShape& shape : event.shapes) {
      state_.guarantee_placement.Lend(event.account, event.name, shape);
    }
    state_.guarantee_placement.PlaceAndPin(
        event.name,
        DisplacementPlacementCost(state_.cluster,
                                  snapshot.DisplacementCost(state_, now)));
  }
}

std::optional<Time> Reclaimer::NextDue(Time now) const {
  std::optional<Time> next;
  const auto consider = [&](Time due) {
    if (due <= now) return;
    if (!next || due < *next) next = due;
  };
  for (const EventReservation& event : state_.calendar.events()) {
    consider(event.start);
    consider(EventCalendar::ReclaimTime(
        event, state_.LongestLeadTime() + kEventPreparationTime));
    for (const auto& [account, accelerators] : state_.borrowed) {
      if (accelerators <= 0) continue;
      consider(EventCalendar::ReclaimTime(event, state_.LeadTime(account)));
    }
  }
  return next;
}

}  // namespace thornplank
