// What an entry believes of a store that it cannot reach.
#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "reachability/store_reachability.h"

namespace thornplank {
namespace {

Time At(int64_t milliseconds) {
  return Time{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

// An answer sent for at `sent` that tells of a read which began `age` before.
void Answer(StoreReachability* outlook, int64_t age, int64_t sent) {
  outlook->OnAnswer(Milliseconds(age), At(sent), At(sent + 2));
}

TEST_CASE("what others say shows whether the store serves them") {
  struct Row {
    const char* name;
    std::function<void(StoreReachability*)> events;
    // When it is asked for.
    int64_t now;
    StoreStatus belief;
    bool elsewhere;
  };
  const std::vector<Row> rows = {
      {"never lost", [](StoreReachability* o) { Answer(o, 0, 10); }, 100,
       StoreStatus::kReached, false},
      {"lost, nobody asked",
       [](StoreReachability* o) { o->OnReadFailed(At(0)); }, 100,
       StoreStatus::kUnknown, false},
      {"a read since the loss",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         Answer(o, 100, 300);
       },
       400, StoreStatus::kServesOthers, true},
      {"a read before the loss: it may not have noticed yet",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         Answer(o, 400, 300);
       },
       400, StoreStatus::kUnknown, false},
      {"one of three is enough",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         Answer(o, 5000, 300);
         o->OnSilence("a");
         Answer(o, 100, 300);
       },
       400, StoreStatus::kServesOthers, true},
      {"a proof that is not renewed",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         Answer(o, 100, 300);
         Answer(o, 1500, 1200);
       },
       1400, StoreStatus::kUnknown, false},
      {"lost again in the same spell counts from the first time",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         o->OnReadFailed(At(500));
         Answer(o, 400, 600);
       },
       700, StoreStatus::kServesOthers, true},
      {"lost anew",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         Answer(o, 0, 300);
         o->OnReadSucceeded();
         o->OnReadFailed(At(500));
       },
       600, StoreStatus::kUnknown, false},
      {"nobody answers",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "c"}) o->OnSilence(peer);
       },
       400, StoreStatus::kCutOff, true},
      {"the same one twice is one",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "a"}) o->OnSilence(peer);
       },
       400, StoreStatus::kUnknown, false},
      {"somebody answers, and has lost it too",
       [](StoreReachability* o) {
         o->OnReadFailed(At(0));
         for (const char* peer : {"a", "b", "c"}) o->OnSilence(peer);
         Answer(o, 5000, 300);
       },
       400, StoreStatus::kUnknown, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    StoreReachability outlook;
    row.events(&outlook);
    CHECK(outlook.belief(At(row.now)) == row.belief);
    CHECK(outlook.ReachableElsewhere(At(row.now)) == row.elsewhere);
  }
}

}  // namespace
}  // namespace thornplank
