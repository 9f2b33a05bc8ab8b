// Cache of the answers to non-idempotent requests, for repeated requests with
// the same idempotency key.
//
// Bounded by bytes and by age; the oldest answer is evicted first. Losing an
// answer is safe: a repeated request is then refused because its answer is no
// longer held. Not thread-safe.
#ifndef THORNPLANK_CLAIMS_ANSWER_CACHE_H_
#define THORNPLANK_CLAIMS_ANSWER_CACHE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/time.h"
#include "claims/claim_key.h"
#include "claims/upstream_answer.h"

namespace thornplank {

struct AnswerCacheLimits {
  size_t max_bytes = 32 * 1024 * 1024;
  Duration max_age = std::chrono::minutes(5);
};

class AnswerCache {
 public:
  explicit AnswerCache(AnswerCacheLimits limits);

  // Stores the answer unless the key already has one or the answer alone
  // exceeds max_bytes. Evicts answers that are too old or whose space is
  // needed.
  void Put(const Digest128& key, UpstreamAnswer answer, Time now);
  // nullopt when the answer is not in the cache or older than max_age.
  std::optional<UpstreamAnswer> Find(const Digest128& key, Time now) const;

  size_t bytes() const { return bytes_; }
  size_t size() const { return answers_.size(); }

 private:
  struct CachedAnswer {
    UpstreamAnswer answer;
    Time stored_at;
  };

  void EvictOldest();

  const AnswerCacheLimits limits_;
  // Total size of answers_, with overhead; at most limits_.max_bytes.
  size_t bytes_ = 0;
  std::unordered_map<Digest128, CachedAnswer, Digest128Hash> answers_;
  // The keys of answers_, oldest first.
  std::deque<Digest128> insertion_order_;
};

}  // namespace thornplank

#endif  // THORNPLANK_CLAIMS_ANSWER_CACHE_H_
