#include "scheduling/reclaimer.h"

#include <algorithm>

namespace thornplank {
namespace {

// An urgent borrower leaves only when no other one will do.
constexpr double kUrgentCost = 1e6;
// Events are settled this long before the first borrower has to be told.
constexpr Duration kSettleAhead = std::chrono::seconds(1);

// Moving an event's cells costs the work that its borrowers would lose.
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
  ServeClaims(Claims::kGuaranteed, ClusterSurvey(state_, now), now);
  ServeClaims(Claims::kAll, ClusterSurvey(state_, now), now);
  for (const EventReservation& event : state_.calendar.events()) {
    ClearForEvent(event, ClusterSurvey(state_, now), now);
  }
}

std::map<WorkerIndex, int> Reclaimer::ClaimedBy(Claims claims) const {
  std::map<WorkerIndex, int> claimed;
  for (const auto& [id, job] : state_.planned) {
    if (claims == Claims::kGuaranteed && !job->use) continue;
    for (const WorkerIndex worker : job->plan->workers) {
      claimed[worker] += job->spec.shape.accelerators_per_member;
    }
  }
  return claimed;
}

std::map<WorkerIndex, int> Reclaimer::Missing(
    const std::map<WorkerIndex, int>& claimed,
    const ClusterSurvey& survey) const {
  std::map<WorkerIndex, int> missing = claimed;
  for (auto& [worker, accelerators] : missing) {
    accelerators -= state_.cluster.unheld(worker);
  }
  for (const GangView& view : survey.gangs) {
    if (!view.leaving) continue;
    for (const MemberRecord& record : view.gang->members()) {
      const auto found = missing.find(record.worker);
      if (found == missing.end()) continue;
      if (record.state == MemberState::kGone) continue;
      found->second -= record.member.accelerators;
    }
  }
  return missing;
}

std::vector<VictimCandidate> Reclaimer::Candidates(const ClusterSurvey& survey,
                                                   bool urgent_too,
                                                   Time now) const {
  std::vector<VictimCandidate> candidates;
  for (const GangView& view : survey.gangs) {
    if (!view.borrower || view.leaving) continue;
    if (view.urgent && !urgent_too) continue;
    VictimCandidate candidate;
    candidate.gang_id = view.gang->id();
    candidate.work_lost = state_.WorkLost(*view.gang, now);
    if (view.urgent) candidate.work_lost += kUrgentCost;
    for (const MemberRecord& record : view.gang->members()) {
      if (record.state == MemberState::kGone) continue;
      candidate.holds[record.worker] += record.member.accelerators;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void Reclaimer::ServeClaims(Claims claims, const ClusterSurvey& survey,
                            Time now) {
  const std::map<WorkerIndex, int> claimed = ClaimedBy(claims);
  if (claimed.empty()) return;
  const std::map<WorkerIndex, int> missing = Missing(claimed, survey);
  const bool any = std::any_of(missing.begin(), missing.end(),
                               [](const auto& one) { return one.second > 0; });
  if (!any) return;
  const bool guaranteed = claims == Claims::kGuaranteed;
  const std::string why = guaranteed
                              ? "reclaimed for a guarantee"
                              : "reclaimed for urgent or long waiting work";
  for (const std::string& id :
       SelectVictims(missing, Candidates(survey, guaranteed, now))) {
    stopper_.CheckpointAndStop(*state_.gangs.Find(id), why, now);
  }
}

void Reclaimer::ClearForEvent(const EventReservation& event,
                              const ClusterSurvey& survey, Time now) {
  if (now < EventCalendar::ClearAt(event, state_.LongestLead())) return;
  const AcceleratorsByWorker aside = state_.witness.SetAsideFor(event.name);
  std::map<WorkerIndex, int> claimed = ClaimedBy(Claims::kGuaranteed);
  for (auto one = claimed.begin(); one != claimed.end();) {
    one = aside[one->first] > 0 ? std::next(one) : claimed.erase(one);
  }
  for (WorkerIndex i = 0; i < state_.cluster.size(); ++i) {
    if (aside[i] > 0 && state_.cluster.capacity(i) > 0) claimed[i] += aside[i];
  }
  const std::map<WorkerIndex, int> missing = Missing(claimed, survey);
  for (const std::string& id :
       SelectVictims(missing, Candidates(survey, true, now))) {
    Gang& gang = *state_.gangs.Find(id);
    // Those that are saved faster run on until their own time comes.
    if (now < EventCalendar::ClearAt(event, state_.Lead(gang.account()))) {
      continue;
    }
    stopper_.CheckpointAndStop(gang, "cleared for event " + event.name, now);
  }
}

void Reclaimer::PrepareEvents(const ClusterSurvey& survey, Time now) {
  for (const EventReservation& event : state_.calendar.events()) {
    const Duration ahead = state_.LongestLead() + kSettleAhead;
    if (now < EventCalendar::ClearAt(event, ahead)) continue;
    for (const GuaranteedShape& shape : event.shapes) {
      state_.witness.Lend(event.account, event.name, shape);
    }
    state_.witness.Settle(
        event.name, DisplacementPlacementCost(
                        state_.cluster, survey.DisplacementCost(state_, now)));
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
    consider(
        EventCalendar::ClearAt(event, state_.LongestLead() + kSettleAhead));
    for (const auto& [account, accelerators] : state_.borrowed) {
      if (accelerators <= 0) continue;
      consider(EventCalendar::ClearAt(event, state_.Lead(account)));
    }
  }
  return next;
}

}  // namespace thornplank
