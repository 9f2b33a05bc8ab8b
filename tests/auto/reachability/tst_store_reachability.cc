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
void Answer(StoreReachability* reachability, int64_t age_ms, int64_t sent_ms) {
  reachability->OnAnswer(Milliseconds(age_ms), At(sent_ms), At(sent_ms + 2));
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
      {"no failure",
       [](StoreReachability* reachability) { Answer(reachability, 0, 10); },
       100, StoreStatus::kReachable, false},
      {"failure, no answer yet",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
       },
       100, StoreStatus::kUnknown, false},
      {"another entry has read since the failure",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         Answer(reachability, 100, 300);
       },
       400, StoreStatus::kReachableByOthers, true},
      {"a read from before the failure proves nothing",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         Answer(reachability, 400, 300);
       },
       400, StoreStatus::kUnknown, false},
      {"the proof of one entry is enough",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         Answer(reachability, 5000, 300);
         reachability->OnNoAnswer("a");
         Answer(reachability, 100, 300);
       },
       400, StoreStatus::kReachableByOthers, true},
      {"a proof expires unless it is renewed",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         Answer(reachability, 100, 300);
         Answer(reachability, 1500, 1200);
       },
       1400, StoreStatus::kUnknown, false},
      {"the first of several failures counts",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         reachability->OnReadFailed(At(500));
         Answer(reachability, 400, 600);
       },
       700, StoreStatus::kReachableByOthers, true},
      {"a success resets the proof",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         Answer(reachability, 0, 300);
         reachability->OnReadSucceeded();
         reachability->OnReadFailed(At(500));
       },
       600, StoreStatus::kUnknown, false},
      {"nobody answers",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "c"})
           reachability->OnNoAnswer(peer);
       },
       400, StoreStatus::kIsolated, true},
      {"two failed queries to one entry count once",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "a"})
           reachability->OnNoAnswer(peer);
       },
       400, StoreStatus::kUnknown, false},
      {"another entry answers but does not reach the store either",
       [](StoreReachability* reachability) {
         reachability->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "c"})
           reachability->OnNoAnswer(peer);
         Answer(reachability, 5000, 300);
       },
       400, StoreStatus::kUnknown, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StoreReachability reachability;
    row.events(&reachability);
    CHECK(reachability.status(At(row.now_ms)) == row.status);
    CHECK(reachability.ReachableElsewhere(At(row.now_ms)) ==
          row.reachable_elsewhere);
  }
}

}  // namespace
}  // namespace thornplank
