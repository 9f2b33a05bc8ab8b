// Goes through the classes of workers, from the lowest penalties on.
#include "workload/compact_fit.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace thornplank {
namespace {

// By class, then partly used workers before empty ones, then those that hold
// the most members.
bool ComesFirst(const Slot& a, const Slot& b) {
  const int64_t class_a = PenaltyClass(a.score);
  const int64_t class_b = PenaltyClass(b.score);
  return std::tie(class_a, a.empty, b.tasks, a.score, a.worker) <
         std::tie(class_b, b.empty, a.tasks, b.score, b.worker);
}

bool HoldsMore(const Slot& a, const Slot& b) {
  return std::tie(b.tasks, a.score, a.worker) <
         std::tie(a.tasks, b.score, b.worker);
}

// The workers of one class; each list is sorted by HoldsMore.
struct WorkerClass {
  std::vector<Slot> partly_used;
  // No more than may be used.
  std::vector<Slot> empty;

  int64_t Room() const;
};

int64_t RoomOf(const std::vector<Slot>& slots) {
  int64_t room = 0;
  for (const Slot& slot : slots) {
    room += slot.tasks;
  }
  return room;
}

int64_t WorkerClass::Room() const {
  return RoomOf(partly_used) + RoomOf(empty);
}

// How many workers of each kind to use, those first that hold the most.
struct WorkerCounts {
  size_t partly_used = 0;
  size_t empty = 0;
};

// Requires that the class has room for all members.
WorkerCounts FewestOf(const WorkerClass& workers, int64_t members) {
  WorkerCounts best;
  size_t fewest = std::numeric_limits<size_t>::max();
  size_t partly_used = workers.partly_used.size();
  int64_t room = RoomOf(workers.partly_used);
  for (size_t empty = 0; empty <= workers.empty.size(); ++empty) {
    if (empty > 0) room += workers.empty[empty - 1].tasks;
    while (partly_used > 0 &&
           room - workers.partly_used[partly_used - 1].tasks >= members) {
      room -= workers.partly_used[--partly_used].tasks;
    }
    if (room < members || empty + partly_used >= fewest) continue;
    fewest = empty + partly_used;
    best = {partly_used, empty};
  }
  return best;
}

// The slot that `members` fill best, of `slots` from index `first` on. Requires
// that the first of them holds the members.
Slot BestFit(const std::vector<Slot>& slots, size_t first, int64_t members,
             int64_t member_weight) {
  // Within a class, this sum differs by the free capacity.
  const auto free = [member_weight](const Slot& slot) {
    return slot.score + slot.tasks * member_weight;
  };
  Slot best = slots[first];
  for (size_t i = first + 1; i < slots.size(); ++i) {
    if (slots[i].tasks < members) break;
    if (free(slots[i]) < free(best)) best = slots[i];
  }
  return best;
}

void AppendFewest(const WorkerClass& workers, int64_t members,
                  int64_t member_weight, std::vector<Slot>* chosen) {
  const WorkerCounts counts = FewestOf(workers, members);
  const auto partly_used_end = workers.partly_used.begin() +
                               static_cast<std::ptrdiff_t>(counts.partly_used);
  const auto empty_end =
      workers.empty.begin() + static_cast<std::ptrdiff_t>(counts.empty);
  std::vector<Slot> fewest(workers.partly_used.begin(), partly_used_end);
  fewest.insert(fewest.end(), workers.empty.begin(), empty_end);
  std::sort(fewest.begin(), fewest.end(), HoldsMore);
  const bool last_is_empty = fewest.back().empty;
  fewest.pop_back();
  const int64_t remaining = members - RoomOf(fewest);
  // The last one is replaced by one of the same kind, so that no further empty
  // worker is used.
  fewest.push_back(
      last_is_empty
          ? BestFit(workers.empty, counts.empty - 1, remaining, member_weight)
          : BestFit(workers.partly_used, counts.partly_used - 1, remaining,
                    member_weight));
  chosen->insert(chosen->end(), fewest.begin(), fewest.end());
}

}  // namespace

std::vector<Slot> FewestWorkers(const CompactGang& gang,
                                std::vector<Slot> slots,
                                int64_t empty_workers) {
  // Most gangs that wait are refused here, before the sort.
  if (RoomOf(slots) < gang.members) return {};
  std::sort(slots.begin(), slots.end(), ComesFirst);
  std::vector<Slot> chosen;
  int64_t missing = gang.members;
  for (auto it = slots.begin(); it != slots.end();) {
    const int64_t penalty_class = PenaltyClass(it->score);
    WorkerClass workers;
    for (; it != slots.end() && PenaltyClass(it->score) == penalty_class;
         ++it) {
      if (!it->empty) {
        workers.partly_used.push_back(*it);
      } else if (static_cast<int64_t>(workers.empty.size()) < empty_workers) {
        workers.empty.push_back(*it);
      }
    }
    const int64_t room = workers.Room();
    if (room >= missing) {
      AppendFewest(workers, missing, gang.member_weight, &chosen);
      return chosen;
    }
    missing -= room;
    empty_workers -= static_cast<int64_t>(workers.empty.size());
    chosen.insert(chosen.end(), workers.partly_used.begin(),
                  workers.partly_used.end());
    chosen.insert(chosen.end(), workers.empty.begin(), workers.empty.end());
  }
  return {};
}

}  // namespace thornplank
