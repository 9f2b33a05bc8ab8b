// Capacity sums, eligibility and scores of workers.
#include "workload/cluster_capacity.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "workload/urgent_headroom.h"

namespace thornplank {
namespace {

// Suspect workers are used only when no other worker has room.
constexpr int64_t kSuspectPenalty = int64_t{1} << 32;
constexpr int64_t kSlowPenalty = int64_t{1} << 31;
// Upper bound on the share of the usable workers of a service that is withheld.
// With more workers on probation, capacity is worth more than certainty.
constexpr double kMaxWithheldShare = 0.25;
// Workers without room come last in a query for advice.
constexpr int64_t kFullPenalty = int64_t{1} << 33;

// How much longer a task takes there than normally, in tenths of the normal
// time, apart from temporary slowness.
int64_t SlownessOf(const WorkerCapacity& worker) {
  constexpr double kTenths = 10;
  return std::lround(kTenths / worker.tracker->steady_speed() - kTenths);
}

bool HasLabel(const WorkerRegistration& worker, const std::string& label) {
  if (label.empty()) return true;
  const auto& labels = worker.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

}  // namespace

bool WorkerCapacity::IsEmpty() const {
  const Resources& all = entry().capacity;
  return free.accelerators == all.accelerators &&
         free.cpu_millis == all.cpu_millis;
}

Resources ReservedFor(const StepSpec& step) {
  Resources need = step.need;
  if (step.is_filler) need.cpu_millis = 0;
  return need;
}

ClusterCapacity::ClusterCapacity(
    const std::map<std::string, WorkerTracker>& workers,
    const AdviceCache* advice, Time now, AccountShares* shares,
    bool shares_headroom)
    : advice_(advice), now_(now), shares_headroom_(shares_headroom) {
  workers_.reserve(workers.size());
  for (const auto& [id, tracker] : workers) {
    AddWorker(tracker, now, shares);
  }
  WithholdOnProbation();
}

int ClusterCapacity::NumberOfRack(const std::string& rack) {
  const int next = static_cast<int>(rack_members_.size());
  const auto [it, is_new] = rack_numbers_.try_emplace(rack, next);
  if (is_new) rack_members_.emplace_back();
  return it->second;
}

int ClusterCapacity::NumberOfService(const std::string& service) {
  for (size_t i = 0; i < services_.size(); ++i) {
    if (services_[i].name == service) return static_cast<int>(i);
  }
  services_.emplace_back();
  services_.back().name = service;
  return static_cast<int>(services_.size()) - 1;
}

void ClusterCapacity::AddWorker(const WorkerTracker& tracker, Time now,
                                AccountShares* shares) {
  WorkerCapacity worker;
  worker.tracker = &tracker;
  worker.rack = NumberOfRack(tracker.registration().rack);
  worker.service = NumberOfService(tracker.registration().service);
  worker.free = tracker.room();
  worker.usable = tracker.availability(now) == WorkerAvailability::kUsable;
  if (shares != nullptr) shares->AddWorker(tracker);
  for (const auto& [task, run] : tracker.runs()) {
    const RunProfile& profile = run.profile;
    if (run.stop_wanted) worker.releasing += profile.need;
    if (profile.is_filler) ++worker.filler_tasks;
    const bool unproven = !run.has_proven_start(now);
    worker.unproven = worker.unproven || unproven;
    worker.on_probation =
        worker.on_probation || (unproven && profile.on_probation);
    if (profile.priority != 0) {
      // Filler tasks reserve no cores and leave a worker to urgent steps.
      if (!profile.is_filler) worker.lower_priority_work = true;
      continue;
    }
    urgent_accelerators_[profile.account] += profile.need.accelerators;
    if (run.stop_wanted) {
      urgent_accelerators_stopping_[profile.account] +=
          profile.need.accelerators;
    }
    worker.urgent_share +=
        WorkerShare(profile.need, tracker.registration().capacity);
  }
  const Resources& capacity = tracker.registration().capacity;
  ServiceSums& sums = services_[static_cast<size_t>(worker.service)];
  sums.total_accelerators += capacity.accelerators;
  sums.used_accelerators += capacity.accelerators - worker.free.accelerators;
  sums.total_cpu_millis += capacity.cpu_millis;
  sums.urgent_workers += worker.urgent_share;
  sums.used_cpu_millis += capacity.cpu_millis - worker.free.cpu_millis;
  if (worker.usable) {
    ++usable_workers_;
    ++sums.usable_workers;
    sums.capacity += capacity;
    sums.free += ElementwiseMax(worker.free, Resources());
    if (tracker.health().IsSuspect(now)) ++suspects_;
    if (IsHeadroom(worker)) {
      ++sums.empty_workers;
      sums.urgent_use_of_headroom += worker.urgent_share;
    }
  }
  rack_members_[static_cast<size_t>(worker.rack)].push_back(workers_.size());
  workers_.push_back(worker);
}

void ClusterCapacity::WithholdOnProbation() {
  std::vector<std::vector<size_t>> on_probation(services_.size());
  for (size_t i = 0; i < workers_.size(); ++i) {
    const WorkerHealth& health = workers_[i].tracker->health();
    if (!workers_[i].usable || !health.compared()) continue;
    if (health.verdict(now_) != HealthVerdict::kProbation) continue;
    on_probation[static_cast<size_t>(workers_[i].service)].push_back(i);
  }
  for (size_t service = 0; service < services_.size(); ++service) {
    std::vector<size_t>& members = on_probation[service];
    const auto most = static_cast<size_t>(
        kMaxWithheldShare *
        static_cast<double>(services_[service].usable_workers));
    if (members.size() > most) {
      std::stable_sort(members.begin(), members.end(),
                       [this](size_t a, size_t b) {
                         return workers_[a].tracker->health().last_evidence() >
                                workers_[b].tracker->health().last_evidence();
                       });
      members.resize(most);
    }
    for (const size_t index : members) {
      Withhold(&workers_[index]);
    }
  }
}

void ClusterCapacity::Withhold(WorkerCapacity* worker) {
  if (IsHeadroom(*worker)) {
    ServiceSums& sums = services_[static_cast<size_t>(worker->service)];
    --sums.empty_workers;
    sums.urgent_use_of_headroom -= worker->urgent_share;
  }
  worker->withheld = true;
  const Time since = worker->tracker->health().probation_since();
  for (const auto& [task, run] : worker->tracker->runs()) {
    const bool is_test = run.placed != Time{} && run.placed >= since;
    worker->under_test = worker->under_test || is_test;
  }
}

std::optional<size_t> ClusterCapacity::IndexOf(const std::string& id) const {
  const auto it = std::lower_bound(
      workers_.begin(), workers_.end(), id,
      [](const WorkerCapacity& worker, const std::string& wanted) {
        return worker.tracker->id() < wanted;
      });
  if (it == workers_.end() || it->tracker->id() != id) return std::nullopt;
  return static_cast<size_t>(it - workers_.begin());
}

void ClusterCapacity::ChangeFree(WorkerCapacity* worker,
                                 const Resources& change) {
  Resources& sum = services_[static_cast<size_t>(worker->service)].free;
  if (worker->usable) sum -= ElementwiseMax(worker->free, Resources());
  worker->free += change;
  if (worker->usable) sum += ElementwiseMax(worker->free, Resources());
}

int64_t ClusterCapacity::UrgentAccelerators(const std::string& account) const {
  const auto use = urgent_accelerators_.find(account);
  return use == urgent_accelerators_.end() ? 0 : use->second;
}

int64_t ClusterCapacity::UrgentAcceleratorsStopping(
    const std::string& account) const {
  const auto use = urgent_accelerators_stopping_.find(account);
  return use == urgent_accelerators_stopping_.end() ? 0 : use->second;
}

const ClusterCapacity::ServiceSums& ClusterCapacity::SumsOf(
    const std::string& service) const {
  static const ServiceSums kNothing;
  for (const ServiceSums& sums : services_) {
    if (sums.name == service) return sums;
  }
  return kNothing;
}

int64_t ClusterCapacity::usable_workers(const std::string& service) const {
  return SumsOf(service).usable_workers;
}

double ClusterCapacity::UsedShare(const std::string& service) const {
  const ServiceSums& sums = SumsOf(service);
  if (sums.total_accelerators == 0) return 1;
  return static_cast<double>(sums.used_accelerators) /
         static_cast<double>(sums.total_accelerators);
}

double ClusterCapacity::LowestUsedShare(const std::string& service) const {
  const ServiceSums& sums = SumsOf(service);
  if (sums.total_cpu_millis == 0) return UsedShare(service);
  const double cores = static_cast<double>(sums.used_cpu_millis) /
                       static_cast<double>(sums.total_cpu_millis);
  return std::min(cores, UsedShare(service));
}

Resources ClusterCapacity::FreeCapacity(const std::string& service) const {
  return SumsOf(service).free;
}

Resources ClusterCapacity::TotalCapacity(const std::string& service) const {
  return SumsOf(service).capacity;
}

std::vector<std::string> ClusterCapacity::Services() const {
  std::vector<std::string> names;
  names.reserve(services_.size());
  for (const ServiceSums& sums : services_) {
    names.push_back(sums.name);
  }
  return names;
}

double ClusterCapacity::UrgentWorkers(const std::string& service) const {
  return SumsOf(service).urgent_workers;
}

void ClusterCapacity::Reserve(const CapacityReservation& reservation) {
  ApplyReservation(reservation, /*reserve=*/true);
}

void ClusterCapacity::Release(const CapacityReservation& reservation) {
  ApplyReservation(reservation, /*reserve=*/false);
}

bool ClusterCapacity::AllUsable(const CapacityReservation& reservation) const {
  for (const auto& [id, tasks] : reservation.tasks_by_worker) {
    const std::optional<size_t> index = IndexOf(id);
    if (!index) return false;
    const WorkerCapacity& worker = workers_[*index];
    if (!worker.usable) return false;
    if (worker.withheld && reservation.priority != 0) return false;
  }
  return true;
}

void ClusterCapacity::ApplyReservation(const CapacityReservation& reservation,
                                       bool reserve) {
  for (const auto& [id, tasks] : reservation.tasks_by_worker) {
    const std::optional<size_t> index = IndexOf(id);
    if (!index) continue;
    ChangeFree(&workers_[*index],
               reservation.need * (reserve ? -tasks : tasks));
  }
}

void ClusterCapacity::Occupy(const std::string& id, const ReadyStep& step) {
  WorkerCapacity& worker = workers_[*IndexOf(id)];
  ServiceSums& sums = services_[static_cast<size_t>(worker.service)];
  const bool was_headroom = IsHeadroom(worker);
  ChangeFree(&worker, ReservedFor(*step.spec) * -1);
  worker.unproven = true;
  worker.on_probation = worker.on_probation || step.on_probation;
  worker.under_test = worker.under_test || worker.withheld;
  if (!step.urgent() && !step.spec->is_filler) {
    worker.lower_priority_work = true;
  }
  const double share = step.urgent() ? WorkerShare(ReservedFor(*step.spec),
                                                   worker.entry().capacity)
                                     : 0;
  worker.urgent_share += share;
  if (!was_headroom) return;
  if (shares_headroom_ && IsHeadroom(worker)) {
    sums.urgent_use_of_headroom += share;
    return;
  }
  --sums.empty_workers;
  sums.urgent_use_of_headroom -= worker.urgent_share - share;
}

bool ClusterCapacity::IsHeadroom(const WorkerCapacity& worker) const {
  if (worker.withheld) return false;
  if (!shares_headroom_) return worker.IsEmpty();
  return !worker.lower_priority_work && !worker.tracker->has_slow_hardware();
}

int64_t ClusterCapacity::EmptyWorkers(const std::string& service) const {
  const ServiceSums& sums = SumsOf(service);
  if (!shares_headroom_) return sums.empty_workers;
  const auto used =
      static_cast<int64_t>(std::ceil(sums.urgent_use_of_headroom));
  return sums.empty_workers - used;
}

bool ClusterCapacity::MayUse(const ReadyStep& step,
                             const WorkerCapacity& worker) const {
  return MeetsRequirements(step, worker) && IsApproved(step, worker);
}

bool ClusterCapacity::MayTest(const ReadyStep& step,
                              const WorkerCapacity& worker) const {
  return MeetsRequirementsOf(step, worker) && IsApproved(step, worker) &&
         !worker.tracker->room().IsOverdrawn();
}

bool ClusterCapacity::IsApproved(const ReadyStep& step,
                                 const WorkerCapacity& worker) const {
  if (!step.job->spec.policy.advice) return true;
  return advice_ != nullptr &&
         advice_->FindTicket(step.ref, worker.tracker->id(), now_).has_value();
}

std::vector<std::string> ClusterCapacity::CandidatesForAdvice(
    const ReadyStep& step) const {
  const Resources need = ReservedFor(*step.spec);
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  std::vector<std::pair<int64_t, const std::string*>> order;
  for (const WorkerCapacity& worker : workers_) {
    if (!MeetsRequirements(step, worker)) continue;
    if (need.TimesIn(worker.entry().capacity, 1) == 0) continue;
    const int64_t tasks = need.TimesIn(worker.free, waiting);
    // Workers without room are candidates as well: lower-priority runs there
    // can be evicted.
    const int64_t full = tasks == 0 ? kFullPenalty : 0;
    order.emplace_back(Score(step, worker, tasks) + full,
                       &worker.tracker->id());
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> workers;
  workers.reserve(order.size());
  for (const auto& [score, worker] : order) {
    workers.push_back(*worker);
  }
  return workers;
}

bool ClusterCapacity::MeetsRequirements(const ReadyStep& step,
                                        const WorkerCapacity& worker) const {
  // A test stays the only run there, also beside a start that is owed.
  const bool is_owed =
      step.passes.Contains(Preference::kProbation) && !worker.under_test;
  if (worker.withheld && !step.guaranteed && !is_owed) return false;
  return MeetsRequirementsOf(step, worker);
}

bool ClusterCapacity::MeetsRequirementsOf(const ReadyStep& step,
                                          const WorkerCapacity& worker) const {
  if (!worker.usable) return false;
  if (worker.entry().service != step.service()) return false;
  if (worker.on_probation) return false;
  if (step.on_probation && worker.unproven) return false;
  const bool alone =
      step.alone && !step.passes.Contains(Preference::kIsolation);
  if (alone && !worker.IsEmpty()) return false;
  const WorkerHealth& health = worker.tracker->health();
  const bool must_start = (step.guaranteed && health.compared()) ||
                          step.passes.Contains(Preference::kTrustedWorkers);
  if (step.failed_before && !must_start && health.IsSuspect(now_) &&
      MostAreTrusted()) {
    return false;
  }
  return HasLabel(worker.entry(), step.spec->required_label);
}

int64_t ClusterCapacity::RemainingTaskLimit(
    const ReadyStep& step, const WorkerTracker& tracker) const {
  if (step.spec->max_per_worker == 0) {
    return std::numeric_limits<int32_t>::max();
  }
  int64_t left = step.spec->max_per_worker;
  const auto& runs = tracker.runs();
  for (auto it = runs.lower_bound(TaskRef{step.ref, 0});
       it != runs.end() && it->first.step == step.ref; ++it) {
    --left;
  }
  return std::max<int64_t>(left, 0);
}

int64_t ClusterCapacity::Score(const ReadyStep& step,
                               const WorkerCapacity& worker,
                               int64_t tasks) const {
  const Resources need = ReservedFor(*step.spec);
  int64_t score = Weight(worker.free) - Weight(need) * tasks;
  if (step.spec->is_filler) score = -IdleCpuMillis(step, worker);
  // Prefers the worker where the least is lost if the task crashes it.
  if (step.on_probation) score = -Weight(worker.free);
  const std::string& rack = step.spec->data_rack;
  if (!rack.empty() && worker.entry().rack != rack) score += kFarRackPenalty;
  const WorkerHealth& health = worker.tracker->health();
  const bool doubtful =
      health.IsSuspect(now_) || health.WasSilentRecently(now_);
  if (doubtful) score += kSuspectPenalty;
  if (worker.tracker->IsSlowed()) score += kSlowPenalty;
  // Gangs, which run at the pace of their slowest member, and urgent steps get
  // fast workers; other steps leave those free.
  const bool wants_speed = step.spec->gang || step.urgent();
  const int64_t slowness = SlownessOf(worker);
  score += (wants_speed ? slowness : -slowness) * kSlownessStep;
  return score;
}

int64_t ClusterCapacity::IdleCpuMillis(const ReadyStep& step,
                                       const WorkerCapacity& worker) {
  return worker.free.cpu_millis -
         worker.filler_tasks * step.spec->need.cpu_millis;
}

// At least one: where no core is idle now, one may become idle at any time.
int64_t ClusterCapacity::MaxFillers(const ReadyStep& step,
                                    const WorkerCapacity& worker) {
  const int64_t each = std::max<int64_t>(step.spec->need.cpu_millis, 1);
  return std::max<int64_t>(IdleCpuMillis(step, worker) / each, 1);
}

std::vector<Slot> ClusterCapacity::FreeSlots(const ReadyStep& step) const {
  std::vector<Slot> slots;
  const Resources need = ReservedFor(*step.spec);
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  for (size_t i = 0; i < workers_.size(); ++i) {
    const WorkerCapacity& worker = workers_[i];
    // The room decides for most workers and is at hand; the tracker is not.
    int64_t tasks = worker.usable ? need.TimesIn(worker.free, waiting) : 0;
    if (tasks == 0) continue;
    if (!MayUse(step, worker) || worker.tracker->room().IsOverdrawn()) continue;
    tasks = std::min(tasks, RemainingTaskLimit(step, *worker.tracker));
    if (step.spec->is_filler) tasks = std::min(tasks, MaxFillers(step, worker));
    if (tasks <= 0) continue;
    slots.push_back({i, tasks, Score(step, worker, tasks), IsHeadroom(worker)});
  }
  return slots;
}

bool ClusterCapacity::Shrink(const ReadyStep& step, const Resources& held,
                             Slot* slot) const {
  const WorkerCapacity& worker = workers_[slot->worker];
  const Resources need = ReservedFor(*step.spec);
  const int64_t tasks = need.TimesIn(worker.free - held, slot->tasks);
  if (tasks == slot->tasks) return false;
  slot->tasks = tasks;
  slot->score = Score(step, worker, tasks);
  return true;
}

bool ClusterCapacity::IsNear(const ReadyStep& step, const Slot& slot) const {
  return workers_[slot.worker].entry().rack == step.spec->data_rack;
}

bool ClusterCapacity::AnyRackCanHold(const ReadyStep& step) const {
  const Resources need = ReservedFor(*step.spec);
  const auto members = static_cast<int64_t>(step.waiting.size());
  for (const std::vector<size_t>& rack : rack_members_) {
    int64_t tasks = 0;
    for (const size_t index : rack) {
      const WorkerCapacity& worker = workers_[index];
      // A probation is soon over: it must not make a gang spread.
      const bool may_use =
          MeetsRequirementsOf(step, worker) && IsApproved(step, worker);
      if (!may_use) continue;
      tasks += need.TimesIn(worker.entry().capacity, members);
      if (tasks >= members) return true;
    }
  }
  return false;
}

}  // namespace thornplank
