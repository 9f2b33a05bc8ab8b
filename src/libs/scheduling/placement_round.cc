#include "scheduling/placement_round.h"

#include <algorithm>
#include <queue>
#include <utility>

#include "scheduling/job_order.h"
#include "scheduling/placement_costs.h"
#include "scheduling/placement_search.h"

namespace thornplank {
namespace {

// Borrowers that one decision starts, so that none takes long.
constexpr int kMostStartsPerRound = 8;

bool ArrivedLater(const JobRecord* a, const JobRecord* b) {
  return a->spec.submitted_order > b->spec.submitted_order;
}

}  // namespace

PlacementRound::PlacementRound(SchedulerState& state, GangStarter& starter,
                               Time now)
    : state_(state),
      starter_(starter),
      now_(now),
      survey_(state, now),
      displacement_cost_(survey_.DisplacementCost(state, now)) {
  state_.borrowed = survey_.borrowed;
}

bool PlacementRound::Run() {
  ServePlans();
  PlaceGuaranteed();
  PlaceUrgent();
  KeepReservation();
  const bool complete = PlaceBorrowers();
  PlaceProbes();
  return complete;
}

void PlacementRound::RunFor(JobRecord& job) {
  ServePlans();
  if (!MayStart(job) || TryGuaranteed(job)) return;
  const JobClass& job_class = state_.ClassOf(job);
  if (!MayBorrow(job_class)) return;
  if (job.spec.priority == Priority::kUrgent && TryUrgent(job)) return;
  SurveyBorrowing();
  TryBorrow(job);
}

void PlacementRound::SurveyBorrowing() {
  set_aside_ = state_.witness.SetAside();
  rack_ends_ = survey_.RackEnds(state_.cluster, now_);
  outlasting_ = survey_.Outlasting(state_.cluster, state_.reservation.start());
}

bool PlacementRound::MayStart(const JobRecord& job) const {
  if (job.plan || job.not_before > now_) return false;
  const EventReservation* event = state_.calendar.Find(job.spec.event);
  return !event || event->start <= now_;
}

bool PlacementRound::MayBorrow(const JobClass& job_class) const {
  return state_.Account(job_class.account).borrowing;
}

void PlacementRound::ServePlans() {
  const std::map<std::string, JobRecord*> planned = state_.planned;
  if (planned.empty()) return;
  const AcceleratorsByWorker reclaimable =
      survey_.Reclaimable(state_.cluster, false);
  for (const auto& [id, job] : planned) {
    const std::vector<WorkerIndex> workers = job->plan->workers;
    const bool servable = std::all_of(
        workers.begin(), workers.end(), [&, job = job](WorkerIndex worker) {
          if (state_.cluster.capacity(worker) == 0) return false;
          return job->use ||
                 state_.cluster.claimed(worker) <=
                     state_.cluster.unheld(worker) + reclaimable[worker];
        });
    if (!servable) {
      state_.DropPlan(*job);
      state_.ReleaseUse(*job);
      continue;
    }
    if (!IsFreeNow(*job, workers)) continue;
    const std::string reason = job->plan->reason + ", after reclaim";
    state_.DropPlan(*job);
    starter_.StartGang(*job, workers, reason, now_);
  }
}

// Whether the leases of others leave the accelerators free, claims aside.
bool PlacementRound::IsFreeNow(const JobRecord& job,
                               const std::vector<WorkerIndex>& workers) const {
  std::map<WorkerIndex, int> needed;
  for (const WorkerIndex worker : workers) {
    needed[worker] += job.spec.shape.accelerators_per_member;
  }
  return std::all_of(needed.begin(), needed.end(), [this](const auto& one) {
    return state_.cluster.unheld(one.first) >= one.second;
  });
}

void PlacementRound::Plan(JobRecord& job,
                          const std::vector<WorkerIndex>& workers,
                          const std::string& reason) {
  for (const WorkerIndex worker : workers) {
    state_.cluster.Claim(worker, job.spec.shape.accelerators_per_member);
  }
  job.plan = ClaimedPlan{workers, reason};
  job.reason = reason + ", waits for borrowers to leave";
  state_.planned[job.spec.id] = &job;
}

void PlacementRound::PlaceGuaranteed() {
  std::vector<int> order;
  for (size_t i = 0; i < state_.classes.size(); ++i) {
    if (!state_.classes[i].waiting.empty()) {
      order.push_back(static_cast<int>(i));
    }
  }
  // Urgent classes first, then by their oldest job.
  std::sort(order.begin(), order.end(), [this](int a, int b) {
    const JobClass& first = state_.classes[a];
    const JobClass& second = state_.classes[b];
    if (first.priority != second.priority) {
      return first.priority == Priority::kUrgent;
    }
    return ArrivedLater(second.waiting.front(), first.waiting.front());
  });
  for (const int index : order) PlaceGuaranteedOf(state_.classes[index]);
}

void PlacementRound::PlaceGuaranteedOf(JobClass& job_class) {
  const std::vector<JobRecord*> waiting = job_class.waiting;
  for (JobRecord* job : waiting) {
    if (!MayStart(*job)) continue;
    // What does not fit for one does not fit for the next of the class.
    if (!TryGuaranteed(*job)) return;
  }
}

bool PlacementRound::TryGuaranteed(JobRecord& job) {
  const bool in_event = state_.calendar.Find(job.spec.event) != nullptr;
  if (in_event && TakeCells(job, {job.spec.account, job.spec.event})) {
    return true;
  }
  return TakeCells(job, {job.spec.account, ""});
}

bool PlacementRound::TakeCells(JobRecord& job, const CellOwner& owner) {
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  std::optional<CellUse> use = state_.witness.Take(owner, job.spec.shape, cost);
  if (!use) return false;
  const std::vector<WorkerIndex> workers = use->workers;
  job.use = std::move(use);
  const std::string reason = owner.event.empty()
                                 ? "inside the guarantee of " + owner.account
                                 : "inside event " + owner.event;
  const bool free =
      std::all_of(workers.begin(), workers.end(), [this](WorkerIndex worker) {
        return state_.cluster.claimed(worker) == 0;
      });
  if (free && IsFreeNow(job, workers)) {
    starter_.StartGang(job, workers, reason, now_);
  } else {
    Plan(job, workers, reason);
  }
  return true;
}

void PlacementRound::PlaceUrgent() {
  for (size_t i = 0; i < state_.classes.size(); ++i) {
    if (state_.classes[i].priority != Priority::kUrgent) continue;
    if (!MayBorrow(state_.classes[i])) continue;
    const std::vector<JobRecord*> waiting = state_.classes[i].waiting;
    for (JobRecord* job : waiting) {
      if (MayStart(*job) && !TryUrgent(*job)) break;
    }
  }
}

bool PlacementRound::TryUrgent(JobRecord& job) {
  const AcceleratorsByWorker room = RoomFor(job, true);
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  if (const std::optional<Placement> placement =
          FindPlacement(state_.cluster, job.spec.shape, room, cost)) {
    StartBorrowing(job, *placement, "urgent, on free accelerators");
    return true;
  }
  return ClaimFromBorrowers(job, "urgent");
}

bool PlacementRound::ClaimFromBorrowers(JobRecord& job,
                                        const std::string& reason) {
  AcceleratorsByWorker room = survey_.Reclaimable(state_.cluster, false);
  for (WorkerIndex i = 0; i < state_.cluster.size(); ++i) {
    room[i] += state_.cluster.unheld(i) - state_.cluster.claimed(i);
  }
  for (const EventReservation& event : state_.calendar.events()) {
    const Time end = now_ + state_.ExpectedRun(job);
    const Duration lead = state_.Lead(job.spec.account);
    if (!EventCalendar::KeepsOff(event, now_, end, lead)) continue;
    const AcceleratorsByWorker& aside = AsideFor(event.name);
    for (WorkerIndex i = 0; i < state_.cluster.size(); ++i) room[i] -= aside[i];
  }
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  const std::optional<Placement> placement =
      FindPlacement(state_.cluster, job.spec.shape, room, cost);
  if (!placement) return false;
  Plan(job, MemberWorkers(*placement), reason);
  return true;
}

const AcceleratorsByWorker& PlacementRound::AsideFor(const std::string& event) {
  const auto found = aside_for_event_.find(event);
  if (found != aside_for_event_.end()) return found->second;
  return aside_for_event_[event] = state_.witness.SetAsideFor(event);
}

// Free accelerators that the job may borrow: none that an event needs before
// the job can be out of the way, none that the reserved job needs, none where
// it failed before.
AcceleratorsByWorker PlacementRound::RoomFor(const JobRecord& job,
                                             bool past_reservation) {
  AcceleratorsByWorker room = state_.cluster.FreeByWorker();
  const Time end = now_ + state_.ExpectedRun(job);
  for (const EventReservation& event : state_.calendar.events()) {
    const Duration lead = state_.Lead(job.spec.account);
    if (!EventCalendar::KeepsOff(event, now_, end, lead)) continue;
    const AcceleratorsByWorker& aside = AsideFor(event.name);
    for (size_t i = 0; i < room.size(); ++i) {
      room[i] = std::max(0, room[i] - aside[i]);
    }
  }
  if (!past_reservation && KeepsOffReservation(job, end)) {
    state_.reservation.KeepFree(state_.cluster, outlasting_, &room);
  }
  for (const WorkerIndex worker : job.failed_on) room[worker] = 0;
  return room;
}

bool PlacementRound::KeepsOffReservation(const JobRecord& job, Time end) const {
  const LargeJobReservation& reservation = state_.reservation;
  return reservation.active() && reservation.job() != job.spec.id &&
         !reservation.EndsInTime(end);
}

std::set<std::string> PlacementRound::LimitsOf(const JobRecord& job) const {
  std::set<std::string> limits;
  const Time end = now_ + state_.ExpectedRun(job);
  if (KeepsOffReservation(job, end)) limits.insert("");
  if (state_.calendar.events().empty()) return limits;
  const Duration lead = state_.Lead(job.spec.account);
  for (const EventReservation& event : state_.calendar.events()) {
    if (EventCalendar::KeepsOff(event, now_, end, lead)) {
      limits.insert(event.name);
    }
  }
  return limits;
}

double PlacementRound::ScoreOf(const JobRecord& job) const {
  const AccountGuarantee& account = state_.Account(job.spec.account);
  BorrowClaim claim;
  claim.waited = now_ - job.submitted_at;
  claim.expected = state_.ExpectedRun(job);
  claim.accelerators = job.spec.shape.accelerators();
  claim.borrowed_over_share =
      survey_.BorrowedOverShare(state_, job.spec.account);
  claim.fragmentation_weight = account.fragmentation_weight;
  return BorrowScore(claim);
}

bool PlacementRound::PlaceBorrowers() {
  SurveyBorrowing();
  if (JobRecord* reserved = state_.FindJob(state_.reservation.job())) {
    if (MayStart(*reserved) && TryBorrow(*reserved)) state_.reservation.Clear();
  }
  const AcceleratorsByWorker free = state_.cluster.FreeByWorker();
  using Entry = std::pair<double, JobRecord*>;
  std::vector<Entry> entries;
  for (const JobClass& job_class : state_.classes) {
    if (job_class.waiting.empty() || !MayBorrow(job_class)) continue;
    if (!Fits(state_.cluster, job_class.shape, free)) continue;
    for (JobRecord* job : job_class.waiting) {
      if (MayStart(*job)) entries.push_back({ScoreOf(*job), job});
    }
  }
  const auto lower = [](const Entry& a, const Entry& b) {
    if (a.first != b.first) return a.first < b.first;
    return ArrivedLater(a.second, b.second);
  };
  std::make_heap(entries.begin(), entries.end(), lower);
  // Classes, with limits, that found no room: it only shrinks in a round.
  std::set<std::pair<int, std::set<std::string>>> without_room;
  int started = 0;
  while (!entries.empty()) {
    if (started == kMostStartsPerRound) return false;
    std::pop_heap(entries.begin(), entries.end(), lower);
    JobRecord& job = *entries.back().second;
    entries.pop_back();
    const auto key = std::make_pair(job.job_class, LimitsOf(job));
    if (without_room.count(key) > 0) continue;
    if (TryBorrow(job)) {
      ++started;
    } else if (job.failed_on.empty()) {
      without_room.insert(key);
    }
  }
  return true;
}

bool PlacementRound::TryBorrow(JobRecord& job) {
  const AcceleratorsByWorker room = RoomFor(job, false);
  if (!Fits(state_.cluster, job.spec.shape, room)) return false;
  const BorrowingCost cost({state_.fragmentation, set_aside_, rack_ends_}, room,
                           job, now_ + state_.ExpectedRun(job));
  const std::optional<Placement> placement =
      FindPlacement(state_.cluster, job.spec.shape, room, cost);
  if (!placement) return false;
  StartBorrowing(job, *placement, "borrows free accelerators");
  return true;
}

void PlacementRound::StartBorrowing(JobRecord& job, const Placement& placement,
                                    const std::string& reason) {
  const int size = job.spec.shape.accelerators_per_member;
  const Time end = now_ + state_.ExpectedRun(job);
  if (!outlasting_.empty() && end > state_.reservation.start()) {
    for (const WorkerShare& share : placement) {
      outlasting_[share.worker] += share.members * size;
    }
  }
  survey_.borrowed[job.spec.account] += job.spec.shape.accelerators();
  starter_.StartGang(job, MemberWorkers(placement), reason, now_);
}

JobRecord* PlacementRound::OldestLargeJob() const {
  JobRecord* oldest = nullptr;
  for (const JobClass& job_class : state_.classes) {
    if (job_class.waiting.empty() || !MayBorrow(job_class)) continue;
    if (!state_.IsLarge(job_class.shape)) continue;
    for (JobRecord* job : job_class.waiting) {
      if (!MayStart(*job)) continue;
      if (now_ - job->submitted_at < state_.options.large_job_wait_bound) {
        continue;
      }
      if (!oldest || ArrivedLater(oldest, job)) oldest = job;
    }
  }
  return oldest;
}

void PlacementRound::KeepReservation() {
  LargeJobReservation& reservation = state_.reservation;
  if (reservation.active()) {
    const JobRecord* job = state_.FindJob(reservation.job());
    const bool waits = job && job->phase == JobPhase::kWaiting && !job->plan;
    if (!waits) reservation.Clear();
  }
  if (!reservation.active()) {
    if (JobRecord* oldest = OldestLargeJob()) Reserve(*oldest);
    return;
  }
  JobRecord& job = *state_.FindJob(reservation.job());
  const bool passed = reservation.start() <= now_;
  if (passed) reservation.CountDelay();
  if (reservation.exhausted() &&
      ClaimFromBorrowers(job, "waited past its reservation")) {
    reservation.Clear();
    return;
  }
  if (passed || reservation.LostWorker(state_.cluster)) Reserve(job);
}

void PlacementRound::Reserve(JobRecord& job) {
  const DisplacingCost cost(state_.cluster, state_.fragmentation,
                            displacement_cost_, job);
  const std::optional<EarliestStart> earliest =
      FindEarliestStart(state_.cluster, job.spec.shape, RoomFor(job, true),
                        survey_.Releases(), now_, cost);
  if (!earliest) {
    // Not even when everything ends: other workers have to come back first.
    state_.reservation.Clear();
    return;
  }
  state_.reservation.Reserve(job.spec.id, job.spec.shape, *earliest);
  job.reason = "waits for its reservation";
}

void PlacementRound::PlaceProbes() {
  for (const WorkerIndex worker : state_.faults.quarantined()) {
    if (!state_.faults.IsProbeDue(worker, now_)) continue;
    if (!state_.cluster.present(worker)) continue;
    if (state_.cluster.held(worker) > 0) continue;
    JobRecord* job = ProbeFor(worker);
    if (!job) continue;
    const std::string& name = state_.cluster.info(worker).name;
    state_.faults.ProbeStarted(worker);
    state_.actions.push_back(
        WorkerQuarantineChanged{name, WorkerQuarantineChanged::Verdict::kProbed,
                                "probed with job " + job->spec.id});
    const std::vector<WorkerIndex> workers(job->spec.shape.members, worker);
    starter_.StartGang(*job, workers, "probe of worker " + name, now_);
  }
}

// The shortest normal job that fits the worker alone.
JobRecord* PlacementRound::ProbeFor(WorkerIndex worker) const {
  JobRecord* best = nullptr;
  for (const JobClass& job_class : state_.classes) {
    if (job_class.priority == Priority::kUrgent) continue;
    if (!MayBorrow(job_class)) continue;
    if (job_class.shape.accelerators() >
        state_.cluster.info(worker).accelerators) {
      continue;
    }
    for (JobRecord* job : job_class.waiting) {
      if (!MayStart(*job) || job->use) continue;
      if (std::count(job->failed_on.begin(), job->failed_on.end(), worker)) {
        continue;
      }
      if (best && state_.ExpectedRun(*best) <= state_.ExpectedRun(*job)) {
        continue;
      }
      best = job;
    }
  }
  return best;
}

}  // namespace thornplank
