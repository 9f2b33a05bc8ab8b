// What the parts of bench_scheduling share.
#ifndef THORNPLANK_BENCHMARKS_SCHEDULING_WORKLOAD_H_
#define THORNPLANK_BENCHMARKS_SCHEDULING_WORKLOAD_H_

#include <vector>

#include "scheduling/job_types.h"

namespace thornplank {

// `count` workers in racks of `per_rack`; the first `doubled` have twice the
// accelerators.
std::vector<WorkerInfo> MakeWorkers(int count, int accelerators, int doubled,
                                    int per_rack);

// The value below which the share `q` of `values` lies; 0 for none.
double Quantile(std::vector<double> values, double q);

// Runs the policies on the same jobs for `seeds` seeds and prints medians.
void ComparePolicies(int seeds);

}  // namespace thornplank

#endif  // THORNPLANK_BENCHMARKS_SCHEDULING_WORKLOAD_H_
