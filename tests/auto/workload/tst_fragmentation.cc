// Which share of the idle accelerators counts as unusable, for which shapes.
#include "workload/fragmentation.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "workload_fixtures.h"

namespace thornplank::testing {
namespace {

constexpr char kService[] = "claims";
constexpr int64_t kAccelerators = 8;
constexpr int64_t kCpuMillis = 64000;

struct FreeWorker {
  std::string rack;
  int64_t accelerators = kAccelerators;
  int64_t cpu_millis = kCpuMillis;
};

using Workers = std::map<std::string, WorkerTracker>;

Workers MakeWorkers(const std::vector<FreeWorker>& free) {
  Workers workers;
  for (const FreeWorker& worker : free) {
    const std::string id = "w" + std::to_string(workers.size());
    WorkerTracker& tracker =
        workers.emplace(id, MakeTracker(MakeWorker(id, worker.rack)))
            .first->second;
    RunProfile profile;
    profile.need.accelerators = kAccelerators - worker.accelerators;
    profile.need.cpu_millis = kCpuMillis - worker.cpu_millis;
    if (profile.need.IsZero()) continue;
    tracker.Add({{"0123456789abcdef", 0, 0}, static_cast<int>(workers.size())},
                1, profile, At(0));
  }
  return workers;
}

TaskShape Single(int64_t accelerators) {
  return {{1000, 1000, accelerators}, 1, false};
}
TaskShape GangOf(int64_t members, int64_t accelerators, bool one_rack) {
  return {{1000, 1000, accelerators}, members, one_rack};
}

// Guards against capacity that is counted as free although no step that is
// asked for can use it: on a day on which steps waited 2,763 s for capacity,
// 800 to 1,500 of 2,800 accelerators were idle.
TEST_CASE("the share of idle accelerators that the shapes cannot use") {
  struct Row {
    const char* name;
    std::vector<FreeWorker> workers;
    std::vector<TaskShape> asked;
    int64_t idle;
    double unusable_share;
  };
  const std::vector<Row> rows = {
      {"all idle", {{"r0"}, {"r0"}, {"r1"}}, {Single(4)}, 24, 0},
      {"none idle", {{"r0", 0}, {"r0", 0}}, {Single(1)}, 0, 0},
      {"idle only in pieces smaller than the usual shape",
       {{"r0", 3}, {"r0", 3}, {"r1", 2}},
       {Single(4)},
       8,
       1},
      {"a part of it in such pieces",
       {{"r0", 3}, {"r0", 3}, {"r1", 6}},
       {Single(4)},
       12,
       0.5},
      {"cores exhausted beside idle accelerators",
       {{"r0", 6, 500}, {"r0", 2}},
       {Single(1)},
       8,
       0.75},
      {"gangs over racks use the pieces of all racks",
       {{"r0", 4}, {"r1", 4}, {"r2", 1}},
       {GangOf(2, 4, false)},
       9,
       1.0 / 9},
      {"one-rack gangs wider than any rack's free capacity",
       {{"r0", 4}, {"r1", 4}, {"r2", 4}},
       {GangOf(2, 4, true)},
       12,
       1},
      {"a rack that holds the gang beside one that does not",
       {{"r0", 4}, {"r0", 4}, {"r1", 4}},
       {GangOf(2, 4, true)},
       12,
       4.0 / 12},
      {"a gang larger than all that is idle",
       {{"r0"}, {"r1"}},
       {GangOf(3, 8, false)},
       16,
       1},
      {"shapes count as often as they were asked for",
       {{"r0", 2}, {"r1", 2}},
       {Single(1), Single(4), Single(1), Single(1)},
       4,
       0.25},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Workers workers = MakeWorkers(row.workers);
    Fragmentation fragmentation;
    for (const TaskShape& shape : row.asked) {
      fragmentation.OnAsked(kService, shape, At(0));
    }
    const auto measured = fragmentation.Evaluate(workers, At(100));
    REQUIRE(measured.size() == 1);
    CHECK(measured[0].service == kService);
    CHECK(measured[0].idle_accelerators == row.idle);
    CHECK(measured[0].unusable_share == doctest::Approx(row.unusable_share));
  }
}

// Guards against a figure that stands for no demand: an idle service would be
// reported as usable, or as fragmented, without a step that says so.
TEST_CASE("no value without a shape that was asked for recently") {
  const Workers workers = MakeWorkers({{"r0", 3}});
  Fragmentation fragmentation;
  CHECK(fragmentation.Evaluate(workers, At(0)).empty());
  fragmentation.OnAsked(kService, Single(0), At(0));
  CHECK(fragmentation.Evaluate(workers, At(0)).empty());
  fragmentation.OnAsked(kService, Single(4), At(0));
  CHECK(fragmentation.Evaluate(workers, At(0)).size() == 1);
  CHECK(fragmentation.Evaluate(workers, At(28000)).size() == 1);
  CHECK(fragmentation.Evaluate(workers, At(31000)).empty());
  fragmentation.OnAsked(kService, Single(4), At(31000));
  CHECK(fragmentation.Evaluate(workers, At(31000)).size() == 1);
}

TEST_CASE("the shape of a step") {
  StepSpec step = MakeStep(5, 2);
  step.same_rack = true;
  CHECK(ShapeOf(step) == Single(2));
  step.gang = true;
  CHECK(ShapeOf(step) == GangOf(5, 2, true));
}

// Guards against idle accelerators of workers that are given nothing, and
// against one service that is judged by the shapes of another.
TEST_CASE("services are separate, and only workers that may be used count") {
  Workers workers = MakeWorkers({{"r0", 8}, {"r0", 3}, {"r0", 8}});
  workers.at("w2").OnReportFailed(At(0));
  WorkerRegistration other = MakeWorker("x0", "r0");
  other.service = "letters";
  workers.emplace("x0", MakeTracker(other));
  Fragmentation fragmentation;
  fragmentation.OnAsked(kService, Single(8), At(100));
  const auto one = fragmentation.Evaluate(workers, At(5000));
  REQUIRE(one.size() == 1);
  CHECK(one[0].idle_accelerators == 11);
  CHECK(one[0].unusable_share == doctest::Approx(3.0 / 11));
  fragmentation.OnAsked("letters", Single(8), At(5000));
  const auto both = fragmentation.Evaluate(workers, At(5000));
  REQUIRE(both.size() == 2);
  CHECK(both[1].service == "letters");
  CHECK(both[1].unusable_share == 0);
}

// Guards against callers that ask for ever new shapes, and thereby make every
// measurement longer. Cost is counted in visits of workers.
TEST_CASE("a measurement visits each worker at most once for 32 shapes") {
  for (const int count : {350, 1000, 6000}) {
    CAPTURE(count);
    std::vector<FreeWorker> free;
    free.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      free.push_back({"r" + std::to_string(i / 20), 1 + i % 8});
    }
    const Workers workers = MakeWorkers(free);
    Fragmentation fragmentation;
    fragmentation.OnAsked(kService, Single(2), At(0));
    const auto one = fragmentation.Evaluate(workers, At(0));
    REQUIRE(one.size() == 1);
    CHECK(one[0].worker_visits == 2 * count);
    for (int i = 0; i < 1000; ++i) {
      fragmentation.OnAsked(kService, GangOf(2 + i, 1, i % 2 == 0), At(i));
    }
    const auto many = fragmentation.Evaluate(workers, At(1000));
    REQUIRE(many.size() == 1);
    CHECK(many[0].shapes == Fragmentation::kMaxShapes);
    CHECK(many[0].worker_visits == (1 + 32) * count);
  }
}

// Invalid values come from callers and must not make the figure leave its
// range.
TEST_CASE("shapes out of range keep the share between 0 and 1") {
  const Workers workers = MakeWorkers({{"r0", 8}, {"r0", 1}});
  constexpr int64_t kHuge = int64_t{1} << 62;
  const std::vector<TaskShape> shapes = {
      GangOf(kHuge, kHuge, true), GangOf(kHuge, 1, false),
      {{-5, -5, 1}, 1, false},    {{kHuge, kHuge, 1}, 2, true},
      GangOf(0, 1, true),         GangOf(-3, 1, false)};
  for (const TaskShape& shape : shapes) {
    Fragmentation fragmentation;
    fragmentation.OnAsked(kService, shape, At(0));
    for (const ServiceFragmentation& measured :
         fragmentation.Evaluate(workers, At(0))) {
      CHECK(measured.unusable_share >= 0);
      CHECK(measured.unusable_share <= 1);
    }
  }
}

}  // namespace
}  // namespace thornplank::testing
