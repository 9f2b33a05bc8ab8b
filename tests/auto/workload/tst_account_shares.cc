// Weights and weighted dominant shares of accounts, what they cost to sum, and
// the waits that are reported.
#include <doctest/doctest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "planner_cluster.h"
#include "workload/account_shares.h"
#include "workload/account_waits.h"
#include "workload/cluster_capacity.h"

namespace thornplank::testing {
namespace {

constexpr int64_t kHuge = std::numeric_limits<int64_t>::max();
constexpr char kService[] = "claims";

TrackedRun RunOf(const std::string& account, const Resources& need,
                 int priority = 2) {
  TrackedRun run;
  run.profile.account = account;
  run.profile.need = need;
  run.profile.priority = priority;
  return run;
}

double ShareOf(const AccountShares& shares, const std::string& account) {
  const auto both = shares.Find(kService, account);
  return both ? shares.WeightedShare(*both) : 0;
}

// Guards against an account without a guarantee that never gets its turn, and
// against a mistyped guarantee that takes the whole service.
TEST_CASE("weights are the guarantees, within bounds") {
  struct Row {
    const char* name;
    Guarantees guarantees;
    // Of the accounts a, b and c.
    double a;
    double b;
    double c;
  };
  const std::vector<Row> rows = {
      {"no guarantees: all weigh the same", {}, 1, 1, 1},
      {"the guarantee, or a tenth of the mean",
       {{"a", 30}, {"b", 10}},
       30,
       10,
       2},
      {"a small guarantee is raised", {{"a", 99}, {"b", 1}}, 99, 5, 5},
      {"a negative guarantee counts as none",
       {{"a", 10}, {"b", -50}},
       10,
       1,
       1},
      {"only negative ones", {{"a", -1}, {"b", -kHuge}}, 1, 1, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    AccountShares shares(row.guarantees);
    CHECK(shares.Weight(shares.Include(kService, "a")) ==
          doctest::Approx(row.a));
    CHECK(shares.Weight(shares.Include(kService, "b")) ==
          doctest::Approx(row.b));
    CHECK(shares.Weight(shares.Include(kService, "c")) ==
          doctest::Approx(row.c));
  }
}

// A guarantee with some digits too many among 10,000 accounts.
TEST_CASE("no weight is more than 1,000 times the smallest") {
  Guarantees guarantees;
  for (int i = 0; i < 20000; ++i) guarantees[Id(i)] = 1;
  guarantees["typo"] = kHuge;
  AccountShares shares(guarantees);
  const double typo = shares.Weight(shares.Include(kService, "typo"));
  const double least = shares.Weight(shares.Include(kService, "none"));
  CHECK(typo / least == doctest::Approx(1000));
}

// Guards against an account that takes all cores or all memory with tasks that
// need few accelerators.
TEST_CASE("the largest of an account's shares counts") {
  struct Row {
    const char* name;
    Resources need;
    double share;
  };
  const std::vector<Row> rows = {
      {"accelerators", {1000, 1000, 4}, 0.5},
      {"cores", {48000, 1000, 1}, 0.75},
      {"memory", {1000, 256000, 1}, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    AccountShares shares({});
    const size_t service = shares.NumberOfService(kService);
    shares.AddCapacity(service, {64000, 256000, 8});
    shares.AddRun(service, RunOf("a", row.need));
    CHECK(ShareOf(shares, "a") == doctest::Approx(row.share));
    const ServiceAccount a = shares.Include(kService, "a");
    shares.Change(a, 2, row.need, -1);
    CHECK(ShareOf(shares, "a") == 0);
    CHECK(shares.Runs(a, 2) == 0);
  }
}

// Guards against overflow and division by zero in the order of all steps.
TEST_CASE("invalid and huge amounts give finite shares that are not negative") {
  struct Row {
    const char* name;
    Resources capacity;
    Resources need;
  };
  const std::vector<Row> rows = {
      {"a service without capacity", {0, 0, 0}, {1000, 1000, 1}},
      {"negative capacity", {-64000, -1, -8}, {1000, 1000, 1}},
      {"huge needs", {64000, 256000, 8}, {kHuge, kHuge, kHuge}},
      {"huge capacity", {kHuge, kHuge, kHuge}, {1000, 1000, 1}},
      {"negative needs", {64000, 256000, 8}, {-1000, -kHuge, -1}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    AccountShares shares({{"a", kHuge}, {"b", kHuge}, {"c", -kHuge}});
    const size_t service = shares.NumberOfService(kService);
    for (int i = 0; i < 100; ++i) {
      shares.AddCapacity(service, row.capacity);
      shares.AddRun(service, RunOf("a", row.need, 0));
    }
    const ServiceAccount a = shares.Include(kService, "a");
    shares.Change(a, 0, row.need, 4096);
    CHECK(std::isfinite(shares.WeightedShare(a)));
    CHECK(shares.WeightedShare(a) >= 0);
    CHECK(std::isfinite(shares.MeanShare(service)));
    CHECK(shares.UseWith(shares.Include(kService, "c"), row.need, 1) ==
          GuaranteeUse::kBeyond);
    shares.Change(a, 0, row.need, -100000);
    CHECK(shares.WeightedShare(a) == 0);
  }
}

// Guards against urgent steps within a guarantee that wait behind others.
TEST_CASE("how much of a guarantee an urgent step uses") {
  struct Row {
    const char* name;
    const char* account;
    int64_t running;
    int64_t tasks;
    GuaranteeUse use;
  };
  const std::vector<Row> rows = {
      {"all of it is free", "a", 0, 8, GuaranteeUse::kWithin},
      {"the rest is enough", "a", 4, 4, GuaranteeUse::kWithin},
      {"the rest is too little", "a", 4, 5, GuaranteeUse::kPartly},
      {"all of it is used", "a", 8, 1, GuaranteeUse::kBeyond},
      {"no guarantee", "b", 0, 1, GuaranteeUse::kBeyond},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    AccountShares shares({{"a", 8}});
    const ServiceAccount account = shares.Include(kService, row.account);
    shares.Change(account, 0, {1000, 1000, 1}, row.running);
    // Other work does not use up the guarantee.
    shares.Change(account, 1, {1000, 1000, 1}, 100);
    CHECK(shares.UseWith(account, {1000, 1000, 1}, row.tasks) == row.use);
  }
}

// Guards against victims that are all taken from one account, since the runs
// that were stopped in earlier rounds still count.
TEST_CASE("runs that are being stopped do not count") {
  AccountShares shares({});
  const size_t service = shares.NumberOfService(kService);
  shares.AddCapacity(service, {64000, 256000, 8});
  TrackedRun run = RunOf("a", {1000, 1000, 4}, 1);
  run.stop_wanted = true;
  shares.AddRun(service, run);
  CHECK(ShareOf(shares, "a") == 0);
}

// Guards against rounds that read the runs of all workers more than once, and
// against an account table that is searched for each of them.
TEST_CASE("a round counts each run once, whatever the size of the fleet") {
  for (const int workers : {350, 1000, 6000}) {
    CAPTURE(workers);
    std::map<std::string, WorkerTracker> trackers;
    constexpr int kRunsEach = 8;
    for (int i = 0; i < workers; ++i) {
      const std::string id = "w" + Id(i);
      auto& tracker =
          trackers.emplace(id, MakeTracker(MakeWorker(id, Id(i / 20))))
              .first->second;
      for (int t = 0; t < kRunsEach; ++t) {
        RunProfile profile;
        profile.need = {1000, 1000, 1};
        profile.account = "account-" + std::to_string((i + t) % 27);
        tracker.Add({{Id(i), 0, 0}, t}, 1, profile, At(0));
      }
    }
    AccountShares shares({});
    const ClusterCapacity capacity(trackers, nullptr, At(0), &shares);
    CHECK(shares.counted_runs() == int64_t{workers} * kRunsEach);
    CHECK(shares.MeanShare(shares.NumberOfService(kService)) ==
          doctest::Approx(1.0 / 27));
  }
}

// Guards against a number of metric series that grows with the accounts.
TEST_CASE("shares are shown for some accounts, the largest of the rest once") {
  Guarantees guarantees;
  for (int i = 0; i < 500; ++i) guarantees["a" + Id(i)] = i + 1;
  guarantees["other"] = 1000;
  AccountShares shares(guarantees);
  const size_t service = shares.NumberOfService(kService);
  shares.AddCapacity(service, {64000, 256000, 8});
  shares.AddRun(service, RunOf("a" + Id(3), {1000, 1000, 2}));
  shares.AddRun(service, RunOf("a" + Id(499), {1000, 1000, 1}));
  std::map<std::string, double> by_account;
  for (const AccountShares::Sample& sample : shares.Samples(32)) {
    CHECK(by_account.emplace(sample.account, sample.share).second);
  }
  CHECK(by_account.size() == 32);
  CHECK(by_account.count("a" + Id(3)) == 0);
  CHECK(by_account.at("other") == ShareOf(shares, "a" + Id(3)));
  CHECK(by_account.at("a" + Id(499)) == ShareOf(shares, "a" + Id(499)));
}

// Guards against a log that is silent about an account that waits while others
// use the service, and against one that grows with each round.
TEST_CASE("a wait for a share is reported once when it begins and ends") {
  const AccountPriority small{kService, "small", 2};
  const AccountPriority large{kService, "large", 2};
  AccountShares shares({{"small", 10}, {"large", 10}});
  const size_t service = shares.NumberOfService(kService);
  shares.AddCapacity(service, {64000, 256000, 8});
  shares.Include(kService, "small");
  shares.AddRun(service, RunOf("large", {1000, 1000, 8}));
  AccountWaits waits;
  std::vector<AccountWait> changes;
  const auto observe = [&](int64_t at, const AccountWaits::WaitingSteps& left) {
    for (AccountWait& wait : waits.Observe(left, &shares, At(at))) {
      changes.push_back(wait);
    }
  };
  for (int64_t at = 0; at <= 3000; at += 10) {
    observe(at, {{small, 3}, {large, 5}});
  }
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].begins);
  CHECK(changes[0].key.account == "small");
  CHECK(changes[0].share == 0);
  CHECK(changes[0].weight == 10);
  CHECK(changes[0].waiting == 3);
  CHECK(changes[0].waited == Milliseconds(1000));
  SUBCASE("no step of it waits any more") { observe(4000, {{large, 5}}); }
  SUBCASE("the service is no longer shared") { observe(4000, {}); }
  SUBCASE("it has its share") {
    shares.AddRun(service, RunOf("small", {1000, 1000, 8}));
    observe(4000, {{small, 3}, {large, 5}});
  }
  REQUIRE(changes.size() == 2);
  CHECK_FALSE(changes[1].begins);
  CHECK(changes[1].key.account == "small");
  CHECK(changes[1].waited == Milliseconds(4000));
}

TEST_CASE("a short wait for a share is not reported") {
  AccountShares shares({});
  const size_t service = shares.NumberOfService(kService);
  shares.AddCapacity(service, {64000, 256000, 8});
  shares.Include(kService, "small");
  shares.AddRun(service, RunOf("large", {1000, 1000, 8}));
  AccountWaits waits;
  for (int64_t at = 0; at < 10000; at += 900) {
    CHECK(
        waits.Observe({{{kService, "small", 2}, 1}}, &shares, At(at)).empty());
    CHECK(waits.Observe({}, nullptr, At(at + 800)).empty());
  }
}

}  // namespace
}  // namespace thornplank::testing
