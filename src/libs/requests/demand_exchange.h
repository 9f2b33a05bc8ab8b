// Tells the other entries what this one has queued and in flight, and takes
// in what they tell.
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
// in_flight], ...]}. The sender's name comes from the link.
Json EncodeDemand(const PeerDemand& demand);
// Rows of a wrong shape are skipped.
PeerDemand DecodeDemand(const std::string& entry, const Json& body);

class DemandExchange {
 public:
  // `own` is asked at each interval; `on_peer` runs on any thread. Neither is
  // called before Start or after Stop has returned.
  DemandExchange(boost::asio::io_context& io, PeerMesh& mesh, Duration interval,
                 Duration refresh, std::function<PeerDemand()> own,
                 std::function<void(const PeerDemand&)> on_peer);
  ~DemandExchange();

  void Start();
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace thornplank

#endif  // THORNPLANK_REQUESTS_DEMAND_EXCHANGE_H_
