// The room on every worker during one round of placement.
//
// Room shrinks as the round places tasks and keeps room for steps that others
// gave way to; which workers a step may use is decided here as well.
#ifndef THORNPLANK_WORKLOAD_CLUSTER_ROOMS_H_
#define THORNPLANK_WORKLOAD_CLUSTER_ROOMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "workload/advice_cache.h"
#include "workload/open_step.h"
#include "workload/resources.h"
#include "workload/worker_tracker.h"

namespace thornplank {

struct WorkerRoom {
  const WorkerTracker* tracker = nullptr;
  // Free, not kept for anyone.
  Resources room;
  // What runs that are being stopped will free.
  Resources coming;
  // Tasks here that fill.
  int64_t filling = 0;
  // May be given new tasks.
  bool usable = false;
  // A run here has not been seen at work yet.
  bool unproven = false;
  // So it is with a run on probation: if the worker crashes now, it shall be
  // known under what, and nothing else shall be lost.
  bool on_probation = false;

  const WorkerRegistration& worker() const { return tracker->registration(); }
  bool IsEmpty() const;
};

// Room for some tasks of a step on one worker.
struct Slot {
  // Index of the worker's room.
  size_t worker = 0;
  int64_t tasks = 0;
  // Smaller is better: a tight fit near the data on a trusted worker.
  int64_t score = 0;
  // Nothing runs there.
  bool empty = false;
};

inline bool HasLessScore(const Slot& a, const Slot& b) {
  return a.score < b.score;
}

// Room that is kept for a step until it starts there.
struct RoomReservation {
  std::map<std::string, int> tasks_by_worker;
  // Of one task.
  Resources need;
  Time made{};
  Time until{};
};

// A core's worth of an accelerator, as the users price it.
inline constexpr int64_t kMillisPerAccelerator = 8000;
inline int64_t Weight(const Resources& need) {
  return need.cpu_millis + need.accelerators * kMillisPerAccelerator;
}

// What a rack other than the data's costs beside a tighter fit: more than any
// gap.
inline constexpr int64_t kFarPenalty = int64_t{1} << 30;

// What one task of the step takes off a worker's room.
Resources ReservedFor(const StepSpec& step);

class ClusterRooms {
 public:
  // `advice` may be null; both outlive this object.
  ClusterRooms(const std::map<std::string, WorkerTracker>& workers,
               const AdviceCache* advice, Time now);

  const std::vector<WorkerRoom>& rooms() const { return rooms_; }
  WorkerRoom& room(size_t index) { return rooms_[index]; }
  const WorkerRoom& room(size_t index) const { return rooms_[index]; }
  int64_t usable_workers(const std::string& service) const;
  // Accelerators in use by urgent runs of the account.
  int64_t UrgentUse(const std::string& account) const;
  // The share of the service's accelerators that is not free.
  double UsedShare(const std::string& service) const;
  // The same of its cores, where that is less.
  double LeastUsedShare(const std::string& service) const;
  // Of the workers of the service that may be given new tasks.
  Resources FreeRoom(const std::string& service) const;
  Resources Capacity(const std::string& service) const;

  void Keep(const RoomReservation& reservation);
  void GiveBack(const RoomReservation& reservation);
  // A task of the step was placed.
  void Occupy(const std::string& worker, const OpenStep& step);

  bool IsEligible(const OpenStep& step, const WorkerRoom& room) const;
  // The same but for the advice that the step may need.
  bool IsSuited(const OpenStep& step, const WorkerRoom& room) const;
  // Workers to seek advice about for the step, the best first.
  std::vector<std::string> CandidatesForAdvice(const OpenStep& step) const;
  // Where tasks of the step fit.
  std::vector<Slot> FreeSlots(const OpenStep& step) const;
  // Workers of the service that may be given tasks and on which nothing runs.
  int64_t EmptyWorkers(const std::string& service) const {
    return SumsOf(service).empty_workers;
  }
  // How many more tasks of the step its own bound lets the worker have.
  int64_t BoundLeft(const OpenStep& step, const WorkerTracker& worker) const;
  bool IsNear(const OpenStep& step, const Slot& slot) const;
  // Whether a whole rack, empty, has room for all tasks that wait.
  bool SomeRackCanHold(const OpenStep& step) const;

 private:
  // Work of one service cannot use what is free for another.
  struct ServiceSums {
    int64_t usable_workers = 0;
    int64_t empty_workers = 0;
    int64_t total_accelerators = 0;
    int64_t used_accelerators = 0;
    int64_t total_cpu_millis = 0;
    int64_t used_cpu_millis = 0;
  };

  void Add(const WorkerTracker& tracker, Time now);
  const ServiceSums& SumsOf(const std::string& service) const;
  bool MostAreTrusted() const { return suspects_ * 2 < usable_workers_; }
  int64_t Score(const OpenStep& step, const WorkerRoom& room,
                int64_t tasks) const;
  // Idle cores that tasks of the step, which fills, would find.
  static int64_t IdleFor(const OpenStep& step, const WorkerRoom& room);
  static int64_t FillersThatFit(const OpenStep& step, const WorkerRoom& room);
  void Change(const RoomReservation& reservation, bool keep);

  const AdviceCache* const advice_;
  const Time now_;
  std::vector<WorkerRoom> rooms_;
  // Of rooms_, by the worker's id.
  std::map<std::string, size_t> index_;
  std::map<std::string, int64_t> urgent_use_;
  int64_t usable_workers_ = 0;
  int64_t suspects_ = 0;
  std::map<std::string, ServiceSums> services_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_CLUSTER_ROOMS_H_
