// What a step leaves for others, and the starts that pass it.
//
// A preference holds a step back although there is room for it. A start that is
// owed passes the one that holds it back.
#include <algorithm>
#include <optional>
#include <utility>

#include "workload/planning_round.h"

namespace thornplank {
namespace {

// With a smaller share in use, no start delays another step.
constexpr double kIdleShare = 0.45;
// With a larger share in use, steps yield to steps of higher priority. A job
// with no active task while less than half of its service is in use counts as
// not served.
constexpr double kCrowdedShare = 0.5;

}  // namespace

void Planner::Round::ObserveHeadroom(const std::string& service) {
  const PlannerSettings& settings = planner_.settings_;
  const int64_t usable = capacity_.usable_workers(service);
  UrgentHeadroomSettings headroom;
  headroom.least_share = settings.headroom;
  headroom.max_share = settings.max_headroom;
  headroom.retention = settings.headroom_retention;
  const auto it = planner_.headrooms_.try_emplace(service, headroom).first;
  UrgentUse use;
  use.workers = capacity_.UrgentWorkers(service);
  use.seen = !it->second.observed() && use.workers > 0;
  const Resources mean = DividedBy(capacity_.TotalCapacity(service), usable);
  for (const ReadyStep& step : steps_) {
    if (!step.urgent() || step.service() != service || usable == 0) continue;
    const auto tasks = static_cast<int64_t>(step.waiting.size());
    const Resources need = ReservedFor(*step.spec);
    use.seen = true;
    use.workers += WorkerShare(need, mean) * static_cast<double>(tasks);
    use.largest_step =
        std::max(use.largest_step, WorkersNeeded(need, tasks, mean));
  }
  it->second.Observe(use, inputs_.now);
  headroom_[service] = it->second.Workers(usable);
}

int64_t Planner::Round::Headroom(const ReadyStep& step) const {
  if (step.urgent()) return 0;
  if (holds_) {
    const auto workers = headroom_.find(step.service());
    return workers == headroom_.end() ? 0 : workers->second;
  }
  if (!planner_.ExpectsUrgent(step.service(), inputs_.now)) return 0;
  return static_cast<int64_t>(
      planner_.settings_.headroom *
      static_cast<double>(capacity_.usable_workers(step.service())));
}

bool Planner::Round::MayLeaveRack(const ReadyStep& step) const {
  if (KnowsWorkersInPart()) return false;
  const auto waited = std::chrono::duration_cast<Milliseconds>(
      inputs_.now - step.job->added_at);
  if (step.urgent() && IsGuaranteed(step)) {
    return waited > planner_.settings_.bounds.urgent_rack_wait();
  }
  return waited > planner_.settings_.rack_wait &&
         capacity_.UsedShare(step.service()) < kIdleShare;
}

bool Planner::Round::IsGuaranteed(const ReadyStep& step) const {
  const std::string& account = step.job->spec.account;
  const auto guarantee = inputs_.guarantees->find(account);
  if (guarantee == inputs_.guarantees->end()) return false;
  const int64_t needed =
      capacity_.UrgentAccelerators(account) + urgent_demand_.at(account);
  return needed <= guarantee->second;
}

bool Planner::Round::IsBoundToData(const ReadyStep& step) const {
  return !step.spec->data_rack.empty() &&
         !step.passes.Contains(Preference::kDataRack) && !MayLeaveRack(step);
}

FreePlaces Planner::Round::PlacesFor(const ReadyStep& step) const {
  FreePlaces places;
  places.slots = capacity_.FreeSlots(step);
  // Headroom is there for urgent steps, so none of it is kept from them.
  const bool all_workers =
      step.urgent() || step.passes.Contains(Preference::kUrgentHeadroom);
  places.empty_workers =
      all_workers ? static_cast<int64_t>(capacity_.workers().size())
                  : capacity_.EmptyWorkers(step.service()) - Headroom(step);
  AdmitReservedWorkers(step, &places);
  if (!step.passes.Contains(Preference::kHeldCapacity)) {
    guarantee_holds_.Restrict(step, &places.slots);
  }
  places.near_only = IsBoundToData(step);
  places.compact =
      planner_.settings_.features.compact_gangs != FeatureMode::kOff;
  return places;
}

void Planner::Round::AdmitReservedWorkers(const ReadyStep& step,
                                          FreePlaces* places) const {
  const auto own = planner_.gang_reservations_.find(step.ref);
  if (own == planner_.gang_reservations_.end()) return;
  for (Slot& slot : places->slots) {
    if (!slot.empty) continue;
    const std::string& id = capacity_.worker(slot.worker).tracker->id();
    if (own->second.tasks_by_worker.count(id) == 0) continue;
    slot.empty = false;
    --places->empty_workers;
  }
}

bool Planner::Round::LeaveHeldCapacity(const ReadyStep& step,
                                       FreePlaces* places) const {
  if (!holds_ || holds_->holds().empty()) return false;
  if (step.passes.Contains(Preference::kHeldCapacity)) return false;
  const bool idle = capacity_.LowestUsedShare(step.service()) < kCrowdedShare;
  if (step.spec->gang && idle) return false;
  const int64_t empty = holds_->EmptyWorkersHeldFrom(step);
  places->empty_workers -= empty;
  return holds_->Restrict(step, &places->slots) || empty > 0;
}

int64_t Planner::Round::AllowedTasks(const ReadyStep& step) const {
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  // While most of the capacity is idle, these tasks are not what others wait
  // for.
  const std::string& service = step.service();
  if (holds_ || step.urgent() ||
      step.passes.Contains(Preference::kGangDemand) ||
      capacity_.UsedShare(service) < kCrowdedShare) {
    return waiting;
  }
  // The rule about jobs that are not served does not name the resource, so
  // the less used one decides for gangs, which start whole or not at all.
  const bool idle = capacity_.LowestUsedShare(service) < kCrowdedShare;
  if (step.spec->gang && idle) return waiting;
  const PlannerSettings& settings = planner_.settings_;
  const Resources all = capacity_.TotalCapacity(service);
  Resources reserved =
      ElementwiseMin(waiting_demand_.OfHigherPriority(service, step.priority()),
                     ShareOf(all, settings.max_reserved_share));
  if (reserved.IsZero()) return waiting;
  if (planner_.ExpectsUrgent(service, inputs_.now)) {
    reserved += ShareOf(all, settings.headroom);
  }
  const int64_t allowed =
      ReservedFor(*step.spec)
          .TimesIn(capacity_.FreeCapacity(service) - reserved, waiting);
  // Every job may run at least one task at a time, if it fits.
  if (allowed <= 0 && !step.spec->gang && !step.job_is_active()) return 1;
  return allowed;
}

void Planner::Round::RecordWaitingDemand(const ReadyStep& step,
                                         WaitReason reason) {
  if (holds_ || !step.spec->gang) return;
  if (reason == WaitReason::kGuaranteedToOthers) return;
  if (planner_.reservations_.count(step.ref) > 0) return;
  if (step.expired) return;
  waiting_demand_.Add(step.service(), step.priority(), ReservedFor(*step.spec),
                      static_cast<int64_t>(step.waiting.size()));
}

bool Planner::Round::PlaceOwed(const ReadyStep& step) {
  if (KnowsWorkersInPart()) return false;
  std::optional<OwedStart> owed = planner_.owed_starts_.Find(
      step, UsedShareOf(step.service()), inputs_.now);
  if (!owed) return false;
  // Another step of the job may have started in this round.
  if (owed->obligation == Obligation::kIdleJob && HasStart(step.ref.job)) {
    return false;
  }
  ReadyStep part = step;
  part.waiting = std::move(owed->tasks);
  part.passes = PreferenceSet::All();
  if (!LimitToRoom(owed->obligation, &part)) return false;
  const bool all = part.waiting.size() == step.waiting.size();
  for (const Preference preference : kAllPreferences) {
    part.passes = PreferenceSet(preference);
    if (PlaceOwedPart(part, *owed, ToText(preference))) return all;
  }
  part.passes = PreferenceSet::All();
  return PlaceOwedPart(part, *owed, "several preferences") && all;
}

bool Planner::Round::PlaceOwedPart(const ReadyStep& part, const OwedStart& owed,
                                   std::string_view passed) {
  const size_t starts = plan_.starts.size();
  WaitReason ignored = WaitReason::kNoRoom;
  PlaceWaiting(part, &ignored);
  if (plan_.starts.size() == starts) return false;
  std::string& reason = plan_.starts.back().reason;
  reason += "; owed to ";
  reason += ToText(owed.obligation);
  reason += ", passes ";
  reason += passed;
  return true;
}

bool Planner::Round::HasStart(const std::string& job) const {
  return std::any_of(
      plan_.starts.begin(), plan_.starts.end(),
      [&job](const StartDecision& start) { return start.step.job == job; });
}

bool Planner::Round::LimitToRoom(Obligation obligation, ReadyStep* part) const {
  const Resources need = ReservedFor(*part->spec);
  const auto tasks = static_cast<int64_t>(part->waiting.size());
  const int64_t unit = part->spec->gang ? tasks : 1;
  const int64_t left = obligation == Obligation::kGuaranteed ? 0 : unit;
  int64_t room = 0;
  for (const Slot& slot : capacity_.FreeSlots(*part)) {
    room += need.TimesIn(capacity_.worker(slot.worker).free, tasks + left);
    if (room >= tasks + left) return true;
  }
  if (room < unit + left) return false;
  part->waiting.resize(static_cast<size_t>(room - left));
  return true;
}

double Planner::Round::UsedShareOf(const std::string& service) const {
  return capacity_.TotalCapacity(service).accelerators == 0
             ? capacity_.LowestUsedShare(service)
             : capacity_.UsedShare(service);
}

}  // namespace thornplank
