// Detects that a worker that announced its departure has left for good. All
// runs there have ended then, whatever leases they had.
//
// An entry is removed from the directory when its worker has left, and also
// when it was not renewed for three heartbeats, though the worker may still
// run. Time tells the two apart: a worker that leaves as announced has renewed
// its entry shortly before. Refused connections and missing heartbeats prove
// nothing: a worker that is cut off shows both and runs on.
#ifndef THORNPLANK_WORKLOAD_DEPARTURE_DETECTOR_H_
#define THORNPLANK_WORKLOAD_DEPARTURE_DETECTOR_H_

#include <optional>

#include "base/time.h"
#include "workload/worker_report.h"

namespace thornplank {

class DepartureDetector {
 public:
  // The worker's entry was read at `now`. `directory_read_at` is when the
  // directory was last read to its end before that.
  void OnEntry(const WorkerRegistration& entry, Time directory_read_at,
               Time now);
  // Whether the removal of its entry, read at `now`, shows that it has left.
  // `heartbeat` is the interval between two entries of a worker.
  bool IsDeparture(Milliseconds heartbeat, Time directory_read_at,
                   Time now) const;

 private:
  Time last_entry_{};
  // Upper bound on the age of the last entry when it was read.
  Duration entry_lag_{};
  // Where the worker has announced its departure: the earliest time of it.
  std::optional<Time> departure_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_DEPARTURE_DETECTOR_H_
