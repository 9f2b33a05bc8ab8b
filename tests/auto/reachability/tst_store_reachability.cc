// Status of a store that this entry cannot reach, after answers of other
// entries.
#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "reachability/store_reachability.h"

namespace thornplank {
namespace {

Time At(int64_t milliseconds) {
  return Time{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

// An answer to a query that was sent at `sent_ms`: the other entry's most
// recent read began `age_ms` before.
void Answer(StoreReachability* store, int64_t age_ms, int64_t sent_ms) {
  store->OnAnswer(Milliseconds(age_ms), At(sent_ms), At(sent_ms + 2));
}

TEST_CASE("answers of other entries show whether they reach the store") {
  struct Row {
    const char* name;
    std::function<void(StoreReachability*)> events;
    // When the status is read.
    int64_t now_ms;
    StoreStatus status;
    bool reachable_elsewhere;
  };
  const std::vector<Row> rows = {
      {"no failure", [](StoreReachability* store) { Answer(store, 0, 10); },
       100, StoreStatus::kReachable, false},
      {"failure, no answer yet",
       [](StoreReachability* store) { store->OnReadFailed(At(0)); }, 100,
       StoreStatus::kUnknown, false},
      {"another entry has read since the failure",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         Answer(store, 100, 300);
       },
       400, StoreStatus::kReachableByOthers, true},
      {"a read from before the failure proves nothing",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         Answer(store, 400, 300);
       },
       400, StoreStatus::kUnknown, false},
      {"the proof of one entry is enough",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         Answer(store, 5000, 300);
         store->OnNoAnswer("a");
         Answer(store, 100, 300);
       },
       400, StoreStatus::kReachableByOthers, true},
      {"a proof expires unless it is renewed",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         Answer(store, 100, 300);
         Answer(store, 1500, 1200);
       },
       1400, StoreStatus::kUnknown, false},
      {"the first of several failures counts",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         store->OnReadFailed(At(500));
         Answer(store, 400, 600);
       },
       700, StoreStatus::kReachableByOthers, true},
      {"a success resets the proof",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         Answer(store, 0, 300);
         store->OnReadSucceeded();
         store->OnReadFailed(At(500));
       },
       600, StoreStatus::kUnknown, false},
      {"nobody answers",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "c"}) store->OnNoAnswer(peer);
       },
       400, StoreStatus::kIsolated, true},
      {"two failed queries to one entry count once",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "a"}) store->OnNoAnswer(peer);
       },
       400, StoreStatus::kUnknown, false},
      {"another entry answers but does not reach the store either",
       [](StoreReachability* store) {
         store->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "c"}) store->OnNoAnswer(peer);
         Answer(store, 5000, 300);
       },
       400, StoreStatus::kUnknown, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StoreReachability store;
    row.events(&store);
    CHECK(store.status(At(row.now_ms)) == row.status);
    CHECK(store.ReachableElsewhere(At(row.now_ms)) == row.reachable_elsewhere);
  }
}

}  // namespace
}  // namespace thornplank
