// Policies that divide slots among entries.
#include "routing/slot_sharing_policy.h"

#include <doctest/doctest.h>

#include <numeric>
#include <set>
#include <string>

#include "routing/all_slots.h"
#include "routing/demand_share.h"
#include "routing/demand_split.h"
#include "routing/static_share.h"
#include "routing_fixtures.h"

namespace thornplank {
namespace {

using routing_test::MakeAccount;
using routing_test::MakeExecutors;

constexpr int kExecutors = 50;
constexpr int kTotal = 400;

SlotSharingInput MakeInput(std::vector<AccountLimits> accounts,
                           std::vector<std::vector<double>> demand) {
  SlotSharingInput input;
  for (const ExecutorInfo& info : MakeExecutors(kExecutors)) {
    input.executors.push_back({info.name, info.failure_domain, info.slots});
  }
  OrderByDomain(&input.executors);
  input.accounts = std::move(accounts);
  input.demand = std::move(demand);
  return input;
}

int Sum(const std::vector<int>& slots) {
  return std::accumulate(slots.begin(), slots.end(), 0);
}

std::vector<int> AllocateFor(const SlotSharingPolicy& share,
                             SlotSharingInput input, size_t entry) {
  input.own_entry_index = entry;
  return share.Allocate(input);
}

TEST_CASE("the ranges of all entries cover each slot exactly once") {
  struct Row {
    std::string name;
    std::vector<std::vector<double>> demand;
  };
  const Row rows[] = {
      {"idle", {{0}, {0}, {0}, {0}}},
      {"even", {{10}, {10}, {10}, {10}}},
      {"uneven overload", {{5000}, {300}, {60}, {700}}},
      {"uneven, below capacity", {{170}, {3}, {44}, {1}}},
  };
  const StaticShare fixed;
  const DemandShare by_demand;
  for (const SlotSharingPolicy* share :
       {static_cast<const SlotSharingPolicy*>(&fixed),
        static_cast<const SlotSharingPolicy*>(&by_demand)}) {
    for (const Row& row : rows) {
      CAPTURE(row.name);
      const SlotSharingInput input = MakeInput({MakeAccount("a")}, row.demand);
      std::vector<int> used(kExecutors, 0);
      for (size_t entry = 0; entry < row.demand.size(); ++entry) {
        const std::vector<int> slots = AllocateFor(*share, input, entry);
        for (size_t i = 0; i < slots.size(); ++i) {
          used[i] += slots[i];
        }
      }
      CHECK(used == std::vector<int>(kExecutors, 8));
    }
  }
}

TEST_CASE("slots are allocated by demand") {
  struct Row {
    std::string name;
    std::vector<AccountLimits> accounts;
    std::vector<std::vector<double>> demand;
    size_t entry;
    int least;
    int most;
  };
  AccountLimits closed = MakeAccount("b", 50);
  closed.borrowing = false;
  const Row rows[] = {
      {"a burst at one entry gets all unused slots",
       {MakeAccount("a")},
       {{5000}, {0}, {0}, {0}},
       0,
       400,
       400},
      {"an idle entry keeps slots for its first request",
       {MakeAccount("a")},
       {{5000}, {0}, {0}, {0}},
       2,
       2,
       2},
      {"a guarantee at one entry holds during a flood at another",
       {MakeAccount("a"), MakeAccount("b", 50)},
       {{10000, 0}, {0, 50}},
       1,
       50,
       50},
      {"weights divide the slots beyond the guarantees",
       {MakeAccount("a"), MakeAccount("b", 0, 3.0)},
       {{10000, 0}, {0, 10000}},
       1,
       300,
       300},
      {"without borrowing an account gets no more than its guarantee",
       {MakeAccount("a"), closed},
       {{10000, 0}, {0, 10000}},
       1,
       50,
       50},
      {"guarantees larger than the slots are reduced in proportion",
       {MakeAccount("a", 600), MakeAccount("b", 200)},
       {{1000, 0}, {0, 1000}},
       1,
       100,
       100},
  };
  const DemandShare share;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const int slots =
        Sum(AllocateFor(share, MakeInput(row.accounts, row.demand), row.entry));
    CHECK(slots >= row.least);
    CHECK(slots <= row.most);
  }
}

TEST_CASE("a small share spans many executors and all failure domains") {
  SlotSharingInput input =
      MakeInput({MakeAccount("a")}, {{3920}, {80}});  // 392 and 8 slots
  const std::vector<int> slots = AllocateFor(DemandShare(), input, 1);
  std::set<std::string> domains;
  for (size_t i = 0; i < slots.size(); ++i) {
    CHECK(slots[i] <= 1);
    if (slots[i] > 0) {
      domains.insert(input.executors[i].failure_domain);
    }
  }
  CHECK(Sum(slots) == 8);
  CHECK(domains.size() == 4);
}

TEST_CASE("an entry can attain the slots beyond the others' demand") {
  const SlotSharingInput input =
      MakeInput({MakeAccount("a")}, {{10}, {100}, {50}, {0}});
  CHECK(DemandShare().AttainableSlots(input) == doctest::Approx(kTotal - 150));
  CHECK(AllSlots().AttainableSlots(input) == doctest::Approx(kTotal - 150));
  CHECK(StaticShare().AttainableSlots(input) == doctest::Approx(kTotal / 4.0));
  CHECK(Sum(AllSlots().Allocate(input)) == kTotal);
}

TEST_CASE("an executor's connections are divided among the entries") {
  struct Row {
    size_t entries;
    int limit;
  };
  const Row rows[] = {{1, 60}, {7, 9}, {8, 8}, {20, 3}, {100, 1}};
  for (const Row& row : rows) {
    CHECK(ConnectionLimit(row.entries) == row.limit);
  }
}

}  // namespace
}  // namespace thornplank
