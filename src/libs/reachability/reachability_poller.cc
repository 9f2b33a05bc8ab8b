// Periodic queries to randomly chosen entries.
#include "reachability/reachability_poller.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "logging/events/coordination_events.h"

namespace thornplank {
namespace {

Time Now() { return std::chrono::steady_clock::now(); }

}  // namespace

ReachabilityPoller::ReachabilityPoller(
    boost::asio::io_context& io, EntryClientInterface& client,
    ReachabilityPollerSettings settings,
    std::function<std::vector<std::string>()> peers)
    : client_(client),
      settings_(settings),
      peers_(std::move(peers)),
      timer_(io),
      random_(settings.seed) {}

ReachabilityPoller::~ReachabilityPoller() { *alive_ = false; }

void ReachabilityPoller::OnReadFailed() {
  if (reachability_.unreachable()) return;
  reachability_.OnReadFailed(Now());
  LogStatusChange();
  PollPeers();
}

void ReachabilityPoller::OnReadSucceeded() {
  if (!reachability_.unreachable()) return;
  timer_.cancel();
  reachability_.OnReadSucceeded();
  LogStatusChange();
}

bool ReachabilityPoller::ReachableElsewhere() const {
  return reachability_.ReachableElsewhere(Now());
}

void ReachabilityPoller::PollPeers() {
  std::vector<std::string> peers = peers_();
  std::shuffle(peers.begin(), peers.end(), random_);
  if (peers.size() > settings_.max_polled) peers.resize(settings_.max_polled);
  for (const std::string& peer : peers) {
    client_.FetchStoreAge(peer, settings_.timeout,
                          [this, alive = alive_, peer,
                           sent = Now()](std::optional<Milliseconds> age) {
                            if (*alive) OnAnswer(peer, sent, age);
                          });
  }
  timer_.expires_after(settings_.interval);
  timer_.async_wait(
      [this, alive = alive_](const boost::system::error_code& code) {
        if (code || !*alive || !reachability_.unreachable()) return;
        LogStatusChange();
        PollPeers();
      });
}

void ReachabilityPoller::OnAnswer(const std::string& peer, Time sent,
                                  std::optional<Milliseconds> age) {
  if (age) {
    reachability_.OnAnswer(*age, sent, Now());
  } else {
    reachability_.OnNoAnswer(peer);
  }
  LogStatusChange();
}

void ReachabilityPoller::LogStatusChange() {
  const StoreStatus status = reachability_.status(Now());
  if (status == logged_status_) return;
  logged_status_ = status;
  LogEvent(events::kStoreStatusChanged,
           {{"belief", std::string(ToText(status))}});
}

}  // namespace thornplank
