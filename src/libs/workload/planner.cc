// One round of placement.
#include "workload/planner.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "workload/eviction.h"
#include "workload/open_step.h"

namespace thornplank {
namespace {

// A core's worth of an accelerator, as the users price it.
constexpr int64_t kMillisPerAccelerator = 8000;
// Keeps workers under suspicion for when nothing else has room.
constexpr int64_t kSuspectPenalty = int64_t{1} << 32;
// Below it a worker is slowed; sound ones differ by 0.8 to 1.25.
constexpr double kSlowSpeed = 0.5;
constexpr int64_t kSlowPenalty = int64_t{1} << 31;
// A rack other than the data's costs more than any gap.
constexpr int64_t kFarPenalty = int64_t{1} << 30;
// An urgent gang that finds no room on one rack, even by taking it from others,
// spreads after this long; it must begin within 2.9 s (published bound).
constexpr Milliseconds kUrgentRackPatience{1200};
// Below this use, a start away from its rack keeps nobody else waiting.
constexpr double kIdleShare = 0.45;

int64_t Weight(const Resources& need) {
  return need.cpu_millis + need.accelerators * kMillisPerAccelerator;
}

// Counts of a step's room on one worker.
struct Slot {
  size_t worker = 0;
  int64_t tasks = 0;
  int64_t score = 0;
};

bool LessScore(const Slot& a, const Slot& b) { return a.score < b.score; }

}  // namespace

class Planner::Round {
 public:
  Round(Planner* planner, const PlanInputs& inputs)
      : planner_(*planner), inputs_(inputs) {}

  Plan Run() {
    CollectWorkers();
    steps_ = CollectOpenSteps(*inputs_.ledger, inputs_.wall_now);
    NoteUrgentSteps();
    DropReservations();
    for (const OpenStep& step : steps_) {
      PlaceStep(step);
    }
    return std::move(plan_);
  }

 private:
  struct WorkerRoom {
    const WorkerTracker* tracker = nullptr;
    // Free, not kept for anyone.
    Resources room;
    // What runs that are being stopped will free.
    Resources coming;
    bool usable = false;

    bool IsEmpty() const {
      const Resources& all = tracker->registration().capacity;
      return room.accelerators == all.accelerators &&
             room.cpu_millis == all.cpu_millis;
    }
  };

  void CollectWorkers() {
    for (const auto& [id, tracker] : *inputs_.workers) {
      WorkerRoom room;
      room.tracker = &tracker;
      room.room = tracker.room();
      room.usable = tracker.synchronized() && tracker.reachable() &&
                    !tracker.missing() && !tracker.registration().draining &&
                    !tracker.Quarantined(inputs_.now);
      for (const auto& [task, run] : tracker.runs()) {
        if (run.stop_wanted) room.coming += run.profile.need;
        CountUse(run);
      }
      const int64_t total = tracker.registration().capacity.accelerators;
      total_accelerators_ += total;
      used_accelerators_ += total - room.room.accelerators;
      if (room.usable) ++usable_workers_;
      if (room.usable && tracker.suspect()) ++suspects_;
      if (room.usable && room.IsEmpty()) ++empty_workers_;
      index_[id] = rooms_.size();
      rooms_.push_back(room);
    }
    for (const auto& [ref, reservation] : planner_.reservations_) {
      Keep(reservation);
    }
  }

  void CountUse(const TrackedRun& run) {
    if (run.profile.priority != 0) return;
    urgent_use_[run.profile.account] += run.profile.need.accelerators;
  }

  void Keep(const Reservation& reservation) {
    for (const auto& [worker, tasks] : reservation.tasks_by_worker) {
      const auto it = index_.find(worker);
      if (it == index_.end()) continue;
      for (int i = 0; i < tasks; ++i) {
        rooms_[it->second].room -= reservation.need;
      }
    }
  }

  void GiveBack(const Reservation& reservation) {
    for (const auto& [worker, tasks] : reservation.tasks_by_worker) {
      const auto it = index_.find(worker);
      if (it == index_.end()) continue;
      for (int i = 0; i < tasks; ++i) {
        rooms_[it->second].room += reservation.need;
      }
    }
  }

  void NoteUrgentSteps() {
    const bool urgent =
        std::any_of(steps_.begin(), steps_.end(),
                    [](const OpenStep& step) { return step.urgent(); });
    if (urgent) planner_.last_urgent_ = inputs_.now;
  }

  void DropReservations() {
    std::set<StepRef> open;
    for (const OpenStep& step : steps_) {
      open.insert(step.ref);
    }
    auto& reservations = planner_.reservations_;
    for (auto it = reservations.begin(); it != reservations.end();) {
      const auto current = it++;
      const bool kept =
          open.count(current->first) > 0 && current->second.until > inputs_.now;
      if (kept) continue;
      GiveBack(current->second);
      reservations.erase(current);
    }
  }

