// What of a report is kept in other records.
#include "workload/worker_report.h"

namespace thornplank {

LostRun ToLostRun(const std::string& worker, const RunEndReport& end) {
  LostRun run;
  run.worker = worker;
  run.number = end.run;
  run.address = end.address;
  run.incarnation_start = end.incarnation_start;
  run.crashed = end.end == RunEnd::kWorkerCrashed;
  run.began = end.began != Time{};
  run.survived = end.survived;
  run.within_lease = end.within_lease;
  return run;
}

}  // namespace thornplank
