// Bounds of the answer cache and what it keeps.
#include <doctest/doctest.h>

#include <string>

#include "claims/answer_cache.h"

namespace thornplank {
namespace {

constexpr size_t kMaxBytes = 10000;
const Time kNow{};

UpstreamAnswer AnswerOf(size_t bytes) {
  return {200, "text/plain", std::string(bytes, 'x'), "executor-1"};
}

Digest128 Key(uint64_t number) { return {number, 0}; }

TEST_CASE("the answer cache is bounded by bytes and by age") {
  AnswerCache cache({kMaxBytes, std::chrono::seconds(10)});
  for (uint64_t number = 0; number < 100; ++number) {
    cache.Put(Key(number), AnswerOf(1000), kNow);
    CHECK(cache.bytes() <= kMaxBytes);
  }
  CHECK(cache.size() == 8);
  CHECK_FALSE(cache.Find(Key(0), kNow));
  CHECK(cache.Find(Key(99), kNow)->body.size() == 1000);

  CHECK(cache.Find(Key(99), kNow + std::chrono::seconds(10)));
  CHECK_FALSE(cache.Find(Key(99), kNow + std::chrono::seconds(11)));
  cache.Put(Key(100), AnswerOf(1), kNow + std::chrono::seconds(11));
  CHECK(cache.size() == 1);
}

TEST_CASE("an answer larger than the cache evicts no other answer") {
  AnswerCache cache({kMaxBytes, std::chrono::seconds(10)});
  cache.Put(Key(1), AnswerOf(1000), kNow);
  cache.Put(Key(2), AnswerOf(kMaxBytes), kNow);
  CHECK(cache.Find(Key(1), kNow));
  CHECK_FALSE(cache.Find(Key(2), kNow));
}

TEST_CASE("the first answer of a key is kept") {
  AnswerCache cache({kMaxBytes, std::chrono::seconds(10)});
  cache.Put(Key(1), AnswerOf(1), kNow);
  cache.Put(Key(1), AnswerOf(2), kNow);
  CHECK(cache.Find(Key(1), kNow)->body.size() == 1);
}

}  // namespace
}  // namespace thornplank
