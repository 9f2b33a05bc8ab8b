// The workers on which the leader renews no leases because its record on the
// board says so, and when that record must be replaced.
//
// A worker counts as stopped from the moment at which a record that names it is
// on its way to the store, until a record without it is stored: whatever a
// successor finds on the board holds. Not thread-safe.
#ifndef THORNPLANK_COORDINATION_RENEWAL_STOPS_H_
#define THORNPLANK_COORDINATION_RENEWAL_STOPS_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "workload/renewal_stop.h"

namespace thornplank {

class RenewalStops {
 public:
  bool Contains(const std::string& worker) const {
    return stored_.count(worker) > 0 || written_.count(worker) > 0;
  }
  // Returns the stops to be written, in place of those that are stored; nullopt
  // if nothing has changed or a write is pending. `wanted`: the workers on
  // which no leases are to be renewed, in order of importance.
  std::optional<std::vector<RenewalStop>> TakeDue(
      std::vector<RenewalStop> wanted);
  // What the last call of TakeDue returned is stored.
  void OnStored();
  // All workers for which Contains is true.
  std::set<std::string> workers() const;

 private:
  std::set<std::string> stored_;
  // Empty unless a write is pending; may be empty while one is.
  std::set<std::string> written_;
  bool write_pending_ = false;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_RENEWAL_STOPS_H_
