// A caller of a soak run that submits each job once and gives it up, by
// cancelling it at another entry, if the submission gets no answer.
//
// The store carries many of its submissions out late, so that they are stored
// after the cancellation was answered.
#ifndef THORNPLANK_TESTS_SOAK_IMPATIENT_CALLER_H_
#define THORNPLANK_TESTS_SOAK_IMPATIENT_CALLER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include "hosted_cluster.h"
#include "run_checker.h"

namespace thornplank {

class ImpatientCaller {
 public:
  // `id_prefix`: the first eight digits of the ids of its jobs.
  ImpatientCaller(HostedCluster* cluster, uint32_t seed, std::string id_prefix);

  void Run(const std::atomic<bool>& done);

  // To be called after Run().
  const std::map<std::string, SubmittedJob>& jobs() const { return jobs_; }
  // Jobs of which a cancellation was sent.
  const std::set<std::string>& cancelled() const { return cancelled_; }
  // The number of cancellations that were answered with 410.
  int unknown() const { return unknown_; }

 private:
  int Draw(int below);
  TestJob DrawJob(int number);
  // Sets the results in `job`.
  void Submit(int entry, SubmittedJob* job);
  // Returns whether the job is unknown to the entry that has answered.
  bool Cancel(int entry, SubmittedJob* job);

  HostedCluster* const cluster_;
  const std::string id_prefix_;
  std::mt19937 random_;
  std::map<std::string, SubmittedJob> jobs_;
  std::set<std::string> cancelled_;
  int unknown_ = 0;
};

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_SOAK_IMPATIENT_CALLER_H_
