// Tests for InstanceDirectory: lists, drains, and lists that arrive out of
// order.
#include <doctest/doctest.h>

#include "instances/instance_directory.h"

namespace thornplank {
namespace {

Instance MakeInstance(const std::string& name, InstanceKind kind,
                      bool leaving) {
  Instance instance;
  instance.name = name;
  instance.kind = kind;
  instance.leaving = leaving;
  return instance;
}

InstanceList MakeList(int64_t as_of_ms, std::vector<Instance> instances) {
  return {std::move(instances), FromUnixMilliseconds(as_of_ms)};
}

TEST_CASE("instances are split by kind and sorted") {
  InstanceDirectory directory;
  CHECK_FALSE(directory.has_list());
  CHECK(directory.SetList(
      MakeList(1, {MakeInstance("x1", InstanceKind::kExecutor, false),
                   MakeInstance("w1", InstanceKind::kWorker, true)})));
  REQUIRE(directory.executors().size() == 1);
  CHECK(directory.executors()[0].name == "x1");
  REQUIRE(directory.workers().size() == 1);
  CHECK(directory.workers()[0].leaving);
  CHECK(directory.instances().front().name == "w1");
}

TEST_CASE("an older list and an equal one change nothing") {
  InstanceDirectory directory;
  const Instance live = MakeInstance("w1", InstanceKind::kWorker, false);
  const Instance leaving = MakeInstance("w1", InstanceKind::kWorker, true);
  CHECK(directory.SetList(MakeList(5, {leaving})));
  CHECK_FALSE(directory.SetList(MakeList(4, {live})));
  CHECK_FALSE(directory.SetList(MakeList(6, {leaving})));
  CHECK(directory.workers()[0].leaving);
}

TEST_CASE("a drained instance is leaving until the drain ends") {
  InstanceDirectory directory;
  directory.SetList(
      MakeList(1, {MakeInstance("x1", InstanceKind::kExecutor, false)}));
  CHECK(directory.SetDrains({"x1"}));
  CHECK(directory.executors()[0].leaving);
  CHECK_FALSE(directory.SetList(
      MakeList(2, {MakeInstance("x1", InstanceKind::kExecutor, false)})));
  CHECK(directory.executors()[0].leaving);
  CHECK(directory.SetDrains({}));
  CHECK_FALSE(directory.executors()[0].leaving);
}

}  // namespace
}  // namespace thornplank
