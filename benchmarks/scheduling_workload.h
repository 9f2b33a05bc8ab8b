// Functions that the source files of bench_scheduling share.
#ifndef THORNPLANK_BENCHMARKS_SCHEDULING_WORKLOAD_H_
#define THORNPLANK_BENCHMARKS_SCHEDULING_WORKLOAD_H_

#include <vector>

#include "scheduling/job_types.h"

namespace thornplank {

// Makes `count` workers in racks of `per_rack`, each with `accelerators`; the
// first `doubled` workers have twice as many.
std::vector<WorkerInfo> MakeWorkers(int count, int accelerators, int doubled,
                                    int per_rack);

// The quantile `q` of `values`; 0 if there are none.
double Quantile(std::vector<double> values, double q);

// Runs all policies on the same jobs, for `seeds` seeds, and prints the
// medians.
void ComparePolicies(int seeds);

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_SCHEDULING_WORKLOAD_H_
