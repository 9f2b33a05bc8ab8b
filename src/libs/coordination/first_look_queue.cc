// Two queues that take turns.
#include "coordination/first_look_queue.h"

#include <algorithm>
#include <utility>

namespace thornplank {

void FirstLookQueue::AddWithRuns(const std::string& worker) {
  if (waiting_.insert(worker).second) with_runs_.push_back(worker);
}

void FirstLookQueue::AddIdle(const std::string& worker,
                             const std::string& failure_domain,
                             const std::string& rack) {
  if (!waiting_.insert(worker).second) return;
  if (released_) return idle_.push_back(worker);
  held_back_[failure_domain][rack].push_back(worker);
}

void FirstLookQueue::ReleaseIdle() {
  if (std::exchange(released_, true)) return;
  // The first rack of each failure domain, then the second of each.
  std::vector<std::vector<const std::vector<std::string>*>> rounds;
  for (const auto& [domain, racks] : held_back_) {
    size_t position = 0;
    for (const auto& [rack, workers] : racks) {
      if (rounds.size() <= position) rounds.emplace_back();
      rounds[position++].push_back(&workers);
    }
  }
  for (const auto& racks : rounds) {
    for (const std::vector<std::string>* workers : racks) {
      idle_.insert(idle_.end(), workers->begin(), workers->end());
    }
  }
  held_back_.clear();
}

std::string FirstLookQueue::PopFrom(std::deque<std::string>* queue) {
  while (!queue->empty()) {
    std::string worker = std::move(queue->front());
    queue->pop_front();
    if (waiting_.erase(worker) > 0) return worker;
  }
  return "";
}

std::vector<std::string> FirstLookQueue::Take() {
  std::vector<std::string> taken;
  while (pending_ < settings_.max_pending) {
    auto* first = idle_is_next_ ? &idle_ : &with_runs_;
    auto* second = idle_is_next_ ? &with_runs_ : &idle_;
    idle_is_next_ = !idle_is_next_;
    std::string worker = PopFrom(first);
    if (worker.empty()) worker = PopFrom(second);
    if (worker.empty()) break;
    taken.push_back(std::move(worker));
    ++pending_;
  }
  return taken;
}

void FirstLookQueue::OnAnswered() { pending_ = std::max(pending_ - 1, 0); }

}  // namespace thornplank
