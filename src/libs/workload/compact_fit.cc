// Goes through the classes of workers, from the lowest penalties on. A gang
// takes few of many workers, so these are selected rather than all sorted: a
// sort of 6,000 workers for each gang made rounds longer by a third.
#include "workload/compact_fit.h"

#include <algorithm>
#include <limits>

namespace thornplank {
namespace {

bool HoldsMore(const Slot& a, const Slot& b) {
  if (a.tasks != b.tasks) return a.tasks > b.tasks;
  if (a.score != b.score) return a.score < b.score;
  return a.worker < b.worker;
}

std::ptrdiff_t Offset(size_t count) {
  return static_cast<std::ptrdiff_t>(count);
}

// Some of the slots of a gang, which are reordered in place.
using SlotIterator = std::vector<Slot>::iterator;

int64_t RoomOf(SlotIterator first, SlotIterator last) {
  int64_t room = 0;
  for (auto slot = first; slot != last; ++slot) {
    room += slot->tasks;
  }
  return room;
}

// Workers of one kind (partly used or empty) within a class.
struct WorkerKind {
  SlotIterator first;
  SlotIterator last;
  // How many of them may be used. Invariant after Limit(): these are the first
  // ones, and hold at least as much as any others.
  size_t limit = 0;

  SlotIterator usable_end() const { return first + Offset(limit); }
  void Limit(int64_t most) {
    const auto count = static_cast<size_t>(last - first);
    limit = std::min(count, static_cast<size_t>(std::max<int64_t>(most, 0)));
    if (limit == count) return;
    std::nth_element(first, usable_end(), last, HoldsMore);
  }
  int64_t Room() const { return RoomOf(first, usable_end()); }
  // Sorts as many as `members` members can need by HoldsMore.
  void SortFor(int64_t members) {
    limit = std::min(limit, static_cast<size_t>(members));
    // Faster for the few workers of a rack.
    if (usable_end() == last) return std::sort(first, last, HoldsMore);
    std::partial_sort(first, usable_end(), last, HoldsMore);
  }
  void AppendFirst(size_t count, std::vector<Slot>* chosen) const {
    chosen->insert(chosen->end(), first, first + Offset(count));
  }
};

struct WorkerClass {
  WorkerKind partly_used;
  WorkerKind empty;
};

// Moves the workers of the class with the lowest penalties to the front.
WorkerClass TakeLowestClass(SlotIterator first, SlotIterator last,
                            int64_t empty_workers) {
  int64_t lowest = std::numeric_limits<int64_t>::max();
  for (auto slot = first; slot != last; ++slot) {
    lowest = std::min(lowest, PenaltyClass(slot->score));
  }
  const auto class_end =
      std::partition(first, last, [lowest](const Slot& slot) {
        return PenaltyClass(slot.score) == lowest;
      });
  const auto first_empty = std::partition(
      first, class_end, [](const Slot& slot) { return !slot.empty; });
  WorkerClass workers{{first, first_empty}, {first_empty, class_end}};
  workers.partly_used.Limit(std::numeric_limits<int64_t>::max());
  workers.empty.Limit(empty_workers);
  return workers;
}

int64_t TasksOf(const WorkerKind& kind, size_t index) {
  return (kind.first + Offset(index))->tasks;
}

// How many workers of each kind to use, those first that hold the most.
struct WorkerCounts {
  size_t partly_used = 0;
  size_t empty = 0;
};

// Requires that the class has room for all members and is sorted for them.
WorkerCounts FewestOf(const WorkerClass& workers, int64_t members) {
  WorkerCounts best;
  size_t fewest = std::numeric_limits<size_t>::max();
  size_t partly_used = workers.partly_used.limit;
  int64_t room = workers.partly_used.Room();
  for (size_t empty = 0; empty <= workers.empty.limit; ++empty) {
    if (empty > 0) room += TasksOf(workers.empty, empty - 1);
    while (partly_used > 0 &&
           room - TasksOf(workers.partly_used, partly_used - 1) >= members) {
      room -= TasksOf(workers.partly_used, --partly_used);
    }
    if (room < members || empty + partly_used >= fewest) continue;
    fewest = empty + partly_used;
    best = {partly_used, empty};
  }
  return best;
}

// The slot that `members` fill best, of those from `first` on. Requires that
// the first of them holds the members.
Slot BestFit(SlotIterator first, SlotIterator last, int64_t members,
             int64_t member_weight) {
  // Within a class, this sum differs by the free capacity.
  const auto free = [member_weight](const Slot& slot) {
    return slot.score + slot.tasks * member_weight;
  };
  auto best = first;
  for (auto slot = first + 1; slot < last; ++slot) {
    if (slot->tasks < members) continue;
    const int64_t free_there = free(*slot);
    const int64_t free_at_best = free(*best);
    if (free_there < free_at_best ||
        (free_there == free_at_best && slot->worker < best->worker)) {
      best = slot;
    }
  }
  return *best;
}

void AppendFewest(WorkerClass workers, int64_t members, int64_t member_weight,
                  std::vector<Slot>* chosen) {
  workers.partly_used.SortFor(members);
  workers.empty.SortFor(members);
  const WorkerCounts counts = FewestOf(workers, members);
  const size_t begin = chosen->size();
  chosen->reserve(begin + counts.partly_used + counts.empty);
  workers.partly_used.AppendFirst(counts.partly_used, chosen);
  workers.empty.AppendFirst(counts.empty, chosen);
  const auto from = chosen->begin() + Offset(begin);
  std::inplace_merge(from, from + Offset(counts.partly_used), chosen->end(),
                     HoldsMore);
  int64_t remaining = members;
  for (size_t i = begin; i + 1 < chosen->size(); ++i) {
    remaining -= (*chosen)[i].tasks;
  }
  // The last one is replaced by one of the same kind, so that no further empty
  // worker is used.
  const bool last_is_empty = chosen->back().empty;
  const WorkerKind& kind = last_is_empty ? workers.empty : workers.partly_used;
  const size_t used = last_is_empty ? counts.empty : counts.partly_used;
  chosen->back() = BestFit(kind.first + Offset(used - 1), kind.last, remaining,
                           member_weight);
}

}  // namespace

std::vector<Slot> FewestWorkers(const CompactGang& gang,
                                std::vector<Slot> slots,
                                int64_t empty_workers) {
  // Most gangs that wait are refused here.
  if (RoomOf(slots.begin(), slots.end()) < gang.members) return {};
  std::vector<Slot> chosen;
  int64_t missing = gang.members;
  auto first = slots.begin();
  while (first != slots.end()) {
    const WorkerClass workers =
        TakeLowestClass(first, slots.end(), empty_workers);
    const int64_t room = workers.partly_used.Room() + workers.empty.Room();
    if (room >= missing) {
      AppendFewest(workers, missing, gang.member_weight, &chosen);
      return chosen;
    }
    missing -= room;
    empty_workers -= static_cast<int64_t>(workers.empty.limit);
    workers.partly_used.AppendFirst(workers.partly_used.limit, &chosen);
    workers.empty.AppendFirst(workers.empty.limit, &chosen);
    first = workers.empty.last;
  }
  return {};
}

}  // namespace thornplank
