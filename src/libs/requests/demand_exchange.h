// Broadcasts this entry's demand, i.e. its queued and in-flight requests by
// service and client account, to the other entries and receives theirs.
#ifndef THORNPLANK_REQUESTS_DEMAND_EXCHANGE_H_
#define THORNPLANK_REQUESTS_DEMAND_EXCHANGE_H_

#include <functional>
#include <memory>

#include "base/json.h"
#include "base/time.h"
#include "routing/routing_types.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

class PeerMesh;

// The body of the message "demand": {"a":[[service, account, queued,
// in_flight], ...]}. The sender's name is not part of it; it is known from the
// link on which the message arrives.
Json EncodeDemand(const PeerDemand& demand);
// Malformed rows are skipped.
PeerDemand DecodeDemand(const std::string& entry, const Json& body);

class DemandExchange {
 public:
  // `own_demand` is called at every `interval`, and its result is broadcast if
  // it has changed or was last sent `refresh_interval` ago. `on_peer_demand`
  // runs on any thread. Neither is called before Start or after Stop has
  // returned.
  DemandExchange(boost::asio::io_context& io, PeerMesh& mesh, Duration interval,
                 Duration refresh_interval,
                 std::function<PeerDemand()> own_demand,
                 std::function<void(const PeerDemand&)> on_peer_demand);
  ~DemandExchange();

  void Start();
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_DEMAND_EXCHANGE_H_
