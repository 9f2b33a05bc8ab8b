// Holding and dropping of answers.
#include "claims/answer_cache.h"

#include <utility>

namespace thornplank {
namespace {

// What an answer costs besides its strings.
constexpr size_t kSlotBytes = 200;

size_t CostOf(const UpstreamAnswer& answer) {
  return kSlotBytes + answer.content_type.size() + answer.body.size() +
         answer.executor.size();
}

}  // namespace

AnswerCache::AnswerCache(AnswerCacheLimits limits) : limits_(limits) {}

void AnswerCache::Put(const Digest128& key, UpstreamAnswer answer, Time now) {
  while (!order_.empty() &&
         answers_.at(order_.front()).since + limits_.max_age < now) {
    DropOldest();
  }
  const size_t cost = CostOf(answer);
  if (cost > limits_.max_bytes || answers_.count(key) > 0) return;
  while (bytes_ + cost > limits_.max_bytes) DropOldest();
  bytes_ += cost;
  answers_.emplace(key, Slot{std::move(answer), now});
  order_.push_back(key);
}

std::optional<UpstreamAnswer> AnswerCache::Find(const Digest128& key,
                                                Time now) const {
  const auto found = answers_.find(key);
  if (found == answers_.end()) return std::nullopt;
  if (found->second.since + limits_.max_age < now) return std::nullopt;
  return found->second.answer;
}

void AnswerCache::DropOldest() {
  const auto found = answers_.find(order_.front());
  bytes_ -= CostOf(found->second.answer);
  answers_.erase(found);
  order_.pop_front();
}

}  // namespace thornplank
