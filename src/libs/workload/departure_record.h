// The durable form of the departures that workers have announced.
//
// The directory drops the entry of a worker that has left, and with it what
// tells a departure from a loss. A leader that begins later reads from this
// record which workers had announced theirs. An announcement is final for an
// incarnation, so that the record holds for every later leader.
#ifndef THORNPLANK_WORKLOAD_DEPARTURE_RECORD_H_
#define THORNPLANK_WORKLOAD_DEPARTURE_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace thornplank {

// A worker that has announced its departure.
struct DepartingWorker {
  std::string worker;
  // Of the incarnation that leaves; nullopt if its entry did not say.
  std::optional<WallTime> incarnation_start = std::nullopt;
};

inline bool operator==(const DepartingWorker& a, const DepartingWorker& b) {
  return a.worker == b.worker && a.incarnation_start == b.incarnation_start;
}

// Bounds the record: ids have 255 bytes at most, so that it fits into one of
// the store (256 KiB). A worker that is left out may be taken for silent by a
// successor.
inline constexpr size_t kMaxDepartures = 512;

std::string EncodeDepartures(const std::vector<DepartingWorker>& departures);
// Returns nullopt with `error` if the record cannot be read.
std::optional<std::vector<DepartingWorker>> DecodeDepartures(
    std::string_view bytes, Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_DEPARTURE_RECORD_H_