  void PlaceStep(const OpenStep& step) {
    auto& reservations = planner_.reservations_;
    const auto own = reservations.find(step.ref);
    if (own != reservations.end()) GiveBack(own->second);
    const bool placed = step.spec->gang ? PlaceGang(step) : PlaceSingles(step);
    if (own != reservations.end()) {
      if (placed) {
        plan_.starts.back().room_taken = own->second.made;
        reservations.erase(own);
      } else {
        Keep(own->second);
      }
      return;
    }
    if (!placed && step.urgent()) MakeRoom(step);
  }

  bool IsEligible(const OpenStep& step, const WorkerRoom& room) const {
    if (!room.usable) return false;
    const WorkerRegistration& worker = room.tracker->registration();
    if (worker.service != step.job->spec.policy.service) return false;
    if (step.failed_before && room.tracker->suspect() && MostAreTrusted()) {
      return false;
    }
    const std::string& label = step.spec->required_label;
    if (!label.empty() && std::find(worker.labels.begin(), worker.labels.end(),
                                    label) == worker.labels.end()) {
      return false;
    }
    return true;
  }

  bool MostAreTrusted() const { return suspects_ * 2 < usable_workers_; }

  // Whether the step has waited long enough to run away from its data.
  bool MayLeaveRack(const OpenStep& step) const {
    const auto waited = std::chrono::duration_cast<Milliseconds>(
        inputs_.now - step.job->known_since);
    if (step.urgent()) return waited > kUrgentRackPatience;
    // Away from its rack it takes three times the room that others need.
    return waited > planner_.settings_.rack_patience && IsClusterIdle();
  }

  bool IsClusterIdle() const {
    return static_cast<double>(used_accelerators_) <
           kIdleShare * static_cast<double>(total_accelerators_);
  }

