// Sums and conditions over workers.
#include "workload/cluster_rooms.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thornplank {
namespace {

// Keeps workers under suspicion for when nothing else has room.
constexpr int64_t kSuspectPenalty = int64_t{1} << 32;
constexpr int64_t kSlowPenalty = int64_t{1} << 31;
// For each tenth of the usual time that a worker takes longer: more than any
// gap, since a gang works at the pace of its slowest member.
constexpr int64_t kSlownessStep = int64_t{1} << 21;
// Asked about last.
constexpr int64_t kFullPenalty = int64_t{1} << 33;

// Tenths of the usual time that a task takes longer there for good.
int64_t SlownessOf(const WorkerRoom& room) {
  constexpr double kTenths = 10;
  return std::lround(kTenths / room.tracker->steady_speed() - kTenths);
}

bool HasLabel(const WorkerRegistration& worker, const std::string& label) {
  if (label.empty()) return true;
  const auto& labels = worker.labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

}  // namespace

bool WorkerRoom::IsEmpty() const {
  const Resources& all = worker().capacity;
  return room.accelerators == all.accelerators &&
         room.cpu_millis == all.cpu_millis;
}

Resources ReservedFor(const StepSpec& step) {
  Resources need = step.need;
  if (step.is_filler) need.cpu_millis = 0;
  return need;
}

ClusterRooms::ClusterRooms(const std::map<std::string, WorkerTracker>& workers,
                           const AdviceCache* advice, Time now)
    : advice_(advice), now_(now) {
  for (const auto& [id, tracker] : workers) {
    index_[id] = rooms_.size();
    Add(tracker, now);
  }
}

void ClusterRooms::Add(const WorkerTracker& tracker, Time now) {
  WorkerRoom room;
  room.tracker = &tracker;
  room.room = tracker.room();
  room.usable = tracker.availability(now) == WorkerAvailability::kUsable;
  for (const auto& [task, run] : tracker.runs()) {
    const RunProfile& profile = run.profile;
    if (run.stop_wanted) room.coming += profile.need;
    if (profile.is_filler) ++room.filling;
    const bool unproven = !run.is_proven(now);
    room.unproven = room.unproven || unproven;
    room.on_probation = room.on_probation || (unproven && profile.on_probation);
    if (profile.priority != 0) continue;
    urgent_use_[profile.account] += profile.need.accelerators;
  }
  const int64_t total = tracker.registration().capacity.accelerators;
  ServiceSums& sums = services_[tracker.registration().service];
  sums.total_accelerators += total;
  sums.used_accelerators += total - room.room.accelerators;
  const int64_t cores = tracker.registration().capacity.cpu_millis;
  sums.total_cpu_millis += cores;
  sums.used_cpu_millis += cores - room.room.cpu_millis;
  if (room.usable) ++usable_workers_;
  if (room.usable && tracker.trust().suspect()) ++suspects_;
  if (room.usable) ++sums.usable_workers;
  if (room.usable && room.IsEmpty()) ++sums.empty_workers;
  rooms_.push_back(room);
}

int64_t ClusterRooms::UrgentUse(const std::string& account) const {
  const auto use = urgent_use_.find(account);
  return use == urgent_use_.end() ? 0 : use->second;
}

const ClusterRooms::ServiceSums& ClusterRooms::SumsOf(
    const std::string& service) const {
  static const ServiceSums kNothing;
  const auto sums = services_.find(service);
  return sums == services_.end() ? kNothing : sums->second;
}

int64_t ClusterRooms::usable_workers(const std::string& service) const {
  return SumsOf(service).usable_workers;
}

double ClusterRooms::UsedShare(const std::string& service) const {
  const ServiceSums& sums = SumsOf(service);
  if (sums.total_accelerators == 0) return 1;
  return static_cast<double>(sums.used_accelerators) /
         static_cast<double>(sums.total_accelerators);
}

double ClusterRooms::LeastUsedShare(const std::string& service) const {
  const ServiceSums& sums = SumsOf(service);
  if (sums.total_cpu_millis == 0) return UsedShare(service);
  const double cores = static_cast<double>(sums.used_cpu_millis) /
                       static_cast<double>(sums.total_cpu_millis);
  return std::min(cores, UsedShare(service));
}

Resources ClusterRooms::FreeRoom(const std::string& service) const {
  Resources sum;
  for (const WorkerRoom& room : rooms_) {
    if (room.worker().service != service) continue;
    // What is kept for someone may be more than what is free yet.
    if (room.usable) sum += Most(room.room, Resources());
  }
  return sum;
}

Resources ClusterRooms::Capacity(const std::string& service) const {
  Resources sum;
  for (const WorkerRoom& room : rooms_) {
    if (room.worker().service != service) continue;
    if (room.usable) sum += room.worker().capacity;
  }
  return sum;
}

void ClusterRooms::Keep(const RoomReservation& reservation) {
  Change(reservation, /*keep=*/true);
}

void ClusterRooms::GiveBack(const RoomReservation& reservation) {
  Change(reservation, /*keep=*/false);
}

void ClusterRooms::Change(const RoomReservation& reservation, bool keep) {
  for (const auto& [worker, tasks] : reservation.tasks_by_worker) {
    const auto it = index_.find(worker);
    if (it == index_.end()) continue;
    Resources& room = rooms_[it->second].room;
    for (int i = 0; i < tasks; ++i) {
      if (keep) {
        room -= reservation.need;
      } else {
        room += reservation.need;
      }
    }
  }
}

void ClusterRooms::Occupy(const std::string& worker, const OpenStep& step) {
  WorkerRoom& room = rooms_[index_.at(worker)];
  if (room.IsEmpty()) --services_[room.worker().service].empty_workers;
  room.room -= ReservedFor(*step.spec);
  room.unproven = true;
  room.on_probation = room.on_probation || step.on_probation;
}

bool ClusterRooms::IsEligible(const OpenStep& step,
                              const WorkerRoom& room) const {
  if (!IsSuited(step, room)) return false;
  if (!step.job->spec.policy.advice) return true;
  return advice_ != nullptr &&
         advice_->FindTicket(step.ref, room.tracker->id(), now_).has_value();
}

std::vector<std::string> ClusterRooms::CandidatesForAdvice(
    const OpenStep& step) const {
  const Resources need = ReservedFor(*step.spec);
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  std::vector<std::pair<int64_t, const std::string*>> order;
  for (const WorkerRoom& room : rooms_) {
    if (!IsSuited(step, room)) continue;
    if (need.TimesIn(room.worker().capacity, 1) == 0) continue;
    const int64_t tasks = need.TimesIn(room.room, waiting);
    // Those without room may be asked about as well: others can give way.
    const int64_t full = tasks == 0 ? kFullPenalty : 0;
    order.emplace_back(Score(step, room, tasks) + full, &room.tracker->id());
  }
  std::sort(order.begin(), order.end());
  std::vector<std::string> workers;
  workers.reserve(order.size());
  for (const auto& [score, worker] : order) {
    workers.push_back(*worker);
  }
  return workers;
}

bool ClusterRooms::IsSuited(const OpenStep& step,
                            const WorkerRoom& room) const {
  if (!room.usable) return false;
  if (room.worker().service != step.service()) return false;
  if (room.on_probation) return false;
  if (step.on_probation && room.unproven) return false;
  if (step.failed_before && room.tracker->trust().suspect() &&
      MostAreTrusted()) {
    return false;
  }
  return HasLabel(room.worker(), step.spec->required_label);
}

int64_t ClusterRooms::BoundLeft(const OpenStep& step,
                                const WorkerTracker& worker) const {
  if (step.spec->max_per_worker == 0) {
    return std::numeric_limits<int32_t>::max();
  }
  int64_t left = step.spec->max_per_worker;
  const auto& runs = worker.runs();
  for (auto it = runs.lower_bound(TaskRef{step.ref, 0});
       it != runs.end() && it->first.step == step.ref; ++it) {
    --left;
  }
  return std::max<int64_t>(left, 0);
}

int64_t ClusterRooms::Score(const OpenStep& step, const WorkerRoom& room,
                            int64_t tasks) const {
  const Resources need = ReservedFor(*step.spec);
  int64_t score = Weight(room.room) - Weight(need) * tasks;
  if (step.spec->is_filler) score = -IdleFor(step, room);
  // Where the least is lost if it takes the worker down.
  if (step.on_probation) score = -Weight(room.room);
  const std::string& rack = step.spec->data_rack;
  if (!rack.empty() && room.worker().rack != rack) score += kFarPenalty;
  const bool doubtful = room.tracker->trust().suspect() ||
                        room.tracker->trust().WasSilentLately(now_);
  if (doubtful) score += kSuspectPenalty;
  if (room.tracker->speed() <= kSlowedSpeed) score += kSlowPenalty;
  // Fast workers for those whose slowest member decides, and for those in a
  // hurry; the others leave them free.
  const bool wants_speed = step.spec->gang || step.urgent();
  const int64_t slowness = SlownessOf(room);
  score += (wants_speed ? slowness : -slowness) * kSlownessStep;
  return score;
}

int64_t ClusterRooms::IdleFor(const OpenStep& step, const WorkerRoom& room) {
  return room.room.cpu_millis - room.filling * step.spec->need.cpu_millis;
}

// At least one: where no core is idle now, one may be in a moment.
int64_t ClusterRooms::FillersThatFit(const OpenStep& step,
                                     const WorkerRoom& room) {
  const int64_t each = std::max<int64_t>(step.spec->need.cpu_millis, 1);
  return std::max<int64_t>(IdleFor(step, room) / each, 1);
}

std::vector<Slot> ClusterRooms::FreeSlots(const OpenStep& step) const {
  std::vector<Slot> slots;
  const Resources need = ReservedFor(*step.spec);
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  for (size_t i = 0; i < rooms_.size(); ++i) {
    const WorkerRoom& room = rooms_[i];
    if (!IsEligible(step, room) || room.tracker->room().IsOverdrawn()) continue;
    const int64_t bound = BoundLeft(step, *room.tracker);
    int64_t tasks = std::min(bound, need.TimesIn(room.room, waiting));
    if (step.spec->is_filler)
      tasks = std::min(tasks, FillersThatFit(step, room));
    if (tasks <= 0) continue;
    slots.push_back({i, tasks, Score(step, room, tasks), room.IsEmpty()});
  }
  return slots;
}

bool ClusterRooms::IsNear(const OpenStep& step, const Slot& slot) const {
  return rooms_[slot.worker].worker().rack == step.spec->data_rack;
}

bool ClusterRooms::SomeRackCanHold(const OpenStep& step) const {
  std::map<std::string, int64_t> tasks;
  const Resources need = ReservedFor(*step.spec);
  const auto members = static_cast<int64_t>(step.waiting.size());
  for (const WorkerRoom& room : rooms_) {
    if (!IsEligible(step, room)) continue;
    int64_t& sum = tasks[room.worker().rack];
    sum += need.TimesIn(room.worker().capacity, members);
    if (sum >= members) return true;
  }
  return false;
}

}  // namespace thornplank
