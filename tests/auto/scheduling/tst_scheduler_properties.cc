// Property tests: invariants that must hold after every step of any sequence of
// submissions, cancellations, failures, lost replies and changes of
// coordinator.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "scheduling_fixtures.h"
#include "virtual_cluster.h"

namespace thornplank::testing {
namespace {

constexpr uint64_t kSeed = 20240611;
constexpr int kSequences = 400;
constexpr int kLongestSequence = 120;

using Step = std::pair<int, int>;

constexpr Shape kRackPair{2, 8, Adjacency::kRack};
constexpr Shape kRackTrio{3, 4, Adjacency::kRack};

std::vector<AccountGuarantee> Accounts() {
  AccountGuarantee strict = Account("strict", {{kRackTrio, 1}});
  strict.borrowing = false;
  return {Account("a", {{kRackPair, 1}, {{2, 2, Adjacency::kAnywhere}, 2}}),
          Account("b", {{kWholeWorker, 2}}), Account("c"), strict};
}

JobSpec RandomJob(int number, int argument) {
  static const std::vector<Shape> kShapes = {kOneAccelerator,
                                             {2, 2, Adjacency::kAnywhere},
                                             kWholeWorker,
                                             kRackPair,
                                             {4, 8, Adjacency::kRack},
                                             {9, 1, Adjacency::kAnywhere},
                                             kRackTrio};
  static const std::vector<std::string> kAccounts = {"a", "b", "c", "strict"};
  const size_t shape = static_cast<size_t>(argument) % kShapes.size();
  const size_t account = static_cast<size_t>(argument / 8) % kAccounts.size();
  JobSpec job = Job("j" + std::to_string(number), kAccounts[account],
                    kShapes[shape], 10 + argument % 300);
  if (argument % 11 == 0) job.priority = Priority::kUrgent;
  return job;
}

void Apply(const Step& step, int* jobs, VirtualCluster* cluster) {
  const auto [kind, argument] = step;
  const auto index = static_cast<size_t>(argument);
  if (kind < 30) {
    cluster->Submit(RandomJob((*jobs)++, argument));
  } else if (kind < 60) {
    cluster->Deliver(index, argument % 13 == 0);
  } else if (kind < 68) {
    cluster->DeliverAll();
  } else if (kind < 76) {
    cluster->Advance(seconds(argument % 40));
  } else if (kind < 82) {
    cluster->Finish(index);
  } else if (kind < 85) {
    cluster->Fail(index);
  } else if (kind < 90) {
    if (*jobs > 0) {
      cluster->Cancel("j" + std::to_string(argument % *jobs));
    }
  } else if (kind < 94) {
    cluster->ToggleLost(index);
  } else if (kind < 96) {
    cluster->ToggleLeaving(index);
  } else if (kind < 98) {
    cluster->Report(index);
  } else if (kind < 99) {
    cluster->SetCheckpointsHang(argument % 2 == 0);
  } else {
    cluster->TakeOver();
  }
}

template <typename Property>
bool CheckProperty(Property property) {
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = kSequences;
  params.maxSize = kLongestSequence;
  const auto step =
      rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 10000));
  const auto result = rc::detail::checkTestable(
      [&] { property(*rc::gen::container<std::vector<Step>>(step)); },
      rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

TEST_CASE(
    "no sequence violates the invariants of gangs, workers or guarantees") {
  CHECK(CheckProperty([](const std::vector<Step>& steps) {
    VirtualCluster cluster(Workers(3, 3, 8), Accounts());
    int jobs = 0;
    for (const Step& step : steps) {
      Apply(step, &jobs, &cluster);
      const std::string broken = cluster.Check();
      if (!broken.empty()) RC_FAIL(broken);
    }
  }));
}

// Guards against borrowers that keep a guarantee waiting. After any sequence,
// with all workers usable, a guaranteed gang starts within the checkpoint
// deadline even if no checkpoint request is answered.
TEST_CASE("a guaranteed job starts within the bound after any sequence") {
  CHECK(CheckProperty([](const std::vector<Step>& steps) {
    VirtualCluster cluster(Workers(3, 3, 8), Accounts());
    int jobs = 0;
    for (const Step& step : steps) {
      // Leaves out cancellations and everything that makes workers unusable.
      if (step.first >= 85) continue;
      Apply(step, &jobs, &cluster);
    }
    for (int i = 0; i < jobs; ++i) {
      const std::string id = "j" + std::to_string(i);
      const std::optional<JobStatus> status = cluster.scheduler().job(id);
      if (status->spec.account == "b") cluster.Cancel(id);
    }
    cluster.DeliverAll();
    cluster.Advance(seconds(100));
    cluster.DeliverAll();
    cluster.SetCheckpointsHang(true);
    cluster.Submit(Job("last", "b", kWholeWorker));
    for (int second = 0; second <= 31; ++second) {
      cluster.DeliverAll();
      cluster.Advance(seconds(1));
    }
    cluster.DeliverAll();
    const std::string broken = cluster.Check();
    if (!broken.empty()) RC_FAIL(broken);
    const JobPhase phase = cluster.scheduler().job("last")->phase;
    RC_ASSERT(phase == JobPhase::kRunning);
  }));
}

}  // namespace
}  // namespace thornplank::testing
