// Stores answers by key and evicts the oldest ones.
#include "claims/answer_cache.h"

#include <utility>

namespace thornplank {
namespace {

// Memory of a cached answer besides its strings.
constexpr size_t kOverheadBytes = 200;

size_t BytesOf(const UpstreamAnswer& answer) {
  return kOverheadBytes + answer.content_type.size() + answer.body.size() +
         answer.executor.size();
}

}  // namespace

AnswerCache::AnswerCache(AnswerCacheLimits limits) : limits_(limits) {}

void AnswerCache::Put(const Digest128& key, UpstreamAnswer answer, Time now) {
  while (!insertion_order_.empty() &&
         answers_.at(insertion_order_.front()).stored_at + limits_.max_age <
             now) {
    EvictOldest();
  }
  const size_t answer_bytes = BytesOf(answer);
  if (answer_bytes > limits_.max_bytes || answers_.count(key) > 0) return;
  while (bytes_ + answer_bytes > limits_.max_bytes) EvictOldest();
  bytes_ += answer_bytes;
  answers_.emplace(key, CachedAnswer{std::move(answer), now});
  insertion_order_.push_back(key);
}

std::optional<UpstreamAnswer> AnswerCache::Find(const Digest128& key,
                                                Time now) const {
  const auto found = answers_.find(key);
  if (found == answers_.end()) return std::nullopt;
  if (found->second.stored_at + limits_.max_age < now) return std::nullopt;
  return found->second.answer;
}

void AnswerCache::EvictOldest() {
  const auto found = answers_.find(insertion_order_.front());
  bytes_ -= BytesOf(found->second.answer);
  answers_.erase(found);
  insertion_order_.pop_front();
}

}  // namespace thornplank