  // How many more tasks of the step its bound lets a worker have.
  int64_t BoundLeft(const OpenStep& step, const WorkerTracker& worker) const {
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

  Resources Reserved(const OpenStep& step) const {
    Resources need = step.spec->need;
    if (step.spec->fills) need.cpu_millis = 0;
    return need;
  }

  // Smaller is better: a tight fit near the data on a trusted worker.
  int64_t Score(const OpenStep& step, const WorkerRoom& room,
                int64_t tasks) const {
    const Resources need = Reserved(step);
    int64_t score = Weight(room.room) - Weight(need) * tasks;
    const WorkerRegistration& worker = room.tracker->registration();
    const std::string& rack = step.spec->data_rack;
    if (!rack.empty() && worker.rack != rack) score += kFarPenalty;
    if (room.tracker->suspect()) score += kSuspectPenalty;
    if (room.tracker->speed() < kSlowSpeed) score += kSlowPenalty;
    return score;
  }

  // Workers kept empty for urgent jobs to come.
  int64_t Headroom() const {
    if (!planner_.ExpectsUrgent(inputs_.now)) return 0;
    return static_cast<int64_t>(planner_.settings_.headroom *
                                static_cast<double>(usable_workers_));
  }

  std::vector<Slot> FreeSlots(const OpenStep& step) const {
    std::vector<Slot> slots;
    const Resources need = Reserved(step);
    int64_t empty_left = empty_workers_ - (step.urgent() ? 0 : Headroom());
    for (size_t i = 0; i < rooms_.size(); ++i) {
      const WorkerRoom& room = rooms_[i];
      if (!IsEligible(step, room)) continue;
      if (room.IsEmpty() && empty_left-- <= 0) continue;
      const int64_t bound = BoundLeft(step, *room.tracker);
      const int64_t tasks = std::min(
          bound,
          need.TimesIn(room.room, static_cast<int64_t>(step.waiting.size())));
      if (tasks <= 0) continue;
      slots.push_back({i, tasks, Score(step, room, tasks)});
    }
    return slots;
  }

  bool PlaceSingles(const OpenStep& step) {
    std::vector<Slot> slots = FreeSlots(step);
    const bool near_only = !step.spec->data_rack.empty() && !MayLeaveRack(step);
    std::vector<JobLedger::Assignment> chosen;
    std::sort(slots.begin(), slots.end(), LessScore);
    for (const Slot& slot : slots) {
      if (near_only && !IsNear(step, slot)) continue;
      Take(step, slot, &chosen);
      if (chosen.size() == step.waiting.size()) break;
    }
    const bool all = chosen.size() == step.waiting.size();
    if (!chosen.empty()) Start(step, std::move(chosen), "best fit");
    return all;
  }

  bool IsNear(const OpenStep& step, const Slot& slot) const {
    const auto& worker = rooms_[slot.worker].tracker->registration();
    return worker.rack == step.spec->data_rack;
  }

  // Takes what the slot has, as far as tasks are left.
  void Take(const OpenStep& step, const Slot& slot,
            std::vector<JobLedger::Assignment>* chosen) {
    for (int64_t i = 0; i < slot.tasks; ++i) {
      if (chosen->size() == step.waiting.size()) return;
      const int index = step.waiting[chosen->size()];
      chosen->push_back({index, rooms_[slot.worker].tracker->id()});
    }
  }

  bool PlaceGang(const OpenStep& step) {
    const std::vector<Slot> slots = FreeSlots(step);
    const bool one_rack = step.spec->same_rack && SomeRackCanHold(step);
    if (one_rack) {
      if (PlaceOnOneRack(step, slots)) return true;
      if (!MayLeaveRack(step)) return false;
    }
    return PlaceAnywhere(step, slots);
  }

  // Whether a whole rack, empty, has room for all members.
  bool SomeRackCanHold(const OpenStep& step) const {
    std::map<std::string, int64_t> tasks;
    const Resources need = Reserved(step);
    const auto members = static_cast<int64_t>(step.waiting.size());
    for (const WorkerRoom& room : rooms_) {
      if (!IsEligible(step, room)) continue;
      const WorkerRegistration& worker = room.tracker->registration();
      int64_t& sum = tasks[worker.rack];
      sum += need.TimesIn(worker.capacity, members);
      if (sum >= members) return true;
    }
    return false;
  }

  bool PlaceOnOneRack(const OpenStep& step, const std::vector<Slot>& slots) {
    std::map<std::string, std::vector<Slot>> racks;
    for (const Slot& slot : slots) {
      racks[rooms_[slot.worker].tracker->registration().rack].push_back(slot);
    }
    const bool near_only = !step.spec->data_rack.empty() && !MayLeaveRack(step);
    std::vector<Slot>* best = nullptr;
    int64_t best_score = 0;
    for (auto& [rack, members] : racks) {
      if (near_only && rack != step.spec->data_rack) continue;
      int64_t room = 0;
      int64_t score = rack == step.spec->data_rack ? -kFarPenalty : 0;
      std::sort(members.begin(), members.end(), LessScore);
      for (const Slot& slot : members) {
        if (room >= static_cast<int64_t>(step.waiting.size())) break;
        room += slot.tasks;
        score += slot.score;
      }
      if (room < static_cast<int64_t>(step.waiting.size())) continue;
      if (best != nullptr && score >= best_score) continue;
      best = &members;
      best_score = score;
    }
    if (best == nullptr) return false;
    return StartGang(step, std::move(*best), "gang on one rack");
  }

  bool PlaceAnywhere(const OpenStep& step, std::vector<Slot> slots) {
    int64_t room = 0;
    const bool near_only = !step.spec->data_rack.empty() && !MayLeaveRack(step);
    if (near_only) {
      slots.erase(std::remove_if(slots.begin(), slots.end(),
                                 [this, &step](const Slot& slot) {
                                   return !IsNear(step, slot);
                                 }),
                  slots.end());
    }
    for (const Slot& slot : slots) {
      room += slot.tasks;
    }
    if (room < static_cast<int64_t>(step.waiting.size())) return false;
    return StartGang(step, std::move(slots), "gang over racks");
  }

  bool StartGang(const OpenStep& step, std::vector<Slot> slots,
                 std::string reason) {
    std::sort(slots.begin(), slots.end(), LessScore);
    std::vector<JobLedger::Assignment> chosen;
    for (const Slot& slot : slots) {
      Take(step, slot, &chosen);
    }
    if (chosen.size() < step.waiting.size()) return false;
    Start(step, std::move(chosen), std::move(reason));
    return true;
  }

  void Start(const OpenStep& step, std::vector<JobLedger::Assignment> chosen,
             std::string reason) {
    const Resources need = Reserved(step);
    for (const JobLedger::Assignment& assignment : chosen) {
      WorkerRoom& room = rooms_[index_[assignment.worker]];
      if (room.IsEmpty()) --empty_workers_;
      room.room -= need;
    }
    plan_.starts.push_back(
        {step.ref, std::move(chosen), std::move(reason), std::nullopt});
  }

  // Takes room from others for an urgent step.
  void MakeRoom(const OpenStep& step) {
    std::vector<Eviction> all;
    std::map<std::string, std::vector<Eviction>> racks;
    const std::string& data_rack = step.spec->data_rack;
    const bool near_only = !data_rack.empty() && !MayLeaveRack(step);
    for (size_t i = 0; i < rooms_.size(); ++i) {
      if (!IsEligible(step, rooms_[i])) continue;
      const std::string& rack = rooms_[i].tracker->registration().rack;
      if (near_only && rack != data_rack) continue;
      for (Eviction& eviction : Evictions(step, i)) {
        racks[rack].push_back(eviction);
        all.push_back(std::move(eviction));
      }
    }
    const auto needed = static_cast<int64_t>(step.waiting.size());
    std::vector<Eviction> best;
    double best_cost = std::numeric_limits<double>::max();
    if (step.spec->gang && step.spec->same_rack && SomeRackCanHold(step)) {
      for (auto& [rack, evictions] : racks) {
        double cost = 0;
        std::vector<Eviction> chosen =
            CheapestEvictions(evictions, needed, &cost);
        if (chosen.empty() || cost >= best_cost) continue;
        best = std::move(chosen);
        best_cost = cost;
      }
      if (best.empty() && !MayLeaveRack(step)) return;
    }
    if (best.empty()) best = CheapestEvictions(all, needed, &best_cost);
    if (best.empty()) return;
    Evict(step, best);
  }

  // Ways to gain room on one worker, each building on the ones before it.
  std::vector<Eviction> Evictions(const OpenStep& step, size_t worker) const {
    const WorkerRoom& room = rooms_[worker];
    const Resources need = Reserved(step);
    const auto members = static_cast<int64_t>(step.waiting.size());
    const int64_t bound = BoundLeft(step, *room.tracker);
    std::vector<std::pair<double, const TrackedRun*>> victims;
    for (const auto& [task, run] : room.tracker->runs()) {
      if (run.stop_wanted || stopped_.count(task) > 0) continue;
      if (!MayGiveWay(step, run)) continue;
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

  bool MayGiveWay(const OpenStep& step, const TrackedRun& run) const {
    if (run.profile.long_running) return false;
    if (run.profile.priority > 0) return true;
    const std::string& account = step.job->spec.account;
    if (run.profile.account == account) return false;
    return IsWithinGuarantee(account, Accelerators(step)) &&
           !IsWithinGuarantee(run.profile.account, 0);
  }

  static int64_t Accelerators(const OpenStep& step) {
    return step.spec->need.accelerators *
           static_cast<int64_t>(step.waiting.size());
  }

  bool IsWithinGuarantee(const std::string& account, int64_t more) const {
    const auto guarantee = inputs_.guarantees->find(account);
    if (guarantee == inputs_.guarantees->end()) return false;
    const auto use = urgent_use_.find(account);
    const int64_t used = use == urgent_use_.end() ? 0 : use->second;
    return used + more <= guarantee->second;
  }

  // Work that is thrown away, with the rest of its gang.
  double Loss(const TrackedRun& run) const {
    const double seconds =
        std::chrono::duration<double>(run.unsaved(inputs_.now)).count();
    double members = 1;
    if (run.profile.gang) {
      const StepSpec* spec = inputs_.ledger->FindStepSpec(run.task.step);
      if (spec != nullptr) members = spec->count;
    }
    // A restart costs some time even where all is saved.
    constexpr double kRestartSeconds = 0.3;
    return (seconds + kRestartSeconds) * members *
           static_cast<double>(Weight(run.profile.need));
  }

  void Evict(const OpenStep& step, const std::vector<Eviction>& evictions) {
    Reservation reservation;
    reservation.need = Reserved(step);
    reservation.made = inputs_.now;
    reservation.until = inputs_.now + planner_.settings_.reservation_term;
    for (const Eviction& eviction : evictions) {
      WorkerRoom& room = rooms_[eviction.worker];
      reservation.tasks_by_worker[room.tracker->id()] +=
          static_cast<int>(eviction.gain);
      for (const TrackedRun* run : eviction.victims) {
        room.coming += run->profile.need;
        plan_.stops.push_back({room.tracker->id(), run->task, run->run,
                               "gives way to urgent " + step.ref.ToString()});
        stopped_.insert(run->task);
      }
    }
    Keep(reservation);
    planner_.reservations_[step.ref] = std::move(reservation);
  }

  Planner& planner_;
  const PlanInputs& inputs_;
  Plan plan_;
  std::vector<WorkerRoom> rooms_;
  std::map<std::string, size_t> index_;
  std::vector<OpenStep> steps_;
  // Accelerators in use by urgent runs, by account.
  std::map<std::string, int64_t> urgent_use_;
  int64_t usable_workers_ = 0;
  int64_t suspects_ = 0;
  int64_t empty_workers_ = 0;
  int64_t total_accelerators_ = 0;
  int64_t used_accelerators_ = 0;
  // Runs that this round has already told to stop.
  std::set<TaskRef> stopped_;
};

bool Planner::ExpectsUrgent(Time now) const {
  return last_urgent_ != Time{} && now - last_urgent_ < settings_.urgent_memory;
}

Plan Planner::Decide(const PlanInputs& inputs) {
  return Round(this, inputs).Run();
}

}  // namespace thornplank
