// Faults of the executors of a soak run that are drawn from sequences of their
// own, so that they leave the other faults of a seed as they are.
#ifndef THORNPLANK_TESTS_SOAK_EXECUTOR_FAULTS_H_
#define THORNPLANK_TESTS_SOAK_EXECUTOR_FAULTS_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "base/time.h"
#include "hosted_cluster.h"

namespace thornplank {

// Upper bound on the leases of a run with cuts: short, so that several cuts
// that are longer fit into it.
inline constexpr Milliseconds kLeaseWithCutOffs{1500};

class ExecutorFaults {
 public:
  // `record` gets a line for each fault.
  ExecutorFaults(HostedCluster* cluster, uint32_t seed,
                 std::function<void(const std::string&)> record);

  // Gives some executors incarnations that keep their ids.
  void Prepare();
  // The executor that is to lose capacity now; -1 for none.
  int DrawShrinking();
  // Restarts some or all executors. Some draws keep them down for longer than
  // their leases.
  void Restart();
  // Once the present cuts have outlasted the leases, ends them and cuts other
  // executors off. Some of these still write their entries.
  void ChangeCutOffs();
  // Some executors never answer again: one, or several at once where there are
  // many.
  void Lose();
  // Ends all but the losses.
  void End();

  // Executors that are not lost for good.
  int left() const { return executors_ - lost_; }

 private:
  void EndCutOffs();

  HostedCluster* const cluster_;
  const std::function<void(const std::string&)> record_;
  const int executors_;
  std::mt19937 crash_random_;
  std::mt19937 cut_off_random_;
  std::mt19937 loss_random_;
  // Start of the present cuts.
  Time cut_off_since_{};
  int lost_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_SOAK_EXECUTOR_FAULTS_H_
