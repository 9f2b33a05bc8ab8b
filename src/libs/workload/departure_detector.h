// Whether a worker that announced to leave has left for good. All that ran
// there has ended then, leases or not.
//
// An entry is taken out of the directory when its worker has left, and also
// when nothing was heard of it for three heartbeats, though it may run on. The
// first is told from the second by time: a worker that leaves as announced has
// written its entry anew just before. One that is taken away at short notice
// leaves its entry behind; its heartbeats end, and nothing listens at its
// address.
#ifndef THORNPLANK_WORKLOAD_DEPARTURE_DETECTOR_H_
#define THORNPLANK_WORKLOAD_DEPARTURE_DETECTOR_H_

#include <optional>

#include "base/time.h"
#include "workload/worker_report.h"

namespace thornplank {

class DepartureDetector {
 public:
  // The worker's entry, seen now; the directory was read up to its end at
  // `contact` the last time before.
  void OnEntry(const WorkerRegistration& entry, Time directory_read_at,
               Time now);
  // The same of its removal. `heartbeat`: between two entries of a worker.
  bool IsDeparture(Milliseconds heartbeat, Time directory_read_at,
                   Time now) const;

  // What came of a call to it: an answer, or word that nothing listens there.
  void OnAnswer() { refused_at_.reset(); }
  void OnConnectionRefused(Time now) { refused_at_ = now; }
  // Whether it has left, though it is still listed. A worker that is only cut
  // off, by a network that refuses connections for it, still writes its entry.
  bool HasLeft(Milliseconds heartbeat, Time directory_read_at, Time now) const;

 private:
  Time last_entry_{};
  // How old the last entry was at most when it was seen.
  Duration entry_lag_{};
  // When the worker leaves at the earliest, where it has announced that.
  std::optional<Time> earliest_departure_;
  // The last call found nobody, then.
  std::optional<Time> refused_at_;
};

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_DEPARTURE_DETECTOR_H_
