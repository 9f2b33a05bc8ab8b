// Asks other entries whether they reach the store, while this one does not.
#ifndef THORNPLANK_REACHABILITY_REACHABILITY_POLLER_H_
#define THORNPLANK_REACHABILITY_REACHABILITY_POLLER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "reachability/entry_client_interface.h"
#include "reachability/store_reachability.h"

namespace boost::asio {
class io_context;
}

namespace thornplank {

struct ReachabilityPollerSettings {
  // Between two rounds of questions. Followers read twice a second, so that the
  // first proof comes 0.25 s after a loss in the mean.
  Milliseconds interval{250};
  Milliseconds timeout{250};
  // Entries asked in a round; of 100 entries of which a third is cut off, one
  // of three chosen by chance is not in 26 cases of 27.
  size_t asked = 3;
  uint32_t seed = 1;
};

class ReachabilityPoller {
 public:
  // `peers`: addresses of the other entries that are known.
  ReachabilityPoller(boost::asio::io_context& io, EntryClientInterface& calls,
                     ReachabilityPollerSettings settings,
                     std::function<std::vector<std::string>()> peers);
  ~ReachabilityPoller();

  // The store could not be read; or it could.
  void OnReadFailed();
  void OnReadSucceeded();

  bool ReachableElsewhere() const;

 private:
  void Ask();
  void OnAnswer(const std::string& peer, Time sent,
                std::optional<Milliseconds> age);
  // Logs the belief when it has changed.
  void Tell();

  EntryClientInterface& calls_;
  const ReachabilityPollerSettings settings_;
  const std::function<std::vector<std::string>()> peers_;
  boost::asio::steady_timer timer_;
  std::minstd_rand random_;
  StoreReachability outlook_;
  StoreStatus told_ = StoreStatus::kReached;
  // Callbacks of calls that outlive this object do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_REACHABILITY_POLLER_H_
