// The durable form of a leader's promise to renew no leases on certain workers.
//
// A leader cannot tell whether a worker that does not answer still works; it
// waits until all leases there are over. A successor would have to assume that
// leases were renewed until the change, so the leader records the workers on
// which it renews none, and how long the leases last there. The time is stored
// as a duration from the making of the record: whoever reads it does so later,
// and may count from then.
#ifndef THORNPLANK_WORKLOAD_RENEWAL_STOP_H_
#define THORNPLANK_WORKLOAD_RENEWAL_STOP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace thornplank {

struct RenewalStop {
  std::string worker;
  // Until all leases on the worker are over, from the making of the record.
  Milliseconds lease_left{0};
};

// Valid for the leader that follows the one of `epoch`, and for no later one:
// the leaders in between may have renewed leases.
struct RenewalStopRecord {
  int64_t epoch = 0;
  std::vector<RenewalStop> stops;
};

// Bounds the record; a stop that is left out only makes a successor wait
// longer.
inline constexpr size_t kMaxRenewalStops = 512;

std::string EncodeRenewalStops(const RenewalStopRecord& record);
// Returns nullopt with `error` if the record cannot be read.
std::optional<RenewalStopRecord> DecodeRenewalStops(std::string_view bytes,
                                                    Error* error);

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_RENEWAL_STOP_H_
