// While this entry cannot reach the store, polls other entries whether they
// can. Must be used on the thread that runs the io_context.
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
  // Time between two rounds of queries. Entries read the store twice a second,
  // so the first proof that it serves another entry comes 0.25 s after the loss
  // on average.
  Milliseconds interval{250};
  // Timeout of a query.
  Milliseconds timeout{250};
  // Entries polled per round. If a third of 100 entries is cut off from the
  // store, at least one of three randomly chosen entries is not in 26 of 27
  // cases.
  size_t max_polled = 3;
  uint32_t seed = 1;
};

class ReachabilityPoller {
 public:
  // `peers` returns the addresses of the other known entries.
  ReachabilityPoller(boost::asio::io_context& io, EntryClientInterface& client,
                     ReachabilityPollerSettings settings,
                     std::function<std::vector<std::string>()> peers);
  ~ReachabilityPoller();

  // To be called after each read of the store, depending on its result. The
  // first failure starts the polling, a success stops it.
  void OnReadFailed();
  void OnReadSucceeded();

  // Whether a caller should try another entry at once.
  bool ReachableElsewhere() const;

 private:
  void PollPeers();
  void OnAnswer(const std::string& peer, Time sent,
                std::optional<Milliseconds> age);
  // Logs the status if it differs from the one logged last.
  void LogStatusChange();

  EntryClientInterface& client_;
  const ReachabilityPollerSettings settings_;
  const std::function<std::vector<std::string>()> peers_;
  boost::asio::steady_timer timer_;
  std::minstd_rand random_;
  StoreReachability reachability_;
  StoreStatus logged_status_ = StoreStatus::kReachable;
  // Set to false by the destructor; callbacks of queries that outlive this
  // object then do nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thornplank

#endif  // THORNPLANK_REACHABILITY_REACHABILITY_POLLER_H_
