// In which order, and how many at a time, a new leader asks its workers.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "coordination/first_look_queue.h"

namespace thornplank::testing {
namespace {

constexpr int kRackSize = 20;
constexpr int kDomains = 3;
constexpr int kMaxPending = 128;

std::string Worker(int i) { return "w" + std::to_string(i); }

std::string Domain(int i) {
  return "domain" + std::to_string(i / kRackSize % kDomains);
}

std::string Rack(int i) { return "rack" + std::to_string(i / kRackSize); }

FirstLookQueue MakeQueue(int idle, int with_runs) {
  FirstLookQueue queue{FirstLookSettings{kMaxPending}};
  for (int i = 0; i < idle; ++i) {
    queue.AddIdle(Worker(i), Domain(i), Rack(i));
  }
  for (int i = idle; i < idle + with_runs; ++i) {
    queue.AddWithRuns(Worker(i));
  }
  return queue;
}

// A new leader that sends a request to every worker in one go has no answer
// from any whole rack until nearly all have answered, and places nothing
// meanwhile. However many workers there are, whole racks of all failure domains
// are among the first that are asked.
TEST_CASE("the first looks cover whole racks at every number of workers") {
  for (const int workers : {100, 1200, 6000, 12000}) {
    CAPTURE(workers);
    FirstLookQueue queue = MakeQueue(workers, 0);
    CHECK(queue.Take().empty());
    queue.ReleaseIdle();
    const std::vector<std::string> first = queue.Take();
    REQUIRE(first.size() ==
            static_cast<size_t>(std::min(workers, kMaxPending)));
    const std::set<std::string> asked(first.begin(), first.end());
    std::set<std::string> domains;
    for (int rack = 0; rack * kRackSize < workers; ++rack) {
      bool whole = true;
      for (int i = rack * kRackSize; i < (rack + 1) * kRackSize; ++i) {
        whole = whole && asked.count(Worker(i)) > 0;
      }
      if (whole) domains.insert(Domain(rack * kRackSize));
    }
    CHECK(domains.size() == kDomains);
  }
}

TEST_CASE("every worker is asked once, and only so many at a time") {
  FirstLookQueue queue = MakeQueue(500, 500);
  queue.ReleaseIdle();
  std::set<std::string> asked;
  int pending = 0;
  while (!queue.empty()) {
    for (const std::string& worker : queue.Take()) {
      CHECK(asked.insert(worker).second);
      ++pending;
    }
    CHECK(pending <= kMaxPending);
    queue.OnAnswered();
    --pending;
  }
  CHECK(asked.size() == 1000);
}

TEST_CASE("workers with runs and idle workers take turns") {
  struct Row {
    const char* name;
    int idle;
    int with_runs;
    bool directory_is_known;
    int idle_asked;
    int with_runs_asked;
  };
  const std::vector<Row> rows = {
      {"many of both", 1000, 1000, true, 64, 64},
      {"few with runs", 1000, 10, true, 118, 10},
      {"few idle", 10, 1000, true, 10, 118},
      {"the directory is still being read", 1000, 1000, false, 0, 128},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FirstLookQueue queue = MakeQueue(row.idle, row.with_runs);
    if (row.directory_is_known) queue.ReleaseIdle();
    int idle = 0;
    int with_runs = 0;
    for (const std::string& worker : queue.Take()) {
      const bool is_idle = std::stoi(worker.substr(1)) < row.idle;
      ++(is_idle ? idle : with_runs);
    }
    CHECK(idle == row.idle_asked);
    CHECK(with_runs == row.with_runs_asked);
  }
}

// Workers that have crashed never answer. They must not hold up the others.
TEST_CASE("workers that do not answer hold up others until the next tick") {
  FirstLookQueue queue = MakeQueue(1000, 0);
  queue.ReleaseIdle();
  CHECK(queue.Take().size() == kMaxPending);
  CHECK(queue.Take().empty());
  queue.OnTick();
  CHECK(queue.Take().size() == kMaxPending);
}

TEST_CASE("a worker that is gone is not asked") {
  FirstLookQueue queue = MakeQueue(2, 1);
  queue.Remove(Worker(0));
  queue.Remove(Worker(2));
  queue.ReleaseIdle();
  CHECK(queue.Take() == std::vector<std::string>{Worker(1)});
  CHECK(queue.empty());
}

TEST_CASE("a worker that joins later is asked at once") {
  FirstLookQueue queue = MakeQueue(0, 0);
  queue.ReleaseIdle();
  queue.AddIdle("late", "domain0", "rack0");
  CHECK(queue.Contains("late"));
  CHECK(queue.Take() == std::vector<std::string>{"late"});
  CHECK_FALSE(queue.Contains("late"));
}

}  // namespace
}  // namespace thornplank::testing
