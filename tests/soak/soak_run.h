// A randomized run of hosted entries under faults, all drawn from one seed.
//
// Caller threads submit, query and cancel jobs, also some whose submission got
// no answer, while series of faults overlap:
// entries are killed, stopped, suspended, signalled or cut off from the store;
// the store is silent, slow or refuses, or loses answers or its history;
// executors are late, silent, cut off or restarted. Then all faults are ended,
// and the invariants are checked against the records of executors and callers.
#ifndef THORNPLANK_TESTS_SOAK_SOAK_RUN_H_
#define THORNPLANK_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "urgent_load.h"

namespace thornplank {

struct SoakSettings {
  uint32_t seed = 1;
  std::chrono::seconds fault_duration{10};
  int entries = 4;
  int executors = 8;
  int callers = 2;
  // Adds tasks that crash their executors, executors whose capacity shrinks and
  // grows, and executors that restart under their ids. They are drawn from a
  // separate random sequence, so that the other faults of a seed do not change.
  bool crashes = true;
  // Shortens the leases, and cuts some executors off from the entries for
  // longer than that, again and again; also drawn from a separate sequence.
  bool cut_offs = true;
  // Adds accounts with guarantees that submit urgent gangs, as in UrgentLoad;
  // also drawn from a separate sequence.
  bool burst = false;
  // Some tasks report checkpoints around and above the size of a record, and
  // their first runs fail; also drawn from a separate sequence.
  bool long_checkpoints = true;
  // Some executors are lost for good, one after the other, and six at once
  // where there are many; also with a sequence of its own.
  bool losses = true;
  // Adds an ImpatientCaller, also with a sequence of its own.
  bool give_ups = true;
};

struct SoakReport {
  int jobs = 0;
  int accepted = 0;
  int completed = 0;
  int runs = 0;
  // Only of a run with a burst.
  EqualStops equal_stops;
  // Cancellations of jobs without a submission; only of a run with give_ups.
  int unknown_cancelled = 0;
  // The injected faults in order, with their times, to analyse a failed run.
  std::vector<std::string> faults;
  // Descriptions of the violated invariants.
  std::vector<std::string> violations;
  // The folder of the logs; kept if an invariant was violated.
  std::string folder;
};

SoakReport RunSoak(const SoakSettings& settings);

}  // namespace thornplank

#endif  // THORNPLANK_TESTS_SOAK_SOAK_RUN_H_
